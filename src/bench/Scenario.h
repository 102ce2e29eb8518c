#ifndef SAVORYTRESTLE_BENCH_SCENARIO_H
#define SAVORYTRESTLE_BENCH_SCENARIO_H

/// @file
/// @brief Deployments, services and cases of the benchmark.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::bench {

/// @brief Size and limits of a service in production.
struct ServiceShape {
  std::string Name;
  std::uint32_t Groups = 0;
  std::uint32_t Replicas = 0;
  std::uint32_t Slots = 0;
  std::uint32_t Connections = 0;
  core::Duration ConnectCost{};
};

/// @brief A deployment with its network delays, answer policy and services.
struct Deployment {
  std::string Name;
  core::Duration RegionDelay{};
  core::Duration ClientDelay{};
  core::AnswerPolicy Policy = core::AnswerPolicy::CoverageFirst;
  std::vector<ServiceShape> Services;
};

/// @brief Fault or change that a case injects.
enum class Fault {
  None,
  ReplicasLost,  ///< one replica in each of three groups crashes
  DomainLost,    ///< leaves of one failure domain stop answering
  Repartition,   ///< an index version with 1.5 times the shards takes over
  HostsReplaced, ///< all hosts are replaced, one after the other
  DomainInOtherRegion, ///< the third failure domain lies in the other region
};

/// @brief One case.
struct Scenario {
  std::string_view Name;
  Fault InjectedFault = Fault::None;
  /// Fraction of leaf calls that take StragglerFactor times as long.
  double StragglerRate = 0;
  /// Offered load as a fraction of the capacity of all slots.
  double Load = 0.35;
  /// Whether each search starts with a canary, as for suspect requests.
  bool Canary = false;
};

/// @brief The simulated deployments.
/// @return Austria and Quebec
const std::vector<Deployment> &deployments();

/// @brief All cases.
/// @return the cases in the order in which they are run
const std::vector<Scenario> &scenarios();

} // namespace savorytrestle::bench

#endif
