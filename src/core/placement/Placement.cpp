#include "savorytrestle/core/placement/Placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

/// Groups that a slice may have above the mean, as a fraction of it.
constexpr double MaxGroupExcess = 0.1;

std::uint64_t rendezvousScore(const std::string &key, std::uint64_t member) {
  return XXH3_64bits_withSeed(key.data(), key.size(), member);
}

bool fitsUnsliced(const PlacedService &service,
                  const PlacementSettings &settings) {
  return settings.SlotCount * settings.MinConnectionsPerSlot <=
         service.LeafConnections;
}

/// Divides the slots between services by weight. The numbers add up to slots.
std::vector<std::uint32_t>
divideSlots(const std::vector<PlacedService> &services, std::uint32_t slots) {
  double totalWeight = 0;
  for (const auto &service : services)
    totalWeight += service.Weight;
  std::vector<std::uint32_t> counts;
  double cumulativeWeight = 0;
  for (const auto &service : services) {
    // Differences of rounded cumulative sums, so that rounding loses no slot.
    const auto from = std::floor(cumulativeWeight * slots / totalWeight + 0.5);
    cumulativeWeight += service.Weight;
    const auto to = std::floor(cumulativeWeight * slots / totalWeight + 0.5);
    counts.push_back(static_cast<std::uint32_t>(to - from));
  }
  return counts;
}

/// Takes free slots in the order of rendezvous hashing. A failure domain
/// contributes at most its even part unless the others have too few free slots.
std::vector<std::uint32_t> takeSlots(const std::string &key,
                                     std::uint32_t count,
                                     const PlacementSettings &settings,
                                     std::vector<bool> &taken) {
  std::vector<std::uint32_t> ranked(settings.SlotCount);
  std::iota(ranked.begin(), ranked.end(), 0);
  std::sort(ranked.begin(), ranked.end(), [&](auto a, auto b) {
    return std::pair(rendezvousScore(key, a), a) >
           std::pair(rendezvousScore(key, b), b);
  });
  const auto domains = std::max(1U, settings.FailureDomainCount);
  const auto quota = (count + domains - 1) / domains;
  std::vector<std::uint32_t> used(domains, 0);
  std::vector<std::uint32_t> chosen;
  for (const bool limitDomains : {true, false})
    for (const auto slot : ranked) {
      if (chosen.size() == count)
        break;
      if (taken[slot] || (limitDomains && used[slot % domains] == quota))
        continue;
      taken[slot] = true;
      ++used[slot % domains];
      chosen.push_back(slot);
    }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

} // namespace

std::vector<SlicePlacement> placeSlices(std::vector<PlacedService> services,
                                        const PlacementSettings &settings) {
  std::sort(services.begin(), services.end(),
            [](const auto &a, const auto &b) { return a.Name < b.Name; });
  std::vector<SlicePlacement> placements;
  std::vector<PlacedService> sliced;
  for (auto &service : services) {
    if (!fitsUnsliced(service, settings)) {
      sliced.push_back(std::move(service));
      continue;
    }
    placements.push_back({service.Name, 0, 1, {}});
    placements.back().Slots.resize(settings.SlotCount);
    std::iota(placements.back().Slots.begin(), placements.back().Slots.end(),
              0);
  }
  const auto counts = divideSlots(sliced, settings.SlotCount);
  std::vector<bool> taken(settings.SlotCount, false);
  for (std::size_t n = 0; n < sliced.size(); ++n) {
    const auto &[name, connections, weight] = sliced[n];
    const auto maxSlots =
        std::max(1U, connections / settings.MinConnectionsPerSlot);
    const auto slices = std::max(1U, (counts[n] + maxSlots - 1) / maxSlots);
    for (std::uint32_t slice = 0; slice < slices; ++slice) {
      const auto count = counts[n] / slices + (slice < counts[n] % slices);
      const auto key = name + '/' + std::to_string(slice);
      placements.push_back(
          {name, slice, slices, takeSlots(key, count, settings, taken)});
    }
  }
  std::stable_sort(
      placements.begin(), placements.end(),
      [](const auto &a, const auto &b) { return a.Service < b.Service; });
  return placements;
}

std::optional<HostSlot> slotWithinSlice(const SlicePlacement &slice,
                                        const HostSlot &slot) {
  const auto it =
      std::lower_bound(slice.Slots.begin(), slice.Slots.end(), slot.Number);
  if (it == slice.Slots.end() || *it != slot.Number)
    return std::nullopt;
  return HostSlot{static_cast<std::uint32_t>(it - slice.Slots.begin()),
                  static_cast<std::uint32_t>(slice.Slots.size()),
                  slot.ValidUntil};
}

std::vector<std::uint32_t> assignGroups(std::span<const std::string> groups,
                                        std::uint32_t slices) {
  // Sorted by name, since the order of the list may differ between hosts.
  std::vector<std::size_t> order(groups.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](auto a, auto b) { return groups[a] < groups[b]; });
  const double mean = static_cast<double>(groups.size()) / slices;
  const auto maxGroups =
      static_cast<std::uint32_t>(std::ceil(mean * (1 + MaxGroupExcess)));
  std::vector<std::uint32_t> sizes(slices, 0);
  std::vector<std::uint32_t> assigned(groups.size(), 0);
  for (const auto group : order) {
    std::optional<std::uint32_t> best;
    for (std::uint32_t slice = 0; slice < slices; ++slice)
      if (sizes[slice] < maxGroups &&
          (!best || rendezvousScore(groups[group], slice) >
                        rendezvousScore(groups[group], *best)))
        best = slice;
    assigned[group] = *best;
    ++sizes[*best];
  }
  return assigned;
}

FleetCost estimateFleetCost(const FleetLoad &load, double hostsPerLeaf) {
  using Seconds = std::chrono::duration<double>;
  FleetCost cost;
  cost.HostsPerLeaf = hostsPerLeaf;
  cost.ConnectionsPerHost = load.Leaves * load.LeafConnections / load.Hosts;
  // Each search of a service involves all of its slices. A host that connects
  // to every leaf sends nothing to other hosts.
  const double slices = load.Hosts / (load.Services * hostsPerLeaf);
  cost.SlicesPerQuery = hostsPerLeaf >= load.Hosts ? 0 : slices;
  cost.PeerCallsPerHost =
      load.QueriesPerSecond * cost.SlicesPerQuery / load.Hosts;
  const double requests = load.QueriesPerSecond * load.LeavesPerQuery;
  cost.LeafRequestsPerLeaf = requests / load.Leaves;
  cost.LeafRequestsPerHost = requests / load.Hosts;
  const double calls =
      load.Utilisation * load.LeafSlots / Seconds(load.SlotTime).count();
  cost.RequestsPerCall = std::max(1.0, cost.LeafRequestsPerLeaf / calls);
  const double perHostAndGroup =
      cost.LeafRequestsPerLeaf * load.Replicas / hostsPerLeaf;
  cost.BatchFillTime = std::chrono::duration_cast<Duration>(
      Seconds((cost.RequestsPerCall - 1) / perHostAndGroup));
  cost.CallsPerConnection =
      cost.LeafRequestsPerLeaf / cost.RequestsPerCall / load.LeafConnections;
  const double callsPerHost = 2 * cost.PeerCallsPerHost +
                              cost.LeafRequestsPerHost / cost.RequestsPerCall;
  cost.Cores = callsPerHost * Seconds(load.CpuPerCall).count();
  return cost;
}

} // namespace savorytrestle::core
