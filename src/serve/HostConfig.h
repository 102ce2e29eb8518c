#ifndef SAVORYTRESTLE_SERVE_HOST_CONFIG_H
#define SAVORYTRESTLE_SERVE_HOST_CONFIG_H

/// @file
/// @brief Settings of one host process, read from its YAML file at start.
///
/// Settings that operators change at run time are in the settings tree
/// (core/SettingsTree.h).

#include <chrono>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::serve {

/// @brief Search policy of a host.
enum class SearchPolicyKind {
  TailAware, ///< hedges, retries and limits
  Baseline,  ///< baseline policy, kept for comparison
};

/// @brief Settings of one host process.
struct HostConfig {
  std::string Id;
  std::string FailureDomain;
  std::string Region;
  /// Address of the listener for callers.
  std::string CallerAddress;
  /// Address of the listener for the administration API and the metrics.
  std::string OperatorAddress;
  /// Address of the listener for other hosts.
  std::string PeerAddress;
  /// Address of the platform's key-value store.
  std::string StoreAddress;
  /// Address of the platform's list of live and leaving hosts; empty for none.
  std::string HostListAddress;
  /// Threads that serve callers; each serves one connection at a time.
  unsigned CallerThreads = 64;
  /// Most searches and writes that wait for the fan-out thread.
  std::size_t FanOutQueueSize = 1024;
  /// Most searches that run at once; others are queued briefly or refused.
  unsigned MaxSearches = 64;
  /// Longest time a graceful shutdown waits for requests in flight.
  std::chrono::milliseconds DrainTime{5000};
  /// Most entry hosts in regular operation; each holds one host slot.
  unsigned MaxHosts = 7;
  /// Additional host slots, for the replacement of hosts.
  unsigned SpareHosts = 1;
  /// SHA-256 of the root operator's token, in hex; empty disables changes.
  std::string RootTokenHash;
  /// Peer listeners of other hosts; the settings are read from them when the
  /// store is unavailable at the start.
  std::vector<std::string> SeedAddresses;
  SearchPolicyKind Policy = SearchPolicyKind::TailAware;
};

/// @brief Reads and validates a host's YAML file.
/// @param path the YAML file
/// @return the settings; InvalidSettings with one line per error
core::Result<HostConfig> loadHostConfig(const std::string &path);

/// @brief Parses and validates the text of a host's YAML file.
/// @param text YAML
/// @param file name shown in messages
/// @return the settings; InvalidSettings with one line per error
core::Result<HostConfig> parseHostConfig(const std::string &text,
                                         const std::string &file);

} // namespace savorytrestle::serve

#endif
