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

/// @brief One settings revision with its parsed tree and route table.
struct SettingsInForce {
  core::VersionedBlob Blob;
  core::SettingsTree Tree;
  std::shared_ptr<const core::RouteTable> Routes;
};

/// @brief Result of applying a blob.
enum class BlobOutcome {
  Applied,  ///< now in force
  Stale,    ///< not newer than the revision in force
  Damaged,  ///< the checksum does not match the payload
  Unusable, ///< checksum matches, but the payload is not a valid tree
};

/// @brief Holds the newest settings revision received by this host from the
/// store or a peer; never returns to an older one. Thread-safe.
class SettingsReplica {
public:
  /// @brief Called with each new revision, in ascending order.
  using Observer =
      std::function<void(const std::shared_ptr<const SettingsInForce> &)>;

  /// @brief Puts a blob in force if it is newer and valid.
  /// @param blob blob from the store or a peer
  /// @return the result; O(tree), or O(1) if stale
  BlobOutcome applyBlob(const core::VersionedBlob &blob);

  /// @brief The settings in force.
  /// @return the settings, or null before the first revision
  std::shared_ptr<const SettingsInForce> current() const;

  /// @brief The routes in force.
  /// @return the table, or null before the first revision
  std::shared_ptr<const core::RouteTable> routes() const;

  /// @brief The revision in force.
  /// @return its number, or 0 before the first one
  std::uint64_t revision() const;

  /// @brief Adds an observer and calls it at once with the settings in force,
  /// if any. It runs on the thread that applies a blob and must not call
  /// applyBlob or observe of this object.
  /// @param observer the observer
  void observe(Observer observer);

private:
  /// Serializes calls of applyBlob and observe, so that observers get revisions
  /// in ascending order.
  std::mutex ApplyLock;
  std::vector<Observer> Observers;
  std::atomic<std::shared_ptr<const SettingsInForce>> Current;
};

/// @brief Serializes a tree for transfer between hosts.
/// @param tree the tree
/// @param revision its revision
/// @return the blob; O(tree)
core::VersionedBlob toBlob(const core::SettingsTree &tree,
                           std::uint64_t revision);

/// @brief Parses the output of @ref toBlob.
/// @param blob a blob whose checksum matches
/// @return the tree, or InvalidSettings
core::Result<core::SettingsTree> fromBlob(const core::VersionedBlob &blob);

} // namespace savorytrestle::operators

#endif
