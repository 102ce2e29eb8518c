#ifndef SAVORYTRESTLE_CORE_ATTEMPT_TABLE_H
#define SAVORYTRESTLE_CORE_ATTEMPT_TABLE_H

/// @file
/// @brief Attempts of one search and the times at which to hedge them.

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief One sub-request of a search, sent to one leaf for one shard.
struct Attempt {
  LeafIndex Leaf = 0;
  ShardIndex Shard = 0;
  TimePoint SentAt;
  Duration HedgeDelay{};
  bool Active = false;
};

/// @brief Assigns attempt ids and tracks which attempts are in flight and when
/// to hedge them.
class AttemptTable {
public:
  /// @brief Adds an attempt.
  /// @param leaf the leaf it is sent to
  /// @param shard the shard it requests
  /// @param now current time
  /// @param hedgeDelay time until it is due for a hedge, raised to 1 ms if less
  /// @return its id, never reused; O(log attempts)
  AttemptId add(LeafIndex leaf, ShardIndex shard, TimePoint now,
                Duration hedgeDelay);

  /// @brief Marks an active attempt as no longer in flight. O(1).
  /// @param id the attempt
  void markEnded(AttemptId id);

  /// @brief Whether an attempt is in flight.
  /// @param id any id, also one that was never assigned
  bool isActive(AttemptId id) const;

  /// @brief One attempt.
  /// @param id an id returned by @ref add
  /// @return the attempt
  const Attempt &operator[](AttemptId id) const { return Attempts[id]; }

  /// @brief Number of attempts in flight.
  std::uint32_t activeCount() const { return ActiveCount; }

  /// @brief Attempts in flight, in ascending order of id.
  /// @param shard restricts the result to this shard, if given
  /// @return their ids; O(attempts)
  std::vector<AttemptId>
  findActive(std::optional<ShardIndex> shard = std::nullopt) const;

  /// @brief Returns one attempt that is due for a hedge and reschedules it by
  /// its hedge delay. O(log attempts) amortised.
  /// @param now current time
  /// @return the attempt, or nothing when none is due
  std::optional<AttemptId> takeDueHedge(TimePoint now);

  /// @brief Earliest time at which @ref takeDueHedge may return an attempt.
  /// @return the time, too early if that attempt has ended since, or nothing;
  /// O(1)
  std::optional<TimePoint> nextHedgeTime() const;

private:
  std::vector<Attempt> Attempts;
  using HedgeTimer = std::pair<TimePoint, AttemptId>;

  /// Earliest first; an ended attempt stays until its time is reached.
  std::priority_queue<HedgeTimer, std::vector<HedgeTimer>, std::greater<>>
      HedgeQueue;
  std::uint32_t ActiveCount = 0;
};

} // namespace savorytrestle::core

#endif
