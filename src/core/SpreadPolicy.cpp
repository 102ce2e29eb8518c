#include "savorytrestle/core/SpreadPolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

std::uint64_t rendezvousWeight(const std::string &id, std::uint64_t seed) {
  return XXH3_64bits_withSeed(id.data(), id.size(), seed);
}

/// Seed of the choice of watchers; any fixed value will do.
constexpr std::uint64_t WatcherSeed = 0x77617463;

/// One poll in this many goes to another region, so that regions exchange
/// revisions while most traffic stays off the expensive links between them.
constexpr std::uint64_t OtherRegionEvery = 4;

} // namespace

std::chrono::milliseconds
SpreadTiming::inForceAfterChange(std::chrono::milliseconds storeCall) const {
  return HardAge + MaxCheckInterval + storeCall;
}

// A call made just before the store's return is never answered.
std::chrono::milliseconds
SpreadTiming::inForceAfterReturn(std::chrono::milliseconds storeTimeout,
                                 std::chrono::milliseconds storeCall) const {
  return storeTimeout + MaxBackoff + MaxCheckInterval + storeCall;
}

std::chrono::milliseconds drawPollInterval(std::chrono::milliseconds interval,
                                           Rng &rng) {
  const auto span = static_cast<std::uint64_t>(interval.count() / 2 + 1);
  return interval * 3 / 4 + std::chrono::milliseconds(rng() % span);
}

bool isWatcher(const std::string &self, const std::vector<HostInfo> &live,
               std::uint32_t perRegion) {
  const auto ownEntry =
      std::find_if(live.begin(), live.end(),
                   [&](const HostInfo &host) { return host.Id == self; });
  if (ownEntry == live.end())
    return false;
  const auto ownWeight = rendezvousWeight(self, WatcherSeed);
  const auto before =
      std::count_if(live.begin(), live.end(), [&](const HostInfo &host) {
        return host.Region == ownEntry->Region &&
               rendezvousWeight(host.Id, WatcherSeed) > ownWeight;
      });
  return before < static_cast<std::ptrdiff_t>(perRegion);
}

std::vector<HostInfo> pushTargets(const std::string &self,
                                  const std::vector<HostInfo> &live,
                                  std::uint64_t revision,
                                  std::uint32_t fanout) {
  const auto seed = rendezvousWeight(self, revision);
  std::vector<std::pair<std::uint64_t, const HostInfo *>> weighted;
  weighted.reserve(live.size());
  for (const auto &host : live)
    if (host.Id != self)
      weighted.emplace_back(rendezvousWeight(host.Id, seed), &host);
  const auto count = std::min<std::size_t>(fanout, weighted.size());
  const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
      weighted.begin(), middle, weighted.end(),
      [](const auto &a, const auto &b) { return a.first > b.first; });
  std::vector<HostInfo> targets;
  targets.reserve(count);
  for (auto it = weighted.begin(); it != middle; ++it)
    targets.push_back(*it->second);
  return targets;
}

std::optional<HostInfo> pollTarget(const std::string &self,
                                   const std::string &region,
                                   const std::vector<HostInfo> &live,
                                   Rng &rng) {
  std::vector<const HostInfo *> near;
  std::vector<const HostInfo *> far;
  for (const auto &host : live)
    if (host.Id != self)
      (host.Region == region ? near : far).push_back(&host);
  const bool toOtherRegion = rng() % OtherRegionEvery == 0;
  const auto &pool =
      near.empty() || (toOtherRegion && !far.empty()) ? far : near;
  if (pool.empty())
    return std::nullopt;
  return *pool[rng() % pool.size()];
}

// At the soft age each host checks with a chance that gives a fixed rate over
// all hosts, so the store's load does not grow with the fleet. The chance
// doubles as the age grows. A host that has checked has fresh state for its
// peers, so few hosts reach the hard age, where a host no longer relies on the
// others.
bool StoreCheckTimer::due(Duration age, std::size_t liveHosts, TimePoint now,
                          Rng &rng) const {
  if (age < Timing.SoftAge || now < NotBefore)
    return false;
  if (age >= Timing.HardAge)
    return true;
  const std::chrono::duration<double> interval = Timing.PeerPollInterval;
  const std::chrono::duration<double> over = age - Timing.SoftAge;
  const std::chrono::duration<double> doubling = Timing.ChanceDoubling;
  const double share = Timing.FleetChecksPerSecond * interval.count() /
                       static_cast<double>(std::max<std::size_t>(liveHosts, 1));
  const double chance = share * std::exp2(over / doubling);
  return std::uniform_real_distribution<double>()(rng) < chance;
}

void StoreCheckTimer::onChecked(bool reachable, TimePoint now, Rng &rng) {
  const Duration least = Timing.PeerPollInterval;
  const Duration most = Timing.MaxBackoff;
  Backoff = reachable ? Duration::zero()
                      : std::min(std::max(2 * Backoff, least), most);
  // Jitter over the last quarter of the backoff spreads hosts that failed at
  // the same time.
  const auto span = static_cast<std::uint64_t>(Backoff.count() / 4);
  const auto jitter = span == 0 ? 0 : rng() % span;
  NotBefore =
      now + Backoff * 3 / 4 + Duration(static_cast<Duration::rep>(jitter));
}

} // namespace savorytrestle::core
