#ifndef SAVORYTRESTLE_SERVE_PLATFORM_HOST_CONFIG_H
#define SAVORYTRESTLE_SERVE_PLATFORM_HOST_CONFIG_H

/// @file
/// @brief Settings of a host on the platform, read from its YAML file at start
/// and again on SIGHUP.

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::serve {

/// @brief Settings of a host on the platform.
struct PlatformHostConfig {
  std::string Id;
  std::string FailureDomain;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
  /// Listener for callers.
  std::string CallerAddress;
  /// Listener at which the balancer asks for readiness.
  std::string ReadinessAddress;
  /// Listener for other hosts; empty for none.
  std::string PeerAddress;
  /// Listeners of some other hosts, asked at the start when the store can't be
  /// reached; they may be gone.
  std::vector<std::string> SeedAddresses;
  /// Listener of the metrics.
  std::string MetricsAddress;
  /// The platform's metadata store.
  std::string StoreAddress;
  /// Time from the stop signal until the process is killed.
  std::chrono::milliseconds StopGrace{6000};
  /// Time in which an accepted configuration must be in force.
  std::chrono::milliseconds ConfigApplyTime{3000};
  /// Extra requests to a service for each request, over all hosts.
  double RetryRatio = 0.2;
  /// Extra requests beyond the ratio in each window, over all hosts.
  double RetryAllowance = 50;
  std::chrono::milliseconds RetryWindow{10000};
};

/// @brief Reads and checks a file.
/// @param path the YAML file
/// @return the settings; InvalidSettings with one line per fault
core::Result<PlatformHostConfig> loadPlatformHostConfig(const std::string &path);

/// @brief Reads and checks a text.
/// @param text YAML
/// @param file name shown in messages
/// @return the settings; InvalidSettings with one line per fault
core::Result<PlatformHostConfig> parsePlatformHostConfig(const std::string &text,
                                         const std::string &file);

} // namespace savorytrestle::serve

#endif
