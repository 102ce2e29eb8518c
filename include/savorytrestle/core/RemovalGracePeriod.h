#ifndef SAVORYTRESTLE_CORE_REMOVAL_GRACE_PERIOD_H
#define SAVORYTRESTLE_CORE_REMOVAL_GRACE_PERIOD_H

/// @file
/// @brief Which removed leaf entries may only have lapsed while the store was
/// away. Answers store outages, during which all leaves may lose their entry.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Holds removals back for as long as living leaves take to write their
/// entry again.
class RemovalGracePeriod {
public:
  /// @brief Makes a keeper.
  /// @param graceTime how long after the store's return a lapsed entry may
  /// still come back
  explicit RemovalGracePeriod(Duration graceTime) : GraceTime(graceTime) {}

  /// @brief The store is reached again. O(1).
  void onStoreReachable(TimePoint now) { GraceEnd = now + GraceTime; }

  /// @brief Entries were removed together. When they are a large part of all,
  /// the store was away without being missed, as a watch that waits hears
  /// nothing. O(1).
  /// @param removed entries of usable leaves that were removed
  /// @param known usable leaves before
  /// @param now the time
  void onRemovalBatch(std::size_t removed, std::size_t known, TimePoint now);

  /// @brief An entry was removed or isn't listed any more. O(log held).
  /// @param id the leaf
  /// @param now the time
  /// @return true when the leaf is to be dropped now, false when it is held
  bool onRemoved(const std::string &id, TimePoint now);

  /// @brief An entry was written. O(log held).
  void onPut(const std::string &id) { Held.erase(id); }

  /// @brief Whether any removal is held back.
  bool hasHeld() const { return !Held.empty(); }

  /// @brief When held removals fall due.
  TimePoint graceEnd() const { return GraceEnd; }

  /// @brief Takes the removals that have fallen due. O(held).
  std::vector<std::string> takeDue(TimePoint now);

private:
  Duration GraceTime;
  TimePoint GraceEnd{};
  std::map<std::string, TimePoint> Held;
};

} // namespace savorytrestle::core

#endif
