#include "savorytrestle/core/placement/RelayPolicy.h"

namespace savorytrestle::core {

namespace {

/// With fewer shards in a relay, the merged answer with its signatures saves
/// too little to justify the detour through another host.
constexpr std::size_t MinShardsPerRelay = 6;
/// Hosts whose requests one host takes beside its own, before those of farther
/// domains are used: these answer later.
constexpr std::size_t MaxForwardersPerHost = 4;

/// Selects one of the domains within a distance, in proportion to their
/// available hosts.
std::optional<std::size_t> drawDomain(const std::vector<ForwardDomain> &domains,
                                      LeafDistance within, bool tried,
                                      double draw) {
  const auto eligible = [&](const ForwardDomain &it) {
    return it.Distance <= within && it.Tried == tried && it.Available > 0;
  };
  std::size_t total = 0;
  for (const ForwardDomain &domain : domains)
    total += eligible(domain) ? domain.Available : 0;
  if (total == 0)
    return std::nullopt;
  auto left = static_cast<std::size_t>(draw * static_cast<double>(total));
  for (std::size_t i = 0; i < domains.size(); ++i) {
    if (!eligible(domains[i]))
      continue;
    if (left < domains[i].Available)
      return i;
    left -= domains[i].Available;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::size_t>
chooseForwardDomain(const std::vector<ForwardDomain> &domains, double draw) {
  for (const LeafDistance within :
       {LeafDistance::SameDomain, LeafDistance::SameRegion}) {
    std::size_t available = 0;
    std::size_t withoutLeaves = 0;
    for (const ForwardDomain &domain : domains)
      if (domain.Distance <= within) {
        available += domain.Available;
        withoutLeaves += domain.WithoutLeaves;
      }
    if (available * MaxForwardersPerHost < withoutLeaves)
      continue;
    if (const auto i = drawDomain(domains, within, false, draw))
      return i;
  }
  if (const auto i = drawDomain(domains, LeafDistance::Remote, false, draw))
    return i;
  return drawDomain(domains, LeafDistance::Remote, true, draw);
}

RelayPlan planRelays(const std::string &own, const ShardDomains &shards) {
  RelayPlan plan;
  for (std::size_t i = 0; i < shards.size(); ++i)
    if (!shards[i].empty() && shards[i].count(own) == 0)
      plan[*shards[i].begin()].push_back(i);
  for (auto it = plan.begin(); it != plan.end();)
    it = it->second.size() < MinShardsPerRelay ? plan.erase(it) : std::next(it);
  return plan;
}

} // namespace savorytrestle::core
