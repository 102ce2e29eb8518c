#ifndef SAVORYTRESTLE_CORE_SNAPSHOT_CATALOG_H
#define SAVORYTRESTLE_CORE_SNAPSHOT_CATALOG_H

/// @file
/// @brief Shards and index versions that the leaves of a service hold.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief One shard of one index version that a leaf holds.
struct ShardHolding {
  IndexVersion Version = 0;
  ShardIndex Shard = 0;
  /// Number of shards of that version; changes with a repartition.
  std::uint32_t ShardCount = 0;
};

/// @brief Whether searches may be sent to a leaf.
enum class LeafState {
  Usable,
  Draining, ///< shutting down; holds its shards, accepts no new requests
  Down,     ///< unreachable
};

/// @brief Collects the index versions that the leaves of one service report and
/// selects the snapshot that new searches pin.
class SnapshotCatalog {
public:
  /// @brief Replaces the state and the holdings of a leaf.
  /// @param leaf the leaf
  /// @param state whether it may be used
  /// @param holdings the shards it holds; malformed ones (version 0, shard or
  /// shard count out of range) are ignored
  void update(LeafIndex leaf, LeafState state,
              std::vector<ShardHolding> holdings);

  /// @brief Changes only the state of a leaf; an unknown one is ignored.
  /// @param leaf the leaf
  /// @param state whether it may be used
  void setState(LeafIndex leaf, LeafState state);

  /// @brief Removes one version from a leaf that reported not to have it.
  /// @param leaf the leaf
  /// @param version the version
  void dropVersion(LeafIndex leaf, IndexVersion version);

  /// @brief Removes a leaf that left the service.
  /// @param leaf the leaf
  void removeLeaf(LeafIndex leaf);

  /// @brief Snapshot of the newest version of which each shard has a usable
  /// replica; if there is none, of the version with the highest coverage, the
  /// newest of equals.
  /// @return the snapshot, null if no leaf has reported a shard; O(1),
  /// O(holdings) after a change
  std::shared_ptr<const Snapshot> current() const;

private:
  struct KnownLeaf {
    LeafState State = LeafState::Down;
    std::vector<ShardHolding> Holdings;
  };
  struct Candidate;

  std::map<IndexVersion, Candidate> collectCandidates() const;

  std::map<LeafIndex, KnownLeaf> Leaves;
  mutable std::shared_ptr<const Snapshot> CachedSnapshot;
  mutable bool CacheStale = false;
};

} // namespace savorytrestle::core

#endif
