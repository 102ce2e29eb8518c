#ifndef SAVORYTRESTLE_CORE_SEARCH_PROGRESS_H
#define SAVORYTRESTLE_CORE_SEARCH_PROGRESS_H

/// @file
/// @brief State and rows of each shard of one search.

#include <optional>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief State of a shard in a search.
enum class ShardState {
  Idle,     ///< no attempt in flight; one may be sent
  Pending,  ///< at least one attempt is in flight
  Waiting,  ///< waiting for a leaf, for budget or for a newer snapshot
  Answered, ///< its rows were received
  Failed,   ///< left out of the answer
};

/// @brief One shard of a search.
struct ShardProgress {
  ShardState State = ShardState::Idle;
  /// Replicas to which no attempt was sent.
  std::vector<LeafIndex> UntriedReplicas;
  /// Number of attempts in flight.
  std::uint32_t ActiveAttempts = 0;
  /// Whether an attempt was sent.
  bool FirstAttemptSent = false;
  /// Whether the last attempt never reached its leaf.
  bool LastAttemptUndelivered = false;
  std::vector<nlohmann::json> Rows;
};

/// @brief Progress of all shards of the pinned snapshot.
class SearchProgress {
public:
  /// @brief Pins a snapshot and drops all state and rows. O(replicas).
  /// @param snapshot the snapshot
  void reset(const Snapshot &snapshot);

  /// @brief Version of the pinned snapshot.
  /// @return the version, 0 when none is pinned
  IndexVersion version() const { return Version; }

  /// @brief Number of shards of the snapshot, the denominator of the coverage.
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(Shards.size());
  }

  /// @brief Number of shards that are neither answered nor failed.
  std::uint32_t unfinishedCount() const { return UnfinishedCount; }

  /// @brief Answered shards as a fraction of all.
  /// @return the fraction, 0 when there are no shards
  double coverage() const;

  /// @brief One shard.
  /// @param shard its index, below @ref size
  /// @return its progress
  ShardProgress &operator[](ShardIndex shard) { return Shards[shard]; }
  /// @copydoc operator[]
  const ShardProgress &operator[](ShardIndex shard) const {
    return Shards[shard];
  }

  /// @brief Records that an attempt was sent. O(replicas).
  /// @param shard the shard
  /// @param leaf the leaf it was sent to
  void markSent(ShardIndex shard, LeafIndex leaf);

  /// @brief Stores a shard's rows; called at most once for each shard. O(1).
  /// @param shard the shard
  /// @param rows its rows
  void markAnswered(ShardIndex shard, std::vector<nlohmann::json> rows);

  /// @brief Leaves a shard out of the answer. O(1).
  /// @param shard the shard
  void markFailed(ShardIndex shard);

  /// @brief Allows another attempt for a shard. O(1).
  /// @param shard the shard
  void markIdle(ShardIndex shard) { Shards[shard].State = ShardState::Idle; }

  /// @brief Makes a shard wait for a leaf, for budget or for a newer snapshot.
  /// O(1).
  /// @param shard the shard
  void markWaiting(ShardIndex shard) {
    Shards[shard].State = ShardState::Waiting;
  }

  /// @brief Returns the answer and moves the rows into it. O(rows + shards).
  /// @param extraAttempts attempts beyond the first of each shard
  /// @return the answer, rows in shard order
  SearchAnswer takeAnswer(std::uint32_t extraAttempts);

private:
  IndexVersion Version = 0;
  std::vector<ShardProgress> Shards;
  std::uint32_t UnfinishedCount = 0;
  std::uint32_t AnsweredCount = 0;
};

/// @brief Checks whether a reply matches its attempt.
/// @param reply the reply
/// @param shard the shard of the attempt
/// @param progress the pinned version and its shard count
/// @return nothing for a valid reply, else the failure of the attempt; O(rows)
std::optional<AttemptFailure> validateReply(const LeafReply &reply,
                                            ShardIndex shard,
                                            const SearchProgress &progress);

/// @brief Whether a failure proves that the leaf did not execute the request.
/// @param failure the failure
bool provesNotExecuted(AttemptFailure failure);

} // namespace savorytrestle::core

#endif
