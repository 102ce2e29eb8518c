#ifndef SAVORYTRESTLE_BENCH_DRIVERS_H
#define SAVORYTRESTLE_BENCH_DRIVERS_H

/// @file
/// @brief Drivers: the benchmarked policies, each with its host-wide state.

#include <limits>

#include "bench/Cluster.h"
#include "savorytrestle/core/BaselineSearch.h"
#include "savorytrestle/core/LeafPool.h"
#include "savorytrestle/core/TailAwareSearch.h"

namespace savorytrestle::bench {

/// @brief Properties of a host that its driver needs.
struct HostTraits {
  std::uint32_t Domain = 0;
  std::uint32_t Slot = 0;
  std::uint32_t SlotCount = 1;
  std::uint64_t Seed = 1;
};

/// @brief The baseline policy, kept for comparison.
class BaselineDriver {
public:
  using Policy = core::BaselineSearch;
  static constexpr std::string_view Name = "baseline";

  BaselineDriver(const Cluster & /*cluster*/, const Deployment & /*deployment*/,
                 const Scenario & /*scenario*/, const HostTraits & /*host*/) {}

  core::SnapshotCatalog &catalog() { return Catalog; }
  std::uint32_t connectionLimit(core::LeafIndex /*leaf*/) const {
    return std::numeric_limits<std::uint32_t>::max();
  }
  Policy makePolicy(core::TimePoint deadline) const {
    const auto snapshot = Catalog.current();
    return {snapshot ? *snapshot : core::Snapshot{}, deadline};
  }

private:
  core::SnapshotCatalog Catalog;
};

/// @brief The production policy, with the host's share of the connections.
class TailAwareDriver {
public:
  using Policy = core::TailAwareSearch<core::PinnedLeaves>;
  static constexpr std::string_view Name = "tail-aware";

  TailAwareDriver(const Cluster &cluster, const Deployment &deployment,
                  const Scenario &scenario, const HostTraits &host)
      : Settings(cluster.settings()), Host(host), Pool(poolSettings(host)),
        Budget(Settings.ExtraLoadFraction) {
    Pool.setLeaves(Settings, {});
    Pool.setHostSlot({host.Slot, host.SlotCount, core::TimePoint::max()}, {});
    Parameters.Policy = deployment.Policy;
    Parameters.LatencyTarget = LatencyTarget;
    Parameters.Canary = scenario.Canary;
  }

  core::SnapshotCatalog &catalog() { return Catalog; }
  std::uint32_t connectionLimit(core::LeafIndex leaf) const {
    return core::connectionShare(Settings.Leaves[leaf].Name,
                                 Settings.LeafConnections, Host.Slot,
                                 Host.SlotCount);
  }
  Policy makePolicy(core::TimePoint deadline) {
    Parameters.Deadline = deadline;
    return {{Pool.pin(), Catalog, Budget, Hedges}, Parameters};
  }

private:
  static constexpr core::Duration LatencyTarget = std::chrono::milliseconds(60);

  static core::LeafPoolSettings poolSettings(const HostTraits &host) {
    core::LeafPoolSettings settings;
    settings.FailureDomain = std::to_string(host.Domain);
    settings.Seed = host.Seed;
    return settings;
  }

  core::ServiceSettings Settings;
  HostTraits Host;
  core::LeafPool Pool;
  core::SnapshotCatalog Catalog;
  core::ExtraLoadBudget Budget;
  core::HedgeDelays Hedges;
  core::SearchParameters Parameters;
};

} // namespace savorytrestle::bench

#endif
