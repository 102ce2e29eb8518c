#include "savorytrestle/core/LapsedEntries.h"

namespace savorytrestle::core {

bool LapsedEntries::onRemoved(const std::string &id, TimePoint now) {
  if (now >= HoldUntil)
    return true;
  // The first removal sets the time: a list that lacks the entry again doesn't
  // extend it.
  Held.try_emplace(id, HoldUntil);
  return false;
}

std::vector<std::string> LapsedEntries::takeDue(TimePoint now) {
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
