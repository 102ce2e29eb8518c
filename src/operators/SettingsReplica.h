#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_REPLICA_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_REPLICA_H

/// @file
/// @brief The settings in force on this host.

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/SettingsTree.h"
#include "savorytrestle/core/VersionedBlob.h"

namespace savorytrestle::operators {

/// @brief One revision, ready for use.
struct SettingsInForce {
  core::VersionedBlob Blob;
  core::SettingsTree Tree;
  std::shared_ptr<const core::RouteTable> Routes;
};

/// @brief What became of a blob.
enum class BlobOutcome {
  Applied,  ///< now in force
  Stale,    ///< not newer than what is in force
  Damaged,  ///< checksum or revision do not fit the payload
  Unusable, ///< intact, but not a tree that this version can serve
};

/// @brief Holds the newest revision that reached this host, from the store or
/// from a peer; it never goes back to an older one. Safe for use by any thread.
class SettingsReplica {
public:
  /// @brief Told of each new revision, in rising order.
  using Observer =
      std::function<void(const std::shared_ptr<const SettingsInForce> &)>;

  /// @brief Takes a blob in if it is newer and sound.
  /// @param blob from the store or a peer
  /// @return what became of it; O(tree), or O(1) when stale
  BlobOutcome applyBlob(const core::VersionedBlob &blob);

  /// @brief What is in force.
  /// @return the revision, or null before the first one
  std::shared_ptr<const SettingsInForce> current() const;

  /// @brief The routes in force.
  /// @return the table, or null before the first revision
  std::shared_ptr<const core::RouteTable> routes() const;

  /// @brief The revision in force.
  /// @return its number, or 0 before the first one
  std::uint64_t revision() const;

  /// @brief Adds an observer and tells it at once of what is in force. It runs
  /// on the thread that applies a blob and must not call back into this
  /// object's applyBlob or observe.
  /// @param observer the observer
  void observe(Observer observer);

private:
  /// Serialises applyBlob and observe, so that observers see rising revisions.
  std::mutex ApplyLock;
  std::vector<Observer> Observers;
  std::atomic<std::shared_ptr<const SettingsInForce>> Current;
};

/// @brief Serialises a tree for the way between hosts.
/// @param tree the tree
/// @param revision its revision
/// @return the blob; O(tree)
core::VersionedBlob toBlob(const core::SettingsTree &tree,
                           std::uint64_t revision);

/// @brief Reads what @ref toBlob wrote.
/// @param blob an intact blob
/// @return the tree, or InvalidSettings
core::Result<core::SettingsTree> fromBlob(const core::VersionedBlob &blob);

} // namespace savorytrestle::operators

#endif
