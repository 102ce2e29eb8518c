#ifndef SAVORYTRESTLE_REGISTRY_LEAF_FEED_H
#define SAVORYTRESTLE_REGISTRY_LEAF_FEED_H

/// @file
/// @brief Keeps the leaf directory up to date with the leaves' entries in the
/// store.

#include <utility>

#include <memory>

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

  leaf::LeafDirectory &Leaves;
  std::shared_ptr<HeldRemovals> Removals;
  bool HasList = false;
};

} // namespace savorytrestle::registry

#endif
