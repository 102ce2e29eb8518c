#ifndef SAVORYTRESTLE_CORE_SEARCH_PROGRESS_H
#define SAVORYTRESTLE_CORE_SEARCH_PROGRESS_H

/// @file
/// @brief What one search has gathered, shard by shard.

#include <optional>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief Where a shard of a search stands.
enum class ShardState {
  Idle,     ///< not asked, or free to be asked again
  Pending,  ///< at least one attempt is in flight
  Waiting,  ///< waits for a leaf, for budget or for a newer snapshot
  Answered, ///< its rows are in
  Failed,   ///< given up
};

/// @brief One shard of a search.
struct ShardProgress {
  ShardState State = ShardState::Idle;
  /// Replicas that were not asked yet.
  std::vector<LeafIndex> UntriedReplicas;
  /// Attempts in flight.
  std::uint32_t ActiveAttempts = 0;
  /// Whether a first attempt was made.
  bool FirstAttemptSent = false;
  /// Whether the last attempt never reached its leaf.
  bool LastAttemptUndelivered = false;
  std::vector<nlohmann::json> Rows;
};

/// @brief The shards of the pinned snapshot and what was gathered of each.
class SearchProgress {
public:
  /// @brief Starts over on a snapshot, dropping all rows. O(replicas).
  /// @param snapshot the snapshot
  void reset(const Snapshot &snapshot);

  /// @brief The pinned version.
  /// @return the version, 0 when there is none
  IndexVersion version() const { return Version; }

  /// @brief Shards of the snapshot: the denominator of the coverage.
  /// @return their number
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(Shards.size());
  }

  /// @brief Shards that are neither answered nor lost.
  /// @return their number
  std::uint32_t unfinishedCount() const { return UnfinishedCount; }

  /// @brief Answered shards as a fraction of all.
  /// @return 0 to 1; 0 without shards
  double coverage() const;

  /// @brief One shard.
  /// @param shard its index, below @ref size
  /// @return its progress
  ShardProgress &operator[](ShardIndex shard) { return Shards[shard]; }
  /// @copydoc operator[]
  const ShardProgress &operator[](ShardIndex shard) const {
    return Shards[shard];
  }

  /// @brief Notes an attempt. O(replicas).
  /// @param shard the shard
  /// @param leaf the leaf that was asked
  void markSent(ShardIndex shard, LeafIndex leaf);

  /// @brief Takes a shard's rows; at most once a shard. O(1).
  /// @param shard the shard
  /// @param rows its rows
  void markAnswered(ShardIndex shard, std::vector<nlohmann::json> rows);

  /// @brief Gives a shard up. O(1).
  /// @param shard the shard
  void markFailed(ShardIndex shard);

  /// @brief Lets a shard be asked again. O(1).
  /// @param shard the shard
  void markIdle(ShardIndex shard) { Shards[shard].State = ShardState::Idle; }

  /// @brief Lets a shard wait. O(1).
  /// @param shard the shard
  void markWaiting(ShardIndex shard) {
    Shards[shard].State = ShardState::Waiting;
  }

  /// @brief Moves the answer out. O(rows + shards).
  /// @param extraAttempts attempts beyond the first of each shard
  /// @return the answer, rows in shard order
  SearchAnswer takeAnswer(std::uint32_t extraAttempts);

private:
  IndexVersion Version = 0;
  std::vector<ShardProgress> Shards;
  std::uint32_t UnfinishedCount = 0;
  std::uint32_t AnsweredCount = 0;
};

/// @brief Checks a reply against the attempt it names.
/// @param reply the reply
/// @param shard the shard that was asked
/// @param progress the pinned version and its shard count
/// @return nothing when the reply counts, else the failure it stands for;
/// O(rows)
std::optional<AttemptFailure> validateReply(const LeafReply &reply,
                                            ShardIndex shard,
                                            const SearchProgress &progress);

/// @brief Whether a failure proves that the leaf did not run the request.
/// @param failure the failure
/// @return true when it does
bool provesNotExecuted(AttemptFailure failure);

} // namespace savorytrestle::core

#endif
