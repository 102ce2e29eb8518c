#ifndef SAVORYTRESTLE_BENCH_BENCH_RUN_H
#define SAVORYTRESTLE_BENCH_BENCH_RUN_H

/// @file
/// @brief Simulates one case on one service under one policy.

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "bench/HostModel.h"

namespace savorytrestle::bench {

/// @brief Measurements of a run.
struct RunStats {
  std::vector<core::Duration>
      Latencies; ///< Of answered searches; run() sorts them.
  std::uint64_t Searches = 0;
  std::uint64_t Refused = 0;  ///< Searches that no shard answered.
  std::uint64_t Complete = 0; ///< Searches that every shard answered.
  double Coverage = 0;        ///< Sum of fractions over answered searches.
  AttemptCounts Attempts;
  std::uint32_t MaxConnections = 0;
  std::uint32_t MaxBusySlots = 0;
  std::uint64_t LeafRefusals = 0;
  std::uint64_t LeafSheds = 0;
};

/// @brief Simulates one case.
template <typename Driver> class BenchRun {
public:
  /// @brief Builds hosts and leaves.
  /// @param deployment network delays and answer policy
  /// @param shape the service
  /// @param scenario the case
  /// @param searches number of searches to run
  /// @param seed seed of all random numbers
  BenchRun(const Deployment &deployment, const ServiceShape &shape,
           const Scenario &scenario, std::uint64_t searches, std::uint64_t seed)
      : ActiveDeployment(deployment), Case(scenario), Random(seed),
        Backend(Clock, deployment, shape, scenario, Random()),
        SearchCount(searches) {}

  /// @brief Runs the case to its end.
  /// @return its measurements
  RunStats run() {
    const auto interval = arrivalInterval();
    const core::TimePoint begin{WarmUp};
    End = begin +
          std::chrono::duration_cast<core::Duration>(interval * SearchCount);
    for (std::uint32_t n = 0; n < HostCount; ++n) {
      SlotOfHost.push_back(n);
      ActiveHosts.push_back(addHost(n % DomainCount, n));
    }
    Backend.scheduleFault(begin + (End - begin) / 4);
    if (Case.InjectedFault == Fault::HostsReplaced)
      for (std::uint32_t n = 0; n < HostCount; ++n)
        Clock.scheduleAt(begin + (End - begin) * (n + 1) / (HostCount + 2),
                         [this, n] { replaceHost(n); });
    scheduleArrivals(interval);
    Clock.run();
    collectLeafStats();
    return std::move(Stats);
  }

private:
  using Host = HostModel<Driver>;

  static constexpr std::uint32_t HostCount = 7;
  /// One host slot is spare, for a host that replaces another.
  static constexpr std::uint32_t HostSlots = HostCount + 1;
  /// Searches that arrive before this time are run but not counted.
  static constexpr core::Duration WarmUp = std::chrono::seconds(2);

  std::chrono::duration<double, std::nano> arrivalInterval() const {
    const auto &shape = Backend.shape();
    const double perSearch = static_cast<double>(meanServiceTime().count()) /
                             (shape.Replicas * shape.Slots);
    return std::chrono::duration<double, std::nano>(perSearch / Case.Load);
  }

  Host *addHost(std::uint32_t domain, std::uint32_t slot) {
    const HostTraits traits{domain, slot, HostSlots, Random()};
    Hosts.push_back(std::make_unique<Host>(
        Clock, Backend, traits, Driver(Backend, ActiveDeployment, Case, traits),
        Stats.Attempts));
    Hosts.back()->pollLeaves(End);
    return Hosts.back().get();
  }

  /// Starts a new host in the spare slot. The slot of the old host becomes the
  /// spare one after its connections are closed.
  void replaceHost(std::uint32_t n) {
    Host *old = ActiveHosts[n];
    if (!SpareSlot) {
      Clock.scheduleAfter(std::chrono::milliseconds(10),
                          [this, n] { replaceHost(n); });
      return;
    }
    const std::uint32_t slot = *std::exchange(SpareSlot, std::nullopt);
    const std::uint32_t freed = SlotOfHost[n];
    SlotOfHost[n] = slot;
    ActiveHosts[n] = addHost(n % DomainCount, slot);
    old->stop([this, freed] { SpareSlot = freed; });
  }

  void scheduleArrivals(std::chrono::duration<double, std::nano> interval) {
    if (Clock.now() >= End)
      return;
    std::uniform_int_distribution<std::size_t> pick(0, HostCount - 1);
    Host *host = ActiveHosts[pick(Random)];
    const bool counted = Clock.now() >= core::TimePoint{WarmUp};
    const auto sent = Clock.now();
    Clock.scheduleAfter(Backend.clientDelay(), [this, host, sent, counted] {
      host->search([this, sent, counted](const core::SearchAnswer &answer) {
        if (counted)
          recordAnswer(answer, Clock.now() + Backend.clientDelay() - sent);
      });
    });
    std::exponential_distribution<double> gap(1 / interval.count());
    Clock.scheduleAfter(
        core::Duration(static_cast<std::int64_t>(gap(Random)) + 1),
        [this, interval] { scheduleArrivals(interval); });
  }

  void recordAnswer(const core::SearchAnswer &answer, core::Duration latency) {
    ++Stats.Searches;
    if (answer.ShardsAnswered == 0) {
      ++Stats.Refused;
      return;
    }
    Stats.Latencies.push_back(latency);
    Stats.Coverage += static_cast<double>(answer.ShardsAnswered) /
                      static_cast<double>(answer.ShardsTotal);
    Stats.Complete += answer.MissingShards.empty() ? 1 : 0;
  }

  void collectLeafStats() {
    std::sort(Stats.Latencies.begin(), Stats.Latencies.end());
    for (core::LeafIndex it = 0; it < Backend.size(); ++it) {
      const LeafModel &leaf = Backend.leaf(it);
      Stats.MaxConnections =
          std::max(Stats.MaxConnections, leaf.MaxConnections);
      Stats.MaxBusySlots = std::max(Stats.MaxBusySlots, leaf.MaxBusySlots);
      Stats.LeafRefusals += leaf.Refusals;
      Stats.LeafSheds += leaf.Sheds;
    }
  }

  Deployment ActiveDeployment;
  Scenario Case;
  core::Rng Random;
  Simulation Clock;
  Cluster Backend;
  std::uint64_t SearchCount;
  core::TimePoint End;
  RunStats Stats;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Host *> ActiveHosts;
  std::vector<std::uint32_t> SlotOfHost;
  std::optional<std::uint32_t> SpareSlot = HostCount;
};

} // namespace savorytrestle::bench

#endif
