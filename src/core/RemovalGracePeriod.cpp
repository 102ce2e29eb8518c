#include "savorytrestle/core/RemovalGracePeriod.h"

namespace savorytrestle::core {

namespace {

/// Larger than the fraction of leaves that stop together in a release or when
/// an index is repartitioned.
constexpr double LargeFraction = 0.25;
/// Batches up to this size do not start a grace period.
constexpr std::size_t MaxSmallBatch = 3;

} // namespace

void RemovalGracePeriod::onRemovalBatch(std::size_t removed, std::size_t known,
                                        TimePoint now) {
  if (removed > MaxSmallBatch &&
      static_cast<double>(removed) > LargeFraction * static_cast<double>(known))
    onStoreReachable(now);
}

bool RemovalGracePeriod::onRemoved(const std::string &id, TimePoint now) {
  if (now >= GraceEnd)
    return true;
  // The first removal sets the time: a list that lacks the entry again doesn't
  // extend it.
  Held.try_emplace(id, GraceEnd);
  return false;
}

std::vector<std::string> RemovalGracePeriod::takeDue(TimePoint now) {
  std::vector<std::string> due;
  for (auto it = Held.begin(); it != Held.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    due.push_back(it->first);
    it = Held.erase(it);
  }
  return due;
}

} // namespace savorytrestle::core
