#ifndef SAVORYTRESTLE_REGISTRY_LEAF_FEED_H
#define SAVORYTRESTLE_REGISTRY_LEAF_FEED_H

/// @file
/// @brief Keeps the leaf directory in step with the leaves' entries.

#include <utility>

#include <memory>

#include "leaf/LeafDirectory.h"
#include "registry/PrefixFeed.h"
#include "savorytrestle/core/LapsedEntries.h"

namespace savorytrestle::registry {

/// @brief Follows the leaves' entries in the store.
class LeafFeed : public std::enable_shared_from_this<LeafFeed> {
public:
  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param leaves takes the entries
  LeafFeed(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint store,
           leaf::LeafDirectory &leaves);

  /// @brief Begins.
  void start();

  /// @brief Ends.
  void stop();

  /// @brief Whether the entries have been listed once.
  bool known() const { return Listed; }

private:
  void onList(const std::vector<StoredItem> &items);
  void onChanges(const std::vector<StoredItem> &items);
  void onItem(const StoredItem &item);
  void removed(const std::string &id);
  void dropLater();

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Store;
  leaf::LeafDirectory &Leaves;
  core::LapsedEntries Lapsed;
  boost::asio::steady_timer Timer;
  std::shared_ptr<PrefixFeed> Feed;
  bool Listed = false;
  bool Waiting = false;
};

} // namespace savorytrestle::registry

#endif
