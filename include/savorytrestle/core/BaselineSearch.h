#ifndef SAVORYTRESTLE_CORE_BASELINE_SEARCH_H
#define SAVORYTRESTLE_CORE_BASELINE_SEARCH_H

/// @file
/// @brief Baseline search policy, with which other policies are compared.

#include <unordered_map>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief Sends each shard's sub-request to one random replica and waits for
/// all replies, without hedges, retries or load limits.
class BaselineSearch {
public:
  /// @brief Prepares a search.
  /// @param snapshot the index version and its leaves
  /// @param deadline time at which the search ends
  BaselineSearch(Snapshot snapshot, TimePoint deadline);

  /// @brief Sends one attempt for each shard.
  /// @param now current time
  /// @param rng picks the replicas
  /// @return the attempts; O(shards)
  std::vector<SearchAction> start(TimePoint now, Rng &rng);

  /// @brief Processes a reply; one that does not match its attempt is treated
  /// as a failure.
  /// @param reply the reply
  /// @param now current time
  /// @param rng unused
  /// @return FinishSearch once nothing is pending; O(rows)
  std::vector<SearchAction> onReply(LeafReply reply, TimePoint now, Rng &rng);

  /// @brief Leaves the attempt's shard out of the answer.
  /// @param id the attempt
  /// @param failure why it failed
  /// @param now current time
  /// @param rng unused
  /// @return FinishSearch once nothing is pending; O(1)
  std::vector<SearchAction> onFailure(AttemptId id, AttemptFailure failure,
                                      TimePoint now, Rng &rng);

  /// @brief Ends the search once the deadline has passed.
  /// @param now current time
  /// @param rng unused
  /// @return a CancelAttempt for each pending attempt, and FinishSearch;
  /// O(shards)
  std::vector<SearchAction> onTimer(TimePoint now, Rng &rng);

  /// @brief Time at which to call @ref onTimer.
  /// @return the deadline, or nothing once finished
  std::optional<TimePoint> nextTimer() const;

  /// @brief Moves the merged answer out; call once, after FinishSearch.
  /// @return the answer
  SearchAnswer takeAnswer();

private:
  std::vector<SearchAction> finishIfDone();

  Snapshot PinnedSnapshot;
  TimePoint Deadline;
  std::unordered_map<AttemptId, ShardIndex> Pending;
  std::vector<bool> Answered;
  SearchAnswer Answer;
  bool Finished = false;
};

static_assert(SearchPolicy<BaselineSearch>);

} // namespace savorytrestle::core

#endif
