#ifndef SAVORYTRESTLE_BENCH_SCENARIO_H
#define SAVORYTRESTLE_BENCH_SCENARIO_H

/// @file
/// @brief Deployments, services and cases of the bench.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::bench {

/// @brief A service at its size of today.
struct ServiceShape {
  std::string Name;
  std::uint32_t Groups = 0;
  std::uint32_t Replicas = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  core::Duration ConnectCost{};
};

/// @brief A deployment with its network and what its workspace prefers.
struct Deployment {
  std::string Name;
  core::Duration RegionDelay{};
  core::Duration ClientDelay{};
  core::AnswerPolicy Policy = core::AnswerPolicy::CoverageFirst;
  std::vector<ServiceShape> Services;
};

/// @brief What goes wrong in a case.
enum class Fault {
  None,
  ReplicasLost,        ///< one replica in each of three groups refuses
  DomainLost,          ///< a failure domain falls silent
  Repartition,         ///< a version with half as many shards again takes over
  HostsReplaced,       ///< all hosts are replaced, one after the other
  DomainInOtherRegion, ///< the third failure domain lies in the other region
};

/// @brief One case.
struct Scenario {
  std::string_view Name;
  Fault InjectedFault = Fault::None;
  /// Fraction of leaf calls that take StragglerFactor times as long.
  double StragglerRate = 0;
  /// Offered load as a fraction of what all slots bear.
  double Load = 0.35;
  /// Whether requests count as suspect, so that each search starts with a
  /// canary.
  bool Canary = false;
};

/// @brief Both deployments of the brief.
/// @return Austria and Quebec
const std::vector<Deployment> &deployments();

/// @brief All cases.
/// @return the cases in the order in which they are run
const std::vector<Scenario> &scenarios();

} // namespace savorytrestle::bench

#endif
