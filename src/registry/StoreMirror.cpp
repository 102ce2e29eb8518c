#include "registry/StoreMirror.h"

#include <algorithm>

#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using std::chrono::milliseconds;
using store::StoredItem;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// How long the store holds back the reply to a watch without changes, on a
/// host that serves no other hosts. A longer wait makes fewer calls. But a
/// watch that the store never answers is detected only after this wait, and
/// that has to happen before the store counts as stable again (4 s at the
/// least), as from then on draining leaves must get no requests.
constexpr milliseconds LongPollWait{2000};
/// Shortest wait that the store accepts.
constexpr milliseconds MinPollWait{1};
/// Time allowed for a reply in addition to the wait that was requested.
constexpr milliseconds StoreReplyTimeout{1500};
constexpr milliseconds HostReplyTimeout{700};
/// Short, so that the store is used again soon after it is reachable.
constexpr core::SourceFailover::Backoff StoreBackoff{milliseconds(50),
                                                     milliseconds(400)};
/// A host that follows another one finds the store back through that one in
/// most cases: the calls of hundreds of hosts to a store that is away would
/// otherwise grow with their number.
constexpr core::SourceFailover::Backoff FollowerStoreBackoff{
    milliseconds(400), milliseconds(1500)};
/// Longer, as each call to a host that doesn't answer blocks the mirror for the
/// whole reply time-out.
constexpr core::SourceFailover::Backoff HostBackoff{milliseconds(2000),
                                                    milliseconds(10000)};
/// Pause before a host that answered without an up-to-date copy is asked again:
/// it has the store's changes as soon as it reaches the store.
constexpr milliseconds NotFreshPause{500};
/// Hosts that start together open their listeners within this time.
constexpr milliseconds SeedHeadStart{600};
constexpr core::SourceFailover::Backoff SeedBackoff{milliseconds(150),
                                                    milliseconds(10000)};
/// Number of removals that are kept, for hosts that poll again after some
/// seconds without an answer. Hosts further behind get the full list.
constexpr std::size_t MaxRemovals = 4096;

std::vector<StoredItem> itemsUnder(const std::string &prefix,
                                   const std::vector<StoredItem> &items) {
  std::vector<StoredItem> matching;
  std::copy_if(items.begin(), items.end(), std::back_inserter(matching),
               [&prefix](const StoredItem &item) {
                 return item.Key.starts_with(prefix);
               });
  return matching;
}

std::string addressText(const StoreMirror::Endpoint &address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

StoreMirror::StoreMirror(boost::asio::io_context &io, const Endpoint &store,
                         const core::FeedTiming &timing,
                         std::shared_ptr<store::EraTracker> eras)
    : Io(io), NextCallTimer(io), Timing(timing), Eras(std::move(eras)),
      StoreAddress(store) {
  rebuildSources();
}

void StoreMirror::subscribe(std::string prefix, FeedHandlers handlers) {
  Subscriptions.emplace_back(std::move(prefix), std::move(handlers));
}

void StoreMirror::start() {
  Eras->onRise([weak = weak_from_this()](store::Era) {
    if (const auto self = weak.lock())
      self->onEraRise();
  });
  callNextSource();
}

void StoreMirror::onEraRise() {
  NeedsFullList = true;
  for (const auto &[prefix, handlers] : Subscriptions)
    if (handlers.OnEraRise)
      handlers.OnEraRise();
  if (Stopped || !PendingSource)
    return;
  // The call in flight may wait for changes after a position of the older era.
  PendingSource->Connection->close();
  PendingSource.reset();
  scheduleNextCall(core::Duration::zero());
}

bool StoreMirror::behindEra() const { return Known.StoreEra < Eras->current(); }

void StoreMirror::stop() {
  Stopped = true;
  NextCallTimer.cancel();
  for (const auto &[address, source] : SourcesByAddress)
    source->Connection->close();
}

StoreMirror::SourcePtr StoreMirror::findOrAddSource(const Endpoint &address,
                                                    bool isStore) {
  SourcePtr &source = SourcesByAddress[address];
  if (!source)
    source = std::make_shared<Source>(
        Source{addressText(address),
               std::make_shared<store::StoreConnection>(
                   Io, address, isStore ? Eras : nullptr),
               isStore});
  return source;
}

void StoreMirror::setSeeds(std::vector<Endpoint> seeds, bool listsStore) {
  (listsStore ? Plan.FallbackSources : Plan.PreferredSources) =
      std::move(seeds);
  rebuildSources();
  if (!listsStore && !Plan.PreferredSources.empty())
    Failover.holdBack(Plan.PreferredSources.size(),
                      SteadyClock::now() + SeedHeadStart);
}

void StoreMirror::setPlan(const MirrorPlan &plan) {
  if (HasPlan && plan == Plan)
    return;
  Plan = plan;
  HasPlan = true;
  rebuildSources();
  support::LogLine("feed_planned")
      .with("first", Sources.front()->Name)
      .with("sources", Sources.size())
      .with("passes_on", plan.ServesOthers ? 1 : 0);
  // The copy isn't confirmed as up to date during a long poll, so the hosts
  // that this host now serves would discard its answers as too old: ends the
  // poll.
  if (PendingSource && PendingIsLongPoll && storePollWait() != LongPollWait) {
    PendingSource->Connection->close();
    callNextSource();
  }
}

void StoreMirror::rebuildSources() {
  Sources.clear();
  std::vector<core::SourceFailover::Backoff> backoffs;
  for (const Endpoint &address : Plan.PreferredSources) {
    Sources.push_back(findOrAddSource(address, false));
    backoffs.push_back(HasPlan ? HostBackoff : SeedBackoff);
  }
  Sources.push_back(findOrAddSource(StoreAddress, true));
  backoffs.push_back(HasPlan && !Plan.PreferredSources.empty()
                         ? FollowerStoreBackoff
                         : StoreBackoff);
  for (const Endpoint &address : Plan.FallbackSources) {
    Sources.push_back(findOrAddSource(address, false));
    backoffs.push_back(HostBackoff);
  }
  Failover = core::SourceFailover(backoffs);
}

bool StoreMirror::isFresh() const {
  return Known.At != 0 && !behindEra() &&
         SteadyClock::now() - UpToDateAt <= Timing.MaxAge;
}

bool StoreMirror::storeFailed() const {
  return std::any_of(Sources.begin(), Sources.end(), [](const SourcePtr &it) {
    return it->IsStore && it->Unavailable;
  });
}

milliseconds StoreMirror::age() const {
  return std::chrono::ceil<milliseconds>(SteadyClock::now() - UpToDateAt);
}

std::optional<FeedPage>
StoreMirror::pageAfter(store::Position after, const std::string &prefix) const {
  if (!after.StoreEra)
    after.StoreEra = Eras->first();
  if (Known.At == 0)
    return std::nullopt;
  if (after.At != 0 && (Known < after || behindEra()))
    return std::nullopt;
  FeedPage page{{}, Known, false, age()};
  const auto add = [&](const StoredItem &item) {
    if (item.Key.starts_with(prefix))
      page.Items.push_back(item);
  };
  // A host of an older era, or one that is far behind, starts anew.
  if (after.At == 0 || after.StoreEra < Known.StoreEra ||
      after.At < RemovalsKeptAfter) {
    page.IsFullList = true;
    for (const auto &[key, item] : Items)
      add(item);
    return page;
  }
  if (after.At >= LastChangeRevision)
    return page;
  for (const StoredItem &item : Removals)
    if (item.ModRevision > after.At)
      add(item);
  for (const auto &[key, item] : Items)
    if (item.ModRevision > after.At)
      add(item);
  return page;
}

milliseconds StoreMirror::storePollWait() const {
  const bool longPoll =
      HasPlan && Plan.PreferredSources.empty() && !Plan.ServesOthers;
  return longPoll ? LongPollWait
                  : std::chrono::floor<milliseconds>(Timing.ShortPollWait);
}

void StoreMirror::callNextSource() {
  if (Stopped)
    return;
  const auto now = SteadyClock::now();
  const auto choice = Failover.next(now);
  if (choice.At > now)
    return scheduleNextCall(choice.At - now);
  PendingSource = Sources[choice.Source];
  PendingIsLongPoll = false;
  if (PendingSource->IsStore)
    callStore(PendingSource);
  else
    callHost(PendingSource);
}

void StoreMirror::callStore(const SourcePtr &source) {
  if (!NeedsFullList)
    return watchStore(source);
  ListedItems.clear();
  ListStart = {};
  listStore(source, "");
}

void StoreMirror::listStore(const SourcePtr &source, const std::string &after) {
  source->Connection->call(
      platform::encodeReadRange("", after), StoreReplyTimeout,
      [self = shared_from_this(), source](const Reply &reply) {
        if (!self->Stopped)
          self->onListReply(source, reply);
      });
}

void StoreMirror::onListReply(const SourcePtr &source, const Reply &reply) {
  if (reply.Status != platform::StatusOk)
    return onSourceFailure(source, reply.Status, reply.Error);
  auto page = platform::decodeRange(reply.Body);
  if (!page)
    return onSourceFailure(source, reply.Status, page.error().Message);
  // The pages are not a snapshot. A watch from the first page's revision
  // returns the changes made while the other pages were read.
  const auto era = Eras->current();
  if (ListStart.At == 0)
    ListStart = {era, page->At};
  // The pages of two eras make no list.
  if (ListStart.StoreEra != era)
    return callStore(source);
  std::move(page->Items.begin(), page->Items.end(),
            std::back_inserter(ListedItems));
  if (page->HasMore && !page->Items.empty())
    return listStore(source, ListedItems.back().Key);
  onSourceSuccess(source, milliseconds(0));
  const bool first = Known.At == 0;
  replaceItems(std::exchange(ListedItems, {}), ListStart);
  if (first && Eras->hasEverRisen())
    askHostsForHeldItems();
  callNextSource();
}

void StoreMirror::watchStore(const SourcePtr &source) {
  // After a failure the shortest wait is used, as the reply shows that the
  // store is reachable again.
  const auto wait = source->Unavailable ? MinPollWait : storePollWait();
  PendingIsLongPoll = wait == LongPollWait;
  source->Connection->call(
      platform::encodeWatch("", Known.At, wait), wait + StoreReplyTimeout,
      [self = shared_from_this(), source](const Reply &reply) {
        if (!self->Stopped)
          self->onWatchReply(source, reply);
      });
}

void StoreMirror::onWatchReply(const SourcePtr &source, const Reply &reply) {
  if (reply.Status == platform::StatusHistoryGone) {
    support::LogLine("store_history_gone").with("after", Known.At);
    NeedsFullList = true;
    return callNextSource();
  }
  if (reply.Status != platform::StatusOk)
    return onSourceFailure(source, reply.Status, reply.Error);
  const auto page = platform::decodeWatch(reply.Body);
  if (!page)
    return onSourceFailure(source, reply.Status, page.error().Message);
  onSourceSuccess(source, milliseconds(0));
  // The items came from a host that knows no eras.
  if (behindEra()) {
    NeedsFullList = true;
    return callNextSource();
  }
  applyChanges(page->Items, page->At);
  if (page->Items.empty())
    return callNextSource();
  scheduleNextCall(Timing.BatchDelay);
}

void StoreMirror::callHost(const SourcePtr &source) {
  FeedQuery query{NeedsFullList ? store::Position{} : Known};
  query.Wait = std::chrono::floor<milliseconds>(Timing.ShortPollWait);
  // Only when the fleet starts will a seed have its first list soon.
  if (Known.At == 0)
    query.Wait = HasPlan || Plan.PreferredSources.empty()
                     ? milliseconds(0)
                     : std::min(query.Wait, SeedHeadStart);
  source->Connection->call(
      {"GET", formatFeedTarget(query), ""}, query.Wait + HostReplyTimeout,
      [self = shared_from_this(), source](const Reply &reply) {
        if (!self->Stopped)
          self->onHostReply(source, reply);
      });
}

void StoreMirror::onHostReply(const SourcePtr &source, const Reply &reply) {
  // The call has ended: a rise that the page shows must not start another one.
  PendingSource.reset();
  if (reply.Status != platform::StatusOk)
    return onSourceFailure(source, reply.Status, reply.Error);
  auto page = decodeFeedPage(reply.Body);
  if (!page)
    return onSourceFailure(source, reply.Status, page.error().Message);
  // A host without any items accepts a page of any age, unless it may get a
  // newer one from the store.
  if (page->Age > Timing.MaxAge && (Known.At != 0 || !storeFailed()))
    return onSourceFailure(source, reply.Status, "too old");
  // A host that knows no eras is taken to be in the first one.
  if (!page->At.StoreEra)
    page->At.StoreEra = Eras->first();
  if (!Eras->observe(page->At.StoreEra) || page->At < Known)
    return onSourceFailure(source, reply.Status, "behind");
  onSourceSuccess(source, page->Age);
  if (page->IsFullList)
    replaceItems(std::move(page->Items), page->At);
  else if (page->At.StoreEra == Known.StoreEra)
    applyChanges(page->Items, page->At.At);
  callNextSource();
}

void StoreMirror::onSourceSuccess(const SourcePtr &source, milliseconds age) {
  const auto it = std::find(Sources.begin(), Sources.end(), source);
  if (it != Sources.end())
    Failover.onSuccess(static_cast<std::size_t>(it - Sources.begin()));
  PendingSource.reset();
  UpToDateAt = std::max(UpToDateAt, SteadyClock::now() - age);
  const bool regained =
      AllUnavailable || (source->Unavailable && source->IsStore);
  if (source->Unavailable)
    support::LogLine(source->IsStore ? "store_regained" : "feed_host_regained")
        .with("source", source->Name)
        .with("known_at", Known.At);
  source->Unavailable = false;
  source->LastFailure.clear();
  AllUnavailable = false;
  if (!regained)
    return;
  for (const auto &[prefix, handlers] : Subscriptions)
    handlers.OnStoreReachable();
}

void StoreMirror::onSourceFailure(const SourcePtr &source, unsigned status,
                                  const std::string &why) {
  const std::string reason = std::to_string(status) + " " + why;
  // Logs each new reason once.
  if (!source->Unavailable || reason != source->LastFailure)
    support::LogLine(source->IsStore ? "store_lost" : "feed_host_lost")
        .with("source", source->Name)
        .with("status", status)
        .with("why", why)
        .with("known_at", Known.At)
        .with("age", age());
  source->Unavailable = true;
  source->LastFailure = reason;
  PendingSource.reset();
  AllUnavailable =
      std::all_of(Sources.begin(), Sources.end(),
                  [](const SourcePtr &it) { return it->Unavailable; });
  if (const auto it = std::find(Sources.begin(), Sources.end(), source);
      it != Sources.end()) {
    const auto index = static_cast<std::size_t>(it - Sources.begin());
    const auto now = SteadyClock::now();
    if (!source->IsStore && status == platform::StatusUnavailable)
      Failover.holdBack(index, now + NotFreshPause);
    else
      Failover.onFailure(index, now);
  }
  callNextSource();
}

void StoreMirror::replaceItems(std::vector<StoredItem> items,
                               store::Position at) {
  if (Known.At != 0)
    restoreHeldItems(items, at.At, at.StoreEra > Known.StoreEra);
  Items.clear();
  for (const StoredItem &item : items)
    Items[item.Key] = item;
  Removals.clear();
  // Other hosts may still have items that were removed before this list, and
  // those removals aren't known here: hosts behind it get the full list.
  RemovalsKeptAfter = at.At;
  Known = at;
  LastChangeRevision = at.At;
  NeedsFullList = behindEra();
  for (const auto &[prefix, handlers] : Subscriptions) {
    handlers.OnList(itemsUnder(prefix, items));
  }
}

void StoreMirror::restoreHeldItems(std::vector<StoredItem> &listed,
                                   store::Revision atRevision, bool newEra) {
  for (const auto &[prefix, handlers] : Subscriptions) {
    if (!handlers.KeepsHeld)
      continue;
    for (auto it = Items.lower_bound(prefix);
         it != Items.end() && it->first.starts_with(prefix); ++it) {
      // Later lists of the same era are complete but for items that the store
      // has lost.
      if (!newEra && HeldKeys.count(it->first) == 0)
        continue;
      const auto same = std::find_if(
          listed.begin(), listed.end(),
          [&](const StoredItem &item) { return item.Key == it->first; });
      if (!handlers.KeepsHeld(it->second,
                              same == listed.end() ? nullptr : &*same))
        continue;
      HeldKeys.insert(it->first);
      StoredItem kept = it->second;
      kept.ModRevision = atRevision;
      if (same == listed.end())
        listed.push_back(std::move(kept));
      else
        *same = std::move(kept);
    }
  }
}

void StoreMirror::askHostsForHeldItems() {
  for (const auto &[prefix, handlers] : Subscriptions) {
    if (!handlers.KeepsHeld)
      continue;
    FeedQuery query;
    query.Prefix = prefix;
    for (const Endpoint &address : Plan.FallbackSources) {
      // A connection of its own, as the source's carries the mirror's calls.
      const auto connection =
          std::make_shared<store::StoreConnection>(Io, address);
      connection->call({"GET", formatFeedTarget(query), ""}, HostReplyTimeout,
                       [self = shared_from_this(), connection,
                        asked = query.Prefix](const Reply &reply) {
                         if (!self->Stopped)
                           self->onHeldItems(asked, reply);
                       });
    }
  }
}

void StoreMirror::onHeldItems(const std::string &prefix, const Reply &reply) {
  // A host that doesn't answer may hold nothing newer: nothing is lost by it.
  if (reply.Status != platform::StatusOk)
    return;
  const auto page = decodeFeedPage(reply.Body);
  if (!page)
    return;
  for (const auto &[subscribed, handlers] : Subscriptions) {
    if (subscribed != prefix || !handlers.KeepsHeld)
      continue;
    for (const StoredItem &item : page->Items) {
      const auto known = Items.find(item.Key);
      if (!handlers.KeepsHeld(item,
                              known == Items.end() ? nullptr : &known->second))
        continue;
      StoredItem kept = item;
      kept.ModRevision = Known.At;
      applyChanges({kept}, Known.At);
      HeldKeys.insert(kept.Key);
    }
  }
}

void StoreMirror::applyChanges(const std::vector<StoredItem> &items,
                               store::Revision atRevision) {
  Known.At = std::max(Known.At, atRevision);
  for (const StoredItem &item : items)
    applyChange(item);
  for (const auto &[prefix, handlers] : Subscriptions) {
    if (const auto matching = itemsUnder(prefix, items); !matching.empty())
      handlers.OnChanges(matching);
  }
}

void StoreMirror::applyChange(const StoredItem &item) {
  LastChangeRevision = std::max(LastChangeRevision, item.ModRevision);
  HeldKeys.erase(item.Key);
  if (!item.Removed) {
    Items[item.Key] = item;
    return;
  }
  Items.erase(item.Key);
  Removals.push_back(item);
  if (Removals.size() <= MaxRemovals)
    return;
  RemovalsKeptAfter = std::max(RemovalsKeptAfter, Removals.front().ModRevision);
  Removals.pop_front();
}

void StoreMirror::scheduleNextCall(core::Duration pause) {
  NextCallTimer.expires_after(pause);
  NextCallTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec)
          self->callNextSource();
      });
}

} // namespace savorytrestle::registry
