#ifndef SAVORYTRESTLE_CORE_REMOVAL_GRACE_PERIOD_H
#define SAVORYTRESTLE_CORE_REMOVAL_GRACE_PERIOD_H

/// @file
/// @brief Delays the removal of leaf entries that may only have expired while
/// the store was unreachable. In an outage of the store, the entries of all
/// leaves may expire.

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
  /// @brief Starts outside a grace period.
  /// @param graceTime how long after the store is reachable again an expired
  /// entry may still be rewritten
  explicit RemovalGracePeriod(Duration graceTime) : GraceTime(graceTime) {}

  /// @brief Starts the grace period, as the store is reachable again. O(1).
  void onStoreReachable(TimePoint now) { GraceEnd = now + GraceTime; }

  /// @brief Entries were removed together. If they are a large fraction of all,
  /// the store was unreachable without this host detecting it, as a waiting
  /// watch receives nothing in an outage: starts the grace period. O(1).
  /// @param removed entries of usable leaves that were removed
  /// @param known usable leaves before the removal
  /// @param now the time
  void onRemovalBatch(std::size_t removed, std::size_t known, TimePoint now);

  /// @brief An entry was removed or is no longer listed. O(log held).
  /// @param id the leaf
  /// @param now the time
  /// @return true if the leaf is to be removed now, false if the removal is
  /// held back
  bool onRemoved(const std::string &id, TimePoint now);

  /// @brief An entry was written. O(log held).
  void onPut(const std::string &id) { Held.erase(id); }

  /// @brief Whether any removal is held back.
  bool hasHeld() const { return !Held.empty(); }

  /// @brief When the grace period ends.
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
