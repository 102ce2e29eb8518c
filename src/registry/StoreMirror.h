#ifndef SAVORYTRESTLE_REGISTRY_STORE_MIRROR_H
#define SAVORYTRESTLE_REGISTRY_STORE_MIRROR_H

/// @file
/// @brief This host's copy of the platform's store, kept up to date from the
/// store or from other hosts.

#include <utility>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "registry/FeedPage.h"
#include "savorytrestle/core/FeedPolicy.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief What a mirror tells one that follows some of its items.
struct FeedHandlers {
  /// All items, after they have been listed afresh.
  std::function<void(const std::vector<store::StoredItem> &)> OnList;
  /// Items written or removed, in order.
  std::function<void(const std::vector<store::StoredItem> &)> OnChanges;
  /// The store is heard of again after it wasn't; comes before the items.
  std::function<void()> OnStoreReachable;
};

/// @brief Other hosts that are asked for changes.
struct MirrorPlan {
  /// Asked in place of the store.
  std::vector<boost::asio::ip::tcp::endpoint> PreferredSources{};
  /// Asked when neither those nor the store tell anything.
  std::vector<boost::asio::ip::tcp::endpoint> FallbackSources{};
  /// Whether other hosts ask this one.
  bool ServesOthers = false;

  bool operator==(const MirrorPlan &) const = default;
};

/// @brief Lists all items once, then waits for changes; lists again where the
/// history is gone. Goes on until it is stopped.
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @brief Makes a mirror that knows nothing.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param timing waits and bounds
  StoreMirror(boost::asio::io_context &io, const Endpoint &store,
              const core::FeedTiming &timing);

  /// @brief Follows items; to be called before @ref start.
  /// @param prefix what their keys begin with
  /// @param handlers take what is heard of them
  void subscribe(std::string prefix, FeedHandlers handlers);

  /// @brief Begins, with the store.
  void start();

  /// @brief Ends; no handler is called after this.
  void stop();

  /// @brief Takes hosts to ask while the store tells nothing and no others are
  /// known.
  void setSeeds(std::vector<Endpoint> seeds);

  /// @brief Takes the hosts to ask from now on.
  void setPlan(const MirrorPlan &plan);

  /// @brief What to tell a host that knows the items up to a position.
  /// @param after the position; 0 for none
  /// @return the items or changes, without any when there is nothing new;
  /// nothing when this host knows less than that
  std::optional<FeedPage> pageAfter(store::Revision after) const;

  /// @brief Whether what it knows is new enough to be passed on.
  bool isFresh() const;

private:
  struct Source {
    std::string Name;
    std::shared_ptr<store::StoreConnection> Connection;
    bool IsStore = false;
    bool Unavailable = false;
    std::string LastFailure{};
  };
  using SourcePtr = std::shared_ptr<Source>;
  using Reply = store::StoreReply;

  void rebuildSources();
  SourcePtr findOrAddSource(const Endpoint &address, bool isStore);
  void callNextSource();
  void callStore(const SourcePtr &source);
  void listStore(const SourcePtr &source, const std::string &after);
  void watchStore(const SourcePtr &source);
  void callHost(const SourcePtr &source);
  void onListReply(const SourcePtr &source, const Reply &reply);
  void onWatchReply(const SourcePtr &source, const Reply &reply);
  void onHostReply(const SourcePtr &source, const Reply &reply);
  void onSourceSuccess(const SourcePtr &source, std::chrono::milliseconds age);
  void onSourceFailure(const SourcePtr &source, unsigned status,
                       const std::string &why);
  void replaceItems(const std::vector<store::StoredItem> &items,
                    store::Revision atRevision);
  void applyChanges(const std::vector<store::StoredItem> &items,
                    store::Revision atRevision);
  void applyChange(const store::StoredItem &item);
  std::chrono::milliseconds storePollWait() const;
  std::chrono::milliseconds age() const;
  void scheduleNextCall(core::Duration pause);

  boost::asio::io_context &Io;
  boost::asio::steady_timer NextCallTimer;
  const core::FeedTiming Timing;
  std::vector<std::pair<std::string, FeedHandlers>> Subscriptions;
  std::map<Endpoint, SourcePtr> SourcesByAddress;
  std::vector<SourcePtr> Sources;
  core::SourceFailover Failover;
  const Endpoint StoreAddress;
  MirrorPlan Plan;
  bool HasPlan = false;
  /// The source whose reply is awaited.
  SourcePtr PendingSource;
  bool PendingIsLongPoll = false;

  std::map<std::string, store::StoredItem> Items;
  /// Removals that other hosts may not have heard of, the newest last.
  std::deque<store::StoredItem> Removals;
  /// Removals up to here are forgotten.
  store::Revision RemovalsKeptAfter = 0;
  store::Revision KnownRevision = 0;
  store::Revision LastChangeRevision = 0;
  core::TimePoint UpToDateAt{};
  std::vector<store::StoredItem> ListedItems;
  store::Revision ListRevision = 0;
  bool NeedsFullList = true;
  bool AllUnavailable = false;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
