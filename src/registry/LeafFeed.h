#ifndef SAVORYTRESTLE_REGISTRY_LEAF_FEED_H
#define SAVORYTRESTLE_REGISTRY_LEAF_FEED_H

/// @file
/// @brief Keeps the leaf directory in step with the leaves' entries.

#include <utility>

#include <memory>

#include "leaf/LeafDirectory.h"
#include "registry/HeldRemovals.h"
#include "registry/StoreMirror.h"

namespace savorytrestle::registry {

/// @brief Follows the leaves' entries in the store.
class LeafFeed : public std::enable_shared_from_this<LeafFeed> {
public:
  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param leaves takes the entries
  LeafFeed(boost::asio::io_context &io, leaf::LeafDirectory &leaves);

  /// @brief Follows the mirror; to be called before the mirror starts.
  void start(StoreMirror &mirror);

  /// @brief Whether the entries have been listed once.
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
