#include "savorytrestle/core/AttemptTable.h"

#include <algorithm>
#include <chrono>

namespace savorytrestle::core {

namespace {

/// Hedges closer than this to their first attempt are not worth their load;
/// a delay of zero would also never let takeDueHedge end.
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(1);

} // namespace

AttemptId AttemptTable::add(LeafIndex leaf, ShardIndex shard, TimePoint now,
                            Duration hedgeDelay) {
  const auto id = static_cast<AttemptId>(Attempts.size());
  const Duration delay = std::max(hedgeDelay, MinHedgeDelay);
  Attempts.push_back({leaf, shard, now, delay, true});
  HedgeQueue.emplace(now + delay, id);
  ++ActiveCount;
  return id;
}

void AttemptTable::markEnded(AttemptId id) {
  Attempts[id].Active = false;
  --ActiveCount;
}

bool AttemptTable::isActive(AttemptId id) const {
  return id < Attempts.size() && Attempts[id].Active;
}

std::vector<AttemptId>
AttemptTable::findActive(std::optional<ShardIndex> shard) const {
  std::vector<AttemptId> found;
  for (AttemptId id = 0; id < Attempts.size(); ++id)
    if (Attempts[id].Active && (!shard || Attempts[id].Shard == *shard))
      found.push_back(id);
  return found;
}

std::optional<AttemptId> AttemptTable::takeDueHedge(TimePoint now) {
  while (!HedgeQueue.empty()) {
    const auto [due, id] = HedgeQueue.top();
    const Attempt &attempt = Attempts[id];
    if (attempt.Active && due > now)
      return std::nullopt;
    HedgeQueue.pop();
    if (!attempt.Active)
      continue;
    // The hedge may be refused for want of budget, which can recover.
    HedgeQueue.emplace(now + attempt.HedgeDelay, id);
    return id;
  }
  return std::nullopt;
}

std::optional<TimePoint> AttemptTable::nextHedgeTime() const {
  if (HedgeQueue.empty())
    return std::nullopt;
  return HedgeQueue.top().first;
}

} // namespace savorytrestle::core
