#ifndef SAVORYTRESTLE_SERVE_HOST_CONFIG_H
#define SAVORYTRESTLE_SERVE_HOST_CONFIG_H

/// @file
/// @brief Settings of one host process, read from its YAML file at start.
///
/// Everything that operators change while the system runs lives in the settings
/// tree instead (core/SettingsTree.h).

#include <chrono>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::serve {

/// @brief Which search policy a host runs.
enum class SearchPolicyKind {
  TailAware, ///< hedges, retries and limits
  Baseline,  ///< the kept baseline, for comparison
};

/// @brief Settings of one host process.
struct HostConfig {
  std::string Id;
  std::string FailureDomain;
  std::string Region;
  /// Listener for callers.
  std::string CallerAddress;
  /// Listener of the administration API and the metrics.
  std::string OperatorAddress;
  /// Listener for the other hosts.
  std::string PeerAddress;
  /// The platform's key-value service.
  std::string StoreAddress;
  /// The platform's list of live and leaving hosts; empty when there is none.
  std::string HostListAddress;
  /// Threads that serve callers, one connection each.
  unsigned CallerThreads = 64;
  /// Searches and writes that may wait for the fan-out thread.
  std::size_t FanOutQueueSize = 1024;
  /// Searches that run at once; more wait briefly or are refused.
  unsigned MaxSearches = 64;
  /// Longest time a graceful shutdown waits for requests in flight.
  std::chrono::milliseconds DrainTime{5000};
  /// Entry hosts that may hold a slot at once.
  unsigned MaxHosts = 7;
  /// Slots beyond that, for hosts that are being replaced.
  unsigned SpareHosts = 1;
  /// SHA-256 of the root operator's token, in hex; empty turns changes off.
  std::string RootTokenHash;
  /// Peer listeners of other hosts, asked for the settings when the store is
  /// down at the start.
  std::vector<std::string> SeedAddresses;
  SearchPolicyKind Policy = SearchPolicyKind::TailAware;
};

/// @brief Reads and checks a host file.
/// @param path the YAML file
/// @return the settings; InvalidSettings with one line per fault
core::Result<HostConfig> loadHostConfig(const std::string &path);

/// @brief Reads and checks the text of a host file.
/// @param text YAML
/// @param file name shown in messages
/// @return the settings; InvalidSettings with one line per fault
core::Result<HostConfig> parseHostConfig(const std::string &text,
                                         const std::string &file);

} // namespace savorytrestle::serve

#endif
