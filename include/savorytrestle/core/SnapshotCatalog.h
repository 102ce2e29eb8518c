#ifndef SAVORYTRESTLE_CORE_SNAPSHOT_CATALOG_H
#define SAVORYTRESTLE_CORE_SNAPSHOT_CATALOG_H

/// @file
/// @brief Which leaf holds which shard of which index version.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief One shard of one index version on a leaf.
struct ShardHolding {
  IndexVersion Version = 0;
  ShardIndex Shard = 0;
  /// Shards of that version; a repartition is a version with another count.
  std::uint32_t ShardCount = 0;
};

/// @brief Whether a leaf may be given searches.
enum class LeafState {
  Usable,
  Draining, ///< leaving; holds its shards but takes nothing new
  Down,     ///< unreachable
};

/// @brief Learns the index versions of one service from its leaves and offers
/// the snapshot that searches pin.
class SnapshotCatalog {
public:
  /// @brief Replaces all that is known of a leaf.
  /// @param leaf the leaf
  /// @param state whether it may be used
  /// @param holdings what it holds; malformed ones (version 0, shard out of
  /// range) are left out
  void update(LeafIndex leaf, LeafState state,
              std::vector<ShardHolding> holdings);

  /// @brief Changes only the state of a leaf; an unknown one is ignored.
  /// @param leaf the leaf
  /// @param state whether it may be used
  void setState(LeafIndex leaf, LeafState state);

  /// @brief Drops one version from a leaf which said that it has it no longer.
  /// @param leaf the leaf
  /// @param version the version
  void dropVersion(LeafIndex leaf, IndexVersion version);

  /// @brief Forgets a leaf that left the service.
  /// @param leaf the leaf
  void removeLeaf(LeafIndex leaf);

  /// @brief The newest version of which each shard has a usable replica, else
  /// the one with the highest coverage (the newer one of equals).
  /// @return null before any holding is known; O(1), O(holdings) after a change
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
