#include "savorytrestle/core/RelayPolicy.h"

namespace savorytrestle::core {

namespace {

/// With fewer shards in a relay, the merged answer with its signatures saves
/// too little to justify the detour through another host.
constexpr std::size_t MinShardsPerRelay = 6;

} // namespace

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
