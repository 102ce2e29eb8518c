#include "leaf/LeafChoice.h"

#include <algorithm>
#include <utility>

#include "savorytrestle/core/HedgePolicy.h"
#include "savorytrestle/core/admission/RefusalPolicy.h"

namespace savorytrestle::leaf {

using SteadyClock = std::chrono::steady_clock;

namespace {

/// Random factor on costs, so that hosts don't all choose the same one of
/// several leaves with nearly the same cost.
constexpr double CostJitter = 0.2;
/// Initial latency estimate of a route, as a share of its objective.
constexpr double InitialLatencyShare = 0.15;

} // namespace

bool acceptsNow(const Leaf &leaf, core::TimePoint now) {
  return leaf.acceptsRequests() && leaf.available() &&
         leaf.hasFreeConnection() && !leaf.score().inBackoff(now) &&
         leaf.silence().allowsRequest(now);
}

core::Duration initialLatency(const core::RouteRule &route) {
  return std::chrono::duration_cast<core::Duration>(route.Objective *
                                                    InitialLatencyShare);
}

core::Duration expectedLatency(const Service &service,
                               const core::RouteRule &route) {
  const auto it = service.Latencies.find(route.Name);
  return it == service.Latencies.end() ? initialLatency(route)
                                       : it->second.get();
}

core::Duration costOf(const Service &service, const Leaf &leaf,
                      core::Duration expected, core::TimePoint now) {
  return leaf.score().cost(now, expected, service.OthersLoad.perSlot());
}

std::shared_ptr<Leaf> chooseLeaf(const Service &service,
                                 core::Duration expected,
                                 std::vector<std::shared_ptr<Leaf>> tried,
                                 double draw, std::minstd_rand &random,
                                 const core::HomeRegions &homes) {
  const auto now = SteadyClock::now();
  std::uniform_real_distribution<double> jitter(1, 1 + CostJitter);
  for (;;) {
    std::shared_ptr<Leaf> best;
    double bestCost = 0;
    for (const auto &leaf : service.Leaves) {
      if (!acceptsNow(*leaf, now) || !homes.allows(leaf->region()) ||
          std::find(tried.begin(), tried.end(), leaf) != tried.end())
        continue;
      const double cost =
          jitter(random) *
          static_cast<double>(costOf(service, *leaf, expected, now).count());
      if (!best || cost < bestCost) {
        best = leaf;
        bestCost = cost;
      }
    }
    if (!best)
      return nullptr;
    const double chance = best->sendChance(now);
    if (draw < chance)
      return best;
    // What is left of the draw stays uniform for the next leaf.
    draw -= chance;
    best->onDrawLost(now);
    tried.push_back(std::move(best));
  }
}

bool reachable(const Service &service, double draw,
               const core::HomeRegions &homes) {
  const auto now = SteadyClock::now();
  for (const auto &leaf : service.Leaves)
    if (acceptsNow(*leaf, now) && homes.allows(leaf->region())) {
      draw -= leaf->sendChance(now);
      if (draw < 0)
        return true;
    }
  return false;
}

void recordDrawLost(const Service &service, const core::HomeRegions &homes) {
  const auto now = SteadyClock::now();
  for (const auto &leaf : service.Leaves)
    if (acceptsNow(*leaf, now) && homes.allows(leaf->region()))
      leaf->onDrawLost(now);
}

core::TimePoint availableAt(const Service &service, core::TimePoint now,
                            const core::HomeRegions &homes) {
  auto earliest = core::TimePoint::max();
  for (const auto &leaf : service.Leaves) {
    if (!homes.allows(leaf->region()))
      continue;
    // The end of a backoff after a failed connection promises nothing.
    if (acceptsNow(*leaf, now))
      earliest = std::min(earliest, leaf->nextSend(now));
    else if (leaf->acceptsRequests() && leaf->silence().end() > now)
      earliest = std::min(earliest, leaf->silence().end());
  }
  return earliest;
}

std::chrono::milliseconds retryAfter(
    const core::RouteRule &route, const std::vector<const Service *> &services,
    core::TimePoint deadline, double draw, const core::HomeRegions &homes) {
  const auto now = SteadyClock::now();
  std::vector<core::TimePoint> availability;
  availability.reserve(services.size());
  for (const Service *service : services)
    availability.push_back(availableAt(*service, now, homes));
  const std::size_t needed = route.sharded() ? core::minShards(route) : 1;
  return core::retryAfter(route, now,
                          core::enoughAvailableAt(availability, needed),
                          deadline, draw);
}

} // namespace savorytrestle::leaf
