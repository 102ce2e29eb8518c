#ifndef SAVORYTRESTLE_CORE_BASELINE_SEARCH_H
#define SAVORYTRESTLE_CORE_BASELINE_SEARCH_H

/// @file
/// @brief The baseline that other policies are measured against.

#include <unordered_map>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief Asks one random replica of each shard and waits for all: no hedge, no
/// retry, no limit.
class BaselineSearch {
public:
  /// @brief Prepares a search.
  /// @param snapshot the index version and its leaves
  /// @param deadline when the answer is due
  BaselineSearch(Snapshot snapshot, TimePoint deadline);

  /// @brief Sends one attempt for each shard.
  /// @param now current time
  /// @param rng picks the replicas
  /// @return the attempts; O(shards)
  std::vector<SearchAction> start(TimePoint now, Rng &rng);

  /// @brief Takes a reply in; one that does not match its attempt counts as a
  /// failure.
  /// @param reply the reply
  /// @param now current time
  /// @param rng unused
  /// @return FinishSearch once nothing is pending; O(rows)
  std::vector<SearchAction> onReply(LeafReply reply, TimePoint now, Rng &rng);

  /// @brief Gives the attempt's shard up.
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
  /// @return cancels for what is pending, and FinishSearch; O(shards)
  std::vector<SearchAction> onTimer(TimePoint now, Rng &rng);

  /// @brief When @ref onTimer wants to be called.
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
