#include "savorytrestle/core/AttemptTable.h"

#include <algorithm>
#include <chrono>

namespace savorytrestle::core {

namespace {

/// An earlier hedge costs more load than it gains. With a delay of zero a loop
/// over takeDueHedge would not terminate.
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
    // The caller may lack the budget for this hedge now and have it later.
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
