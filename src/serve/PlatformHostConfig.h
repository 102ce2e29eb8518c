#ifndef SAVORYTRESTLE_SERVE_PLATFORM_HOST_CONFIG_H
#define SAVORYTRESTLE_SERVE_PLATFORM_HOST_CONFIG_H

/// @file
/// @brief Settings of a platform host, read from its YAML file at the start and
/// again on SIGHUP or when the file changes.

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"

#include "leaf/AnswerMemory.h"
#include "savorytrestle/core/placement/ColdLeaf.h"
#include "savorytrestle/core/rates/RateMessage.h"

namespace savorytrestle::serve {

/// @brief Settings of a platform host.
struct PlatformHostConfig {
  std::string Id;
  std::string FailureDomain;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
  /// Address of the listener for callers.
  std::string CallerAddress;
  /// Address of the listener for the balancer's readiness checks.
  std::string ReadinessAddress;
  /// Address of the listener for other hosts; empty for none.
  std::string PeerAddress;
  /// Peer listeners of other hosts, used at the start when the store can't be
  /// reached; some of them may no longer exist.
  std::vector<std::string> SeedAddresses;
  /// Whether all hosts start together for the first time, before callers come.
  /// Those that are no seed then take their first list from a seed, instead of
  /// each one from the store.
  bool FleetStarts = false;
  /// Address of the listener for the metrics; empty for none.
  std::string MetricsAddress;
  /// Address of the platform's metadata store.
  std::string StoreAddress;
  /// Time from the stop signal until the platform kills the process.
  std::chrono::milliseconds StopGrace{6000};
  /// Time within which an accepted configuration must be in force.
  std::chrono::milliseconds ConfigApplyTime{3000};
  /// Time after a disruption of the store or of this host within which each
  /// accepted change must be in force again.
  std::chrono::milliseconds StabilityTime{4000};
  /// Extra requests (hedges and retries) allowed for each request to a service,
  /// over all hosts.
  double RetryRatio = 0.2;
  /// Extra requests allowed beyond the ratio in each window, over all hosts.
  double RetryExtraPerWindow = 50;
  std::chrono::milliseconds RetryWindow{10000};
  /// Bound on the requests of a workspace with a limit, over all hosts.
  core::RateBound Quotas{std::chrono::milliseconds(5000), 0.1, 20};
  /// Time within which an accepted evacuation must be in force; the longest one
  /// if the platform names none.
  std::chrono::milliseconds EvacuationTime = std::chrono::minutes(10);
  /// Bounds on the requests of all hosts to a cold leaf.
  core::ColdBounds Cold;
  /// Whether requests are admitted by the load of the leaves, or all of them.
  bool AdmitsByLoad = false;
  /// Largest answer of a leaf, and all unfinished ones together, in bytes.
  leaf::AnswerLimits Answers;
};

/// @brief Reads and validates a platform host's YAML file.
/// @param path the YAML file
/// @return the settings; InvalidSettings with one line per error
core::Result<PlatformHostConfig>
loadPlatformHostConfig(const std::string &path);

/// @brief Parses and validates the text of a platform host's YAML file.
/// @param text YAML
/// @param file name shown in messages
/// @return the settings; InvalidSettings with one line per error
core::Result<PlatformHostConfig>
parsePlatformHostConfig(const std::string &text, const std::string &file);

} // namespace savorytrestle::serve

#endif
