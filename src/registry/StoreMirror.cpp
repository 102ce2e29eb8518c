#include "registry/StoreMirror.h"

#include <algorithm>

#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using std::chrono::milliseconds;
using store::StoredItem;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Hosts that start together open their listeners within this time.
constexpr milliseconds SeedHeadStart{600};
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

milliseconds toMilliseconds(core::Duration time) {
  return std::chrono::floor<milliseconds>(time);
}

std::string addressText(const StoreMirror::Endpoint &address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

StoreMirror::StoreMirror(boost::asio::io_context &io, const Endpoint &store,
                         const core::FeedTiming &timing,
                         std::shared_ptr<store::EraTracker> eras)
    : Io(io), NextCallTimer(io), Timing(timing), Eras(std::move(eras)),
      Schedule(timing), StoreAddress(store) {
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
  Schedule.onUpToDate(SteadyClock::now());
  makeDueCalls();
}

void StoreMirror::onEraRise() {
  NeedsFullList = true;
  for (const auto &[prefix, handlers] : Subscriptions)
    if (handlers.OnEraRise)
      handlers.OnEraRise();
  // Calls in flight may wait for changes after a position of the older era.
  const bool abortedStoreCall = abortCall(PendingStoreCall);
  const bool abortedHostCall = abortCall(PendingHostCall);
  if (abortedStoreCall || abortedHostCall)
    scheduleCalls(SteadyClock::now());
}

bool StoreMirror::abortCall(SourcePtr &pending) {
  if (Stopped || !pending)
    return false;
  const SourcePtr source = std::exchange(pending, nullptr);
  source->Connection->close();
  onCallEnded(source);
  return true;
}

void StoreMirror::onCallEnded(const SourcePtr &source) {
  const bool toStore = source->IsStore;
  (toStore ? PendingStoreCall : PendingHostCall).reset();
  Schedule.onCallEnded(toStore);
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
    Schedule.pauseStore(SteadyClock::now() + SeedHeadStart);
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
  if (PendingIsLongPoll && !Schedule.usesLongPolls())
    abortCall(PendingStoreCall);
  makeDueCalls();
}

void StoreMirror::rebuildSources() {
  Sources.clear();
  const auto addHosts = [this](const std::vector<Endpoint> &addresses) {
    for (const Endpoint &address : addresses)
      Sources.push_back(findOrAddSource(address, false));
  };
  addHosts(Plan.PreferredSources);
  Sources.push_back(findOrAddSource(StoreAddress, true));
  addHosts(Plan.FallbackSources);
  Schedule.setSources({Plan.PreferredSources.size(),
                       Plan.FallbackSources.size(), HasPlan,
                       Plan.ServesOthers});
}

std::optional<std::size_t> StoreMirror::indexOf(const SourcePtr &source) const {
  const auto it = std::find(Sources.begin(), Sources.end(), source);
  if (it == Sources.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - Sources.begin());
}

bool StoreMirror::isFresh() const {
  return Known.At != 0 && !behindEra() &&
         SteadyClock::now() - UpToDateAt <= Timing.MaxAge;
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

void StoreMirror::makeDueCalls() {
  if (Stopped)
    return;
  const auto now = SteadyClock::now();
  while (const auto call = Schedule.startCall(now)) {
    const SourcePtr &source = Sources[call->Source];
    (source->IsStore ? PendingStoreCall : PendingHostCall) = source;
    if (!source->IsStore)
      callHost(source, *call);
    else if (NeedsFullList)
      startList(source);
    else
      watchStore(source, *call);
  }
  scheduleCalls(Schedule.nextCallAt(now));
}

void StoreMirror::scheduleCalls(core::TimePoint at) {
  NextCallTimer.cancel();
  if (Stopped || at == core::TimePoint::max())
    return;
  NextCallTimer.expires_at(at);
  NextCallTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec)
          self->makeDueCalls();
      });
}

void StoreMirror::startList(const SourcePtr &source) {
  PendingIsLongPoll = false;
  ListedItems.clear();
  ListStart = {};
  KnownBeforeList = Known;
  listStore(source, "");
}

void StoreMirror::listStore(const SourcePtr &source, const std::string &after) {
  source->Connection->call(
      platform::encodeReadRange("", after),
      toMilliseconds(Timing.StoreReplyTimeout),
      [self = shared_from_this(), source](const Reply &reply) {
        if (!self->Stopped)
          self->onListReply(source, reply);
      });
}

void StoreMirror::onListReply(const SourcePtr &source, const Reply &reply) {
  auto page =
      reply.Status == platform::StatusOk
          ? platform::decodeRange(reply.Body)
          : core::makeError(core::ErrorCode::StoreUnavailable, reply.Error);
  if (!page) {
    onCallEnded(source);
    return onSourceFailure(source, reply.Status, page.error().Message);
  }
  // The pages are not a snapshot. A watch from the first page's revision
  // returns the changes made while the other pages were read.
  const auto era = Eras->current();
  if (ListStart.At == 0)
    ListStart = {era, page->At};
  // The pages of two eras make no list.
  if (ListStart.StoreEra != era)
    return startList(source);
  // Another host has sent the items or later changes meanwhile.
  if (!NeedsFullList || KnownBeforeList != Known) {
    onCallEnded(source);
    return makeDueCalls();
  }
  std::move(page->Items.begin(), page->Items.end(),
            std::back_inserter(ListedItems));
  if (page->HasMore && !page->Items.empty())
    return listStore(source, ListedItems.back().Key);
  onCallEnded(source);
  onSourceSuccess(source, milliseconds(0));
  const bool first = Known.At == 0;
  replaceItems(std::exchange(ListedItems, {}), ListStart);
  if (first && Eras->hasEverRisen())
    askHostsForHeldItems();
  makeDueCalls();
}

void StoreMirror::watchStore(const SourcePtr &source,
                             const core::FeedCall &call) {
  PendingIsLongPoll = call.Wait == Timing.LongPollWait;
  source->Connection->call(
      platform::encodeWatch("", Known.At, toMilliseconds(call.Wait)),
      toMilliseconds(call.Timeout),
      [self = shared_from_this(), source](const Reply &reply) {
        if (!self->Stopped)
          self->onWatchReply(source, reply);
      });
}

void StoreMirror::onWatchReply(const SourcePtr &source, const Reply &reply) {
  onCallEnded(source);
  if (reply.Status == platform::StatusHistoryGone) {
    support::LogLine("store_history_gone").with("after", Known.At);
    NeedsFullList = true;
    return makeDueCalls();
  }
  if (reply.Status != platform::StatusOk)
    return onSourceFailure(source, reply.Status, reply.Error);
  auto page = platform::decodeWatch(reply.Body);
  if (!page)
    return onSourceFailure(source, reply.Status, page.error().Message);
  onSourceSuccess(source, milliseconds(0));
  // The items came from a host that knows no eras.
  if (behindEra()) {
    NeedsFullList = true;
    return makeDueCalls();
  }
  // Another host may have sent some of the changes meanwhile: an older state of
  // an item must not be applied after a newer one.
  std::erase_if(page->Items, [this](const StoredItem &item) {
    return item.ModRevision <= Known.At;
  });
  if (!page->Items.empty())
    Schedule.onChanges(SteadyClock::now());
  applyChanges(page->Items, page->At);
  makeDueCalls();
}

void StoreMirror::callHost(const SourcePtr &source,
                           const core::FeedCall &call) {
  FeedQuery query{NeedsFullList ? store::Position{} : Known};
  query.Wait = toMilliseconds(call.Wait);
  // Only when the fleet starts will a seed have its first list soon.
  if (Known.At == 0)
    query.Wait = HasPlan || Plan.PreferredSources.empty()
                     ? milliseconds(0)
                     : std::min(query.Wait, SeedHeadStart);
  source->Connection->call(
      {"GET", formatFeedTarget(query), ""},
      query.Wait + toMilliseconds(call.Timeout - call.Wait),
      [self = shared_from_this(), source, known = Known](const Reply &reply) {
        if (!self->Stopped)
          self->onHostReply(source, known, reply);
      });
}

void StoreMirror::onHostReply(const SourcePtr &source,
                              store::Position knownBefore, const Reply &reply) {
  // The call has ended: a rise that the page shows must not abort it.
  onCallEnded(source);
  if (reply.Status != platform::StatusOk)
    return onSourceFailure(source, reply.Status, reply.Error);
  auto page = decodeFeedPage(reply.Body);
  if (!page)
    return onSourceFailure(source, reply.Status, page.error().Message);
  // A host without any items accepts a page of any age, unless it may get a
  // newer one from the store.
  if (page->Age > Timing.MaxAge && (Known.At != 0 || !Schedule.storeFailed()))
    return onSourceFailure(source, reply.Status, "too old");
  // A host that knows no eras is taken to be in the first one.
  if (!page->At.StoreEra)
    page->At.StoreEra = Eras->first();
  if (!Eras->observe(page->At.StoreEra) || page->At < knownBefore)
    return onSourceFailure(source, reply.Status, "behind");
  onSourceSuccess(source, page->Age);
  // The store may have sent later changes meanwhile.
  if (page->At < Known)
    return makeDueCalls();
  if (page->IsFullList)
    replaceItems(std::move(page->Items), page->At);
  else if (page->At.StoreEra == Known.StoreEra)
    applyChanges(page->Items, page->At.At);
  makeDueCalls();
}

void StoreMirror::onSourceSuccess(const SourcePtr &source, milliseconds age) {
  if (const auto index = indexOf(source))
    Schedule.onSuccess(*index);
  UpToDateAt = std::max(UpToDateAt, SteadyClock::now() - age);
  Schedule.onUpToDate(UpToDateAt);
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
  AllUnavailable =
      std::all_of(Sources.begin(), Sources.end(),
                  [](const SourcePtr &it) { return it->Unavailable; });
  if (const auto index = indexOf(source)) {
    const auto now = SteadyClock::now();
    if (!source->IsStore && status == platform::StatusUnavailable)
      Schedule.onNotFresh(*index, now);
    else
      Schedule.onFailure(*index, now);
  }
  makeDueCalls();
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
      connection->call({"GET", formatFeedTarget(query), ""},
                       toMilliseconds(Timing.HostReplyTimeout),
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

} // namespace savorytrestle::registry
