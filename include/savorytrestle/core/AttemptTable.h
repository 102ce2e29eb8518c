#ifndef SAVORYTRESTLE_CORE_ATTEMPT_TABLE_H
#define SAVORYTRESTLE_CORE_ATTEMPT_TABLE_H

/// @file
/// @brief The attempts of one search and when they are due for a hedge.

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief One sub-request of a search.
struct Attempt {
  LeafIndex Leaf = 0;
  ShardIndex Shard = 0;
  TimePoint SentAt;
  Duration HedgeDelay{};
  bool Active = false;
};

/// @brief Numbers attempts, keeps those in flight and their hedge times.
class AttemptTable {
public:
  /// @brief Adds an attempt.
  /// @param leaf the leaf asked
  /// @param shard the shard asked for
  /// @param now current time
  /// @param hedgeDelay when it is due for a hedge; at least 1 ms is kept
  /// @return its number, never reused; O(log attempts)
  AttemptId add(LeafIndex leaf, ShardIndex shard, TimePoint now,
                Duration hedgeDelay);

  /// @brief Ends an attempt that is active. O(1).
  /// @param id the attempt
  void markEnded(AttemptId id);

  /// @brief Whether an attempt is in flight.
  /// @param id any number, also one that was never given out
  /// @return true when it is
  bool isActive(AttemptId id) const;

  /// @brief One attempt.
  /// @param id a number given out by @ref add
  /// @return the attempt
  const Attempt &operator[](AttemptId id) const { return Attempts[id]; }

  /// @brief Attempts in flight.
  /// @return their number
  std::uint32_t activeCount() const { return ActiveCount; }

  /// @brief Attempts in flight, by number.
  /// @param shard of this shard only, if given
  /// @return their numbers; O(attempts)
  std::vector<AttemptId>
  findActive(std::optional<ShardIndex> shard = std::nullopt) const;

  /// @brief Takes one attempt that is due for a hedge; it comes up again after
  /// another delay. O(log attempts) amortised.
  /// @param now current time
  /// @return the attempt, or nothing when none is due
  std::optional<AttemptId> takeDueHedge(TimePoint now);

  /// @brief When @ref takeDueHedge may next give something.
  /// @return the time, perhaps early, or nothing; O(1)
  std::optional<TimePoint> nextHedgeTime() const;

private:
  std::vector<Attempt> Attempts;
  using HedgeTimer = std::pair<TimePoint, AttemptId>;

  /// The earliest first; ended attempts stay until they come up.
  std::priority_queue<HedgeTimer, std::vector<HedgeTimer>, std::greater<>>
      HedgeQueue;
  std::uint32_t ActiveCount = 0;
};

} // namespace savorytrestle::core

#endif
