#ifndef SAVORYTRESTLE_REGISTRY_PREFIX_FEED_H
#define SAVORYTRESTLE_REGISTRY_PREFIX_FEED_H

/// @file
/// @brief Follows all items under a prefix of the platform's store.

#include <utility>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "registry/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief What a feed tells.
struct FeedHandlers {
  /// All items, after they have been listed afresh.
  std::function<void(const std::vector<StoredItem> &)> OnList;
  /// Items written or removed, in order.
  std::function<void(const std::vector<StoredItem> &)> OnChanges;
  /// The store is reached again after it wasn't; comes before the items.
  std::function<void()> OnRegained;
};

/// @brief Lists the items once, then waits for changes; lists again where the
/// store has dropped its history. Goes on until it is stopped.
class PrefixFeed : public std::enable_shared_from_this<PrefixFeed> {
public:
  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param prefix what the items' keys begin with
  /// @param gather pause after changes before it asks for more, so that many
  /// changes in a row come with few calls
  /// @param handlers take what it hears
  PrefixFeed(boost::asio::io_context &io,
             const boost::asio::ip::tcp::endpoint &store, std::string prefix,
             std::chrono::milliseconds gather, FeedHandlers handlers);

  /// @brief Begins.
  void start();

  /// @brief Ends; no handler is called after this.
  void stop();

private:
  void list(const std::string &after);
  void onPage(StoreReply reply);
  void watch();
  void onEvents(StoreReply reply);
  void onFailure(const StoreReply &reply);
  void onReached();
  void later(std::chrono::milliseconds pause, void (PrefixFeed::*next)());
  std::chrono::milliseconds backOff();
  void listAfresh();

  boost::asio::steady_timer Pause;
  std::shared_ptr<StoreConnection> Connection;
  std::string Prefix;
  std::chrono::milliseconds Gather;
  FeedHandlers Handlers;
  std::vector<StoredItem> Listed;
  Revision From = 0;
  Revision ListedAt = 0;
  bool Lost = false;
  std::string LostFor;
  bool Stopped = false;
  std::chrono::milliseconds Backoff;
};

} // namespace savorytrestle::registry

#endif
