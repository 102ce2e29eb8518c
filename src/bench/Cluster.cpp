#include "bench/Cluster.h"

#include <chrono>
#include <random>

namespace savorytrestle::bench {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration SameDomainDelay = 250us;
constexpr core::Duration CrossDomainDelay = 3500us;
/// Mean of the exponential jitter, as a fraction of the delay.
constexpr double JitterFraction = 0.1;
constexpr double LossRate = 0.0005;
/// Time after which a lost segment is retransmitted.
constexpr core::Duration RetransmitTime = 40ms;
constexpr std::uint32_t GroupsWithLostReplica = 3;
/// Interval between leaves when an index version is added or removed.
constexpr core::Duration RolloutStep = 10ms;
/// Time for which each leaf holds both versions. It is shorter than the poll
/// interval of hosts, so searches meet leaves that dropped their version.
constexpr core::Duration VersionOverlap = 600ms;

} // namespace

Cluster::Cluster(Simulation &simulation, const Deployment &deployment,
                 const ServiceShape &shape, const Scenario &scenario,
                 std::uint64_t seed)
    : Clock(simulation), ActiveDeployment(deployment), Shape(shape),
      InjectedFault(scenario.InjectedFault), Random(seed) {
  const LeafTraits traits{shape.Slots, shape.Connections,
                          scenario.StragglerRate};
  for (core::LeafIndex leaf = 0; leaf < shape.Groups * shape.Replicas; ++leaf) {
    Leaves.push_back(std::make_unique<LeafModel>(Clock, traits, Random()));
    Leaves.back()->Holdings = {{1, leaf / shape.Replicas, shape.Groups}};
  }
}

void Cluster::scheduleFault(core::TimePoint start) {
  if (InjectedFault == Fault::ReplicasLost) {
    for (std::uint32_t group = 0; group < GroupsWithLostReplica; ++group)
      Clock.scheduleAt(start,
                       [this, group] { leaf(group * Shape.Replicas).crash(); });
  } else if (InjectedFault == Fault::DomainLost) {
    for (core::LeafIndex it = 0; it < size(); ++it)
      if (domainOf(it) == 0)
        Clock.scheduleAt(start, [this, it] { leaf(it).Silent = true; });
  } else if (InjectedFault == Fault::Repartition) {
    scheduleRepartition(start);
  }
}

void Cluster::scheduleRepartition(core::TimePoint start) {
  const std::uint32_t shards = shardCount(2);
  for (core::LeafIndex it = 0; it < size(); ++it) {
    const core::ShardHolding next{2, it % shards, shards};
    const auto taken = start + it * RolloutStep;
    Clock.scheduleAt(taken,
                     [this, it, next] { leaf(it).Holdings.push_back(next); });
    Clock.scheduleAt(taken + VersionOverlap,
                     [this, it, next] { leaf(it).Holdings = {next}; });
  }
}

std::uint32_t Cluster::shardCount(core::IndexVersion version) const {
  // 1.5 times as many shards if the service has replicas to hold them.
  return version > 1 && Shape.Replicas > 1 ? Shape.Groups * 3 / 2
                                           : Shape.Groups;
}

core::Duration Cluster::networkDelay(std::uint32_t from, std::uint32_t to) {
  if (from == to)
    return withJitter(SameDomainDelay);
  const bool far = InjectedFault == Fault::DomainInOtherRegion &&
                   (from == DomainCount - 1 || to == DomainCount - 1);
  return withJitter(far ? ActiveDeployment.RegionDelay : CrossDomainDelay);
}

core::Duration Cluster::withJitter(core::Duration delay) {
  std::exponential_distribution<double> jitter(1 / JitterFraction);
  std::bernoulli_distribution lost(LossRate);
  const auto extra =
      std::chrono::duration_cast<core::Duration>(delay * jitter(Random));
  return delay + extra + (lost(Random) ? RetransmitTime : core::Duration{});
}

std::uint32_t Cluster::domainOf(core::LeafIndex leaf) const {
  return leaf % DomainCount;
}

core::ServiceSettings Cluster::settings() const {
  core::ServiceSettings settings;
  settings.Name = Shape.Name;
  settings.LeafSlots = Shape.Slots;
  settings.LeafConnections = Shape.Connections;
  for (core::LeafIndex it = 0; it < size(); ++it)
    settings.Leaves.push_back({"leaf-" + std::to_string(it), "",
                               std::to_string(domainOf(it)),
                               std::to_string(it / Shape.Replicas)});
  return settings;
}

} // namespace savorytrestle::bench
