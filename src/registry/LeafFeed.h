#ifndef SAVORYTRESTLE_REGISTRY_LEAF_FEED_H
#define SAVORYTRESTLE_REGISTRY_LEAF_FEED_H

/// @file
/// @brief Keeps the leaf directory up to date with the leaves' entries in the
/// store.

#include <utility>

#include <map>
#include <memory>
#include <string>

#include "leaf/LeafDirectory.h"
#include "registry/HeldRemovals.h"
#include "registry/StoreMirror.h"

namespace savorytrestle::registry {

/// @brief Applies the leaves' entries to the leaf directory.
class LeafFeed : public std::enable_shared_from_this<LeafFeed> {
public:
  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param leaves the directory to update; must outlive this
  LeafFeed(boost::asio::io_context &io, leaf::LeafDirectory &leaves);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start(StoreMirror &mirror);

  /// @brief Whether the full list of entries has been received at least once.
  bool hasList() const { return HasList; }

private:
  void onList(const std::vector<store::StoredItem> &items);
  void onChanges(const std::vector<store::StoredItem> &items);
  void onItem(const store::StoredItem &item);
  /// Whether an item in an older copy is of a leaf that was removed after it.
  bool wasRemoved(const store::StoredItem &item) const;
  /// Holds such an item back until it is written again, or has outlived its
  /// copy.
  void withhold(const store::StoredItem &item);

  leaf::LeafDirectory &Leaves;
  boost::asio::steady_timer CopyTimer;
  std::shared_ptr<HeldRemovals> Removals;
  core::RemovedRuns Removed;
  std::map<std::string, store::StoredItem> Withheld;
  /// Whether the next list is of a store that came back from an older copy.
  bool NextListIsCopy = false;
  bool HasList = false;
};

} // namespace savorytrestle::registry

#endif
