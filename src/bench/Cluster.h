#ifndef SAVORYTRESTLE_BENCH_CLUSTER_H
#define SAVORYTRESTLE_BENCH_CLUSTER_H

/// @file
/// @brief The leaves of one service, the network to them, and faults of both.

#include <memory>

#include "bench/LeafModel.h"
#include "bench/Scenario.h"

namespace savorytrestle::bench {

/// Number of failure domains of a deployment.
inline constexpr std::uint32_t DomainCount = 3;

/// @brief Leaves and network of one run.
class Cluster {
public:
  /// @brief Builds the leaves with their first index version.
  /// @param simulation the clock
  /// @param deployment network delays
  /// @param shape the service
  /// @param scenario the case, with its fault
  /// @param seed seed of delays and service times
  Cluster(Simulation &simulation, const Deployment &deployment,
          const ServiceShape &shape, const Scenario &scenario,
          std::uint64_t seed);

  /// @brief Schedules the scenario's fault.
  /// @param start when it begins
  void scheduleFault(core::TimePoint start);

  /// @brief Draws the delay of one message.
  /// @param from failure domain of the sender
  /// @param to failure domain of the receiver
  /// @return delay with jitter and retransmission
  core::Duration networkDelay(std::uint32_t from, std::uint32_t to);

  /// @brief Draws the delay of one message to or from a caller.
  /// @return delay with jitter and retransmission
  core::Duration clientDelay() {
    return withJitter(ActiveDeployment.ClientDelay);
  }

  /// @brief Failure domain of a leaf.
  /// @param leaf the leaf
  /// @return its number
  std::uint32_t domainOf(core::LeafIndex leaf) const;

  /// @brief One leaf.
  /// @param leaf its index
  /// @return the model
  LeafModel &leaf(core::LeafIndex leaf) { return *Leaves[leaf]; }

  /// @brief Number of leaves.
  /// @return the number
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(Leaves.size());
  }

  /// @brief The service as hosts read it from the settings.
  /// @return its settings
  core::ServiceSettings settings() const;

  /// @brief The service's shape.
  /// @return the shape
  const ServiceShape &shape() const { return Shape; }

  /// @brief Number of shards of an index version.
  /// @param version the version
  /// @return the number
  std::uint32_t shardCount(core::IndexVersion version) const;

  /// @brief Next request key, unique over all hosts.
  /// @return the key
  std::uint64_t nextKey() { return NextKey++; }

private:
  core::Duration withJitter(core::Duration delay);
  void scheduleRepartition(core::TimePoint start);

  Simulation &Clock;
  Deployment ActiveDeployment;
  ServiceShape Shape;
  Fault InjectedFault;
  core::Rng Random;
  std::uint64_t NextKey = 0;
  std::vector<std::unique_ptr<LeafModel>> Leaves;
};

} // namespace savorytrestle::bench

#endif
