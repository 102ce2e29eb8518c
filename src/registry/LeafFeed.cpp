#include "registry/LeafFeed.h"

#include <algorithm>
#include <set>

#include "platform/ServingConfigCodec.h"
#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using SteadyClock = std::chrono::steady_clock;

namespace {

/// Live leaves write their entry again about two seconds after the store is
/// reachable again.
constexpr std::chrono::milliseconds GraceTime{2200};

std::string idOf(const store::StoredItem &item) {
  return item.Key.substr(std::string(platform::LeafKeyPrefix).size());
}

} // namespace

LeafFeed::LeafFeed(boost::asio::io_context &io, leaf::LeafDirectory &leaves)
    : Leaves(leaves), CopyTimer(io),
      Removals(std::make_shared<HeldRemovals>(
          io, GraceTime, [this](const std::string &id, bool held) {
            support::LogLine("leaf_gone")
                .with("leaf", id)
                .with("held", held ? 1 : 0);
            if (const auto run = Leaves.runOf(id))
              Removed.onRemoved(*run, SteadyClock::now());
            Leaves.removeLeaf(id);
          })) {}

void LeafFeed::start(StoreMirror &mirror) {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &items) { self->onList(items); };
  handlers.OnChanges = [self](const auto &items) { self->onChanges(items); };
  handlers.OnStoreReachable = [self] { self->Removals->onStoreReachable(); };
  handlers.OnEraRise = [self] {
    self->Removals->onStoreReachable();
    self->NextListIsCopy = true;
  };
  mirror.subscribe(platform::LeafKeyPrefix, std::move(handlers));
}

void LeafFeed::onList(const std::vector<store::StoredItem> &items) {
  std::set<std::string> listed;
  const bool fromCopy = std::exchange(NextListIsCopy, false);
  for (const store::StoredItem &item : items) {
    listed.insert(idOf(item));
    if (fromCopy && wasRemoved(item))
      withhold(item);
    else
      onItem(item);
  }
  for (const std::string &id : Leaves.leafIds())
    if (listed.count(id) == 0)
      Removals->onRemoved(id);
  if (!HasList)
    support::LogLine("leaves_listed").with("entries", items.size());
  HasList = true;
}

void LeafFeed::onChanges(const std::vector<store::StoredItem> &items) {
  const auto removals = static_cast<std::size_t>(std::count_if(
      items.begin(), items.end(), [this](const store::StoredItem &item) {
        return item.Removed && Leaves.acceptsRequests(idOf(item));
      }));
  Removals->onRemovals(removals, Leaves.leafIds().size());
  for (const store::StoredItem &item : items)
    onItem(item);
}

bool LeafFeed::wasRemoved(const store::StoredItem &item) const {
  const auto entry = platform::decodeLeafEntry(idOf(item), item.Value);
  return entry && !Leaves.runOf(entry->Id) &&
         Removed.contains({entry->Id, entry->Address, entry->StartedAt},
                          SteadyClock::now());
}

void LeafFeed::withhold(const store::StoredItem &item) {
  support::LogLine("leaf_withheld").with("leaf", idOf(item));
  Withheld[idOf(item)] = item;
  CopyTimer.expires_after(core::RemovedRuns::CopyLifetime);
  CopyTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec)
          return;
        // The store still lists it, so the leaf reports to it.
        for (const auto &[id, withheld] : std::exchange(self->Withheld, {}))
          self->onItem(withheld);
      });
}

void LeafFeed::onItem(const store::StoredItem &item) {
  const std::string id = idOf(item);
  Withheld.erase(id);
  if (item.Removed)
    return Removals->onRemoved(id);
  auto entry = platform::decodeLeafEntry(id, item.Value);
  if (!entry) {
    support::LogLine("leaf_entry_skipped")
        .with("leaf", id)
        .with("revision", item.ModRevision)
        .with("why", entry.error().Message);
    return Removals->onRemoved(id);
  }
  entry->Revision = static_cast<std::int64_t>(item.ModRevision);
  Removals->onPut(id);
  Leaves.putLeaf(*entry);
  support::LogLine("leaf_entry")
      .with("leaf", id)
      .with("service", entry->Service)
      .with("address", entry->Address)
      .with("draining", entry->Draining ? 1 : 0)
      .with("warm_up", entry->WarmUpLeft)
      .with("revision", item.ModRevision);
}

} // namespace savorytrestle::registry
