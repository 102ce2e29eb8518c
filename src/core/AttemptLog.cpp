#include "savorytrestle/core/AttemptLog.h"

#include <algorithm>
#include <chrono>

namespace savorytrestle::core {

namespace {

/// Hedges closer than this to their first attempt are not worth their load;
/// a delay of zero would also never let takeDue end.
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(1);

} // namespace

AttemptId AttemptLog::open(LeafIndex leaf, ShardIndex shard, TimePoint now) {
  const auto id = static_cast<AttemptId>(Attempts.size());
  Attempts.push_back({leaf, shard, now, now + HedgeDelay, true});
  HedgeQueue.push_back(id);
  ++ActiveCount;
  return id;
}

void AttemptLog::setHedgeDelay(Duration delay) {
  HedgeDelay = std::max(delay, MinHedgeDelay);
}

void AttemptLog::close(AttemptId id) {
  Attempts[id].Active = false;
  --ActiveCount;
}

bool AttemptLog::isActive(AttemptId id) const {
  return id < Attempts.size() && Attempts[id].Active;
}

std::vector<AttemptId>
AttemptLog::findActive(std::optional<ShardIndex> shard) const {
  std::vector<AttemptId> found;
  for (AttemptId id = 0; id < Attempts.size(); ++id)
    if (Attempts[id].Active && (!shard || Attempts[id].Shard == *shard))
      found.push_back(id);
  return found;
}

std::optional<AttemptId> AttemptLog::takeDue(TimePoint now) {
  while (!HedgeQueue.empty()) {
    const AttemptId id = HedgeQueue.front();
    Attempt &attempt = Attempts[id];
    if (attempt.Active && attempt.HedgeAt > now)
      return std::nullopt;
    HedgeQueue.pop_front();
    if (!attempt.Active)
      continue;
    // The hedge may be refused for want of budget, which can recover.
    attempt.HedgeAt = now + HedgeDelay;
    HedgeQueue.push_back(id);
    return id;
  }
  return std::nullopt;
}

std::optional<TimePoint> AttemptLog::nextDue() const {
  if (HedgeQueue.empty())
    return std::nullopt;
  return Attempts[HedgeQueue.front()].HedgeAt;
}

} // namespace savorytrestle::core
