#ifndef SAVORYTRESTLE_REGISTRY_STORE_MIRROR_H
#define SAVORYTRESTLE_REGISTRY_STORE_MIRROR_H

/// @file
/// @brief Mirror: this host's copy of the items in the platform's store, kept
/// up to date from the store or from other hosts.

#include <utility>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "registry/FeedPage.h"
#include "savorytrestle/core/FeedSchedule.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief Handlers of a subscription to some of the mirror's items.
struct FeedHandlers {
  /// Called with all items after a full list.
  std::function<void(const std::vector<store::StoredItem> &)> OnList;
  /// Called with the items written or removed, in order.
  std::function<void(const std::vector<store::StoredItem> &)> OnChanges;
  /// Called when the store is reachable again, before the items read from it.
  std::function<void()> OnStoreReachable;
  /// Called when the store has come back from an older copy, before the items
  /// read from it; may be null.
  std::function<void()> OnEraRise{};
  /// Whether an item stays in place of that of an older copy, which is null if
  /// the copy has none; null if none does.
  std::function<bool(const store::StoredItem &held,
                     const store::StoredItem *listed)>
      KeepsHeld{};
};

/// @brief Addresses of the hosts from which a mirror gets changes; see
/// @ref core::FeedPlan.
struct MirrorPlan {
  /// Hosts used in place of the store, in this order.
  std::vector<boost::asio::ip::tcp::endpoint> PreferredSources{};
  /// Hosts used, in this order, while neither those nor the store answer.
  std::vector<boost::asio::ip::tcp::endpoint> FallbackSources{};
  /// Whether other hosts get changes from this one.
  bool ServesOthers = false;

  bool operator==(const MirrorPlan &) const = default;
};

/// @brief Lists all items once, then polls for changes until it is stopped. It
/// lists all items again when the store no longer has the history that it
/// needs.
class StoreMirror : public std::enable_shared_from_this<StoreMirror> {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @brief Makes an empty mirror.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param timing waits of the polls and bound on the age of items
  /// @param eras era of the store, shared with the host's other connections
  StoreMirror(boost::asio::io_context &io, const Endpoint &store,
              const core::FeedTiming &timing,
              std::shared_ptr<store::EraTracker> eras);

  /// @brief Subscribes to items; must be called before @ref start.
  /// @param prefix prefix of the items' keys
  /// @param handlers called with the items and their changes
  void subscribe(std::string prefix, FeedHandlers handlers);

  /// @brief Starts to read, from the store unless a plan says otherwise.
  void start();

  /// @brief Stops; no handler is called after this.
  void stop();

  /// @brief Sets the hosts to use until there is a plan: for the first list,
  /// so that hosts that start together don't all read it from the store, and
  /// while the store doesn't answer.
  /// @param seeds addresses of hosts
  /// @param listsStore whether this host reads the first list from the store
  void setSeeds(std::vector<Endpoint> seeds, bool listsStore = true);

  /// @brief Sets the hosts to use from now on.
  void setPlan(const MirrorPlan &plan);

  /// @brief Makes the page for a host that has the items up to a position.
  /// @param after the position; revision 0 if the host has no items
  /// @param prefix prefix of the keys of the items that it wants
  /// @return the items or changes, an empty page if there are none; nothing if
  /// this mirror is behind that position
  std::optional<FeedPage> pageAfter(store::Position after,
                                    const std::string &prefix = "") const;

  /// @brief Whether the copy is recent enough to be served to other hosts.
  bool isFresh() const;

private:
  /// The store or another host.
  struct Source {
    /// Its address as text.
    std::string Name;
    std::shared_ptr<store::StoreConnection> Connection;
    bool IsStore = false;
    /// Whether the last call to it failed.
    bool Unavailable = false;
    /// Status and reason of that failure.
    std::string LastFailure{};
  };
  using SourcePtr = std::shared_ptr<Source>;
  using Reply = store::StoreReply;

  void rebuildSources();
  SourcePtr findOrAddSource(const Endpoint &address, bool isStore);
  std::optional<std::size_t> indexOf(const SourcePtr &source) const;
  /// Makes the calls that are due and schedules the next ones.
  void makeDueCalls();
  void scheduleCalls(core::TimePoint at);
  /// Closes the connection of a call in flight, if there is one.
  /// @return whether there was one
  bool abortCall(SourcePtr &pending);
  void onCallEnded(const SourcePtr &source);
  void startList(const SourcePtr &source);
  void listStore(const SourcePtr &source, const std::string &after);
  void watchStore(const SourcePtr &source, const core::FeedCall &call);
  void callHost(const SourcePtr &source, const core::FeedCall &call);
  void onListReply(const SourcePtr &source, const Reply &reply);
  void onWatchReply(const SourcePtr &source, const Reply &reply);
  /// @param knownBefore position of the copy when the call was made
  void onHostReply(const SourcePtr &source, store::Position knownBefore,
                   const Reply &reply);
  void onEraRise();
  bool behindEra() const;
  /// Asks other hosts for items that the store's copy may have lost.
  void askHostsForHeldItems();
  void onHeldItems(const std::string &prefix, const Reply &reply);
  /// Puts back held items that stay in place of those of an older copy.
  /// @param newEra whether the list is the first of a new era
  void restoreHeldItems(std::vector<store::StoredItem> &listed,
                        store::Revision atRevision, bool newEra);
  void onSourceSuccess(const SourcePtr &source, std::chrono::milliseconds age);
  void onSourceFailure(const SourcePtr &source, unsigned status,
                       const std::string &why);
  void replaceItems(std::vector<store::StoredItem> items, store::Position at);
  void applyChanges(const std::vector<store::StoredItem> &items,
                    store::Revision atRevision);
  void applyChange(const store::StoredItem &item);
  std::chrono::milliseconds age() const;

  boost::asio::io_context &Io;
  boost::asio::steady_timer NextCallTimer;
  const core::FeedTiming Timing;
  const std::shared_ptr<store::EraTracker> Eras;
  std::vector<std::pair<std::string, FeedHandlers>> Subscriptions;
  std::map<Endpoint, SourcePtr> SourcesByAddress;
  std::vector<SourcePtr> Sources;
  core::FeedSchedule Schedule;
  const Endpoint StoreAddress;
  MirrorPlan Plan;
  bool HasPlan = false;
  /// The sources of the calls in flight, null if there is none.
  SourcePtr PendingStoreCall;
  SourcePtr PendingHostCall;
  /// Whether the call to the store is a watch of the longest wait.
  bool PendingIsLongPoll = false;

  std::map<std::string, store::StoredItem> Items;
  /// Keys of items that no list of the new era had and that stay in Items until
  /// the key is written or removed.
  std::set<std::string> HeldKeys;
  /// Removals that other hosts may not have received yet, newest last.
  std::deque<store::StoredItem> Removals;
  /// Removals up to this revision are no longer in Removals.
  store::Revision RemovalsKeptAfter = 0;
  /// Position up to which Items is complete; revision 0 before the first list.
  store::Position Known{};
  /// Highest revision of a change in Items or Removals.
  store::Revision LastChangeRevision = 0;
  /// Last time at which the copy was known to be up to date.
  core::TimePoint UpToDateAt{};
  /// Items of the list that is being read page by page.
  std::vector<store::StoredItem> ListedItems;
  /// Position of that list's first page, and of the copy when it was begun.
  store::Position ListStart{};
  store::Position KnownBeforeList{};
  bool NeedsFullList = true;
  /// Whether the last call to each source failed.
  bool AllUnavailable = false;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
