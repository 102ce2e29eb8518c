#include "registry/LeafFeed.h"

#include <algorithm>
#include <set>

#include "platform/ServingConfigCodec.h"
#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using SteadyClock = std::chrono::steady_clock;

namespace {

/// Living leaves have written their entry again by then (the users' letter:
/// about two seconds after the store's return).
constexpr std::chrono::milliseconds ReturnTime{2200};
/// Well below the time in which a leaving leaf must get no more requests (3 s
/// at the least); a leaf that fails is noticed by its replies before that.
constexpr std::chrono::milliseconds GatherChanges{700};

std::string idOf(const StoredItem &item) {
  return item.Key.substr(std::string(platform::LeafPrefix).size());
}

} // namespace

LeafFeed::LeafFeed(boost::asio::io_context &io,
                   boost::asio::ip::tcp::endpoint store,
                   leaf::LeafDirectory &leaves)
    : Io(io), Store(std::move(store)), Leaves(leaves), Lapsed(ReturnTime),
      Timer(io) {}

void LeafFeed::start() {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &items) { self->onList(items); };
  handlers.OnChanges = [self](const auto &items) { self->onChanges(items); };
  handlers.OnRegained = [self] {
    self->Lapsed.onStoreRegained(SteadyClock::now());
  };
  Feed = std::make_shared<PrefixFeed>(Io, Store, platform::LeafPrefix,
                                      GatherChanges, std::move(handlers));
  Feed->start();
}

void LeafFeed::stop() {
  Timer.cancel();
  if (Feed)
    Feed->stop();
  Feed.reset();
}

void LeafFeed::onList(const std::vector<StoredItem> &items) {
  std::set<std::string> listed;
  for (const StoredItem &item : items) {
    listed.insert(idOf(item));
    onItem(item);
  }
  for (const std::string &id : Leaves.ids())
    if (listed.count(id) == 0)
      removed(id);
  if (!Listed)
    support::LogLine("leaves_listed").with("entries", items.size());
  Listed = true;
}

void LeafFeed::onChanges(const std::vector<StoredItem> &items) {
  const auto removals = static_cast<std::size_t>(
      std::count_if(items.begin(), items.end(), [this](const StoredItem &item) {
        return item.Removed && Leaves.usable(idOf(item));
      }));
  Lapsed.onRemovals(removals, Leaves.ids().size(), SteadyClock::now());
  for (const StoredItem &item : items)
    onItem(item);
}

void LeafFeed::onItem(const StoredItem &item) {
  const std::string id = idOf(item);
  if (item.Removed)
    return removed(id);
  const auto entry = platform::decodeLeafEntry(id, item.Value);
  if (!entry) {
    support::LogLine("leaf_entry_skipped")
        .with("leaf", id)
        .with("revision", item.Changed)
        .with("why", entry.error().Message);
    return removed(id);
  }
  Lapsed.onPut(id);
  Leaves.put(*entry);
  support::LogLine("leaf_entry")
      .with("leaf", id)
      .with("service", entry->Service)
      .with("address", entry->Address)
      .with("draining", entry->Draining ? 1 : 0)
      .with("warm_up", entry->WarmUpLeft)
      .with("revision", item.Changed);
}

void LeafFeed::removed(const std::string &id) {
  if (Lapsed.onRemoved(id, SteadyClock::now())) {
    support::LogLine("leaf_gone").with("leaf", id).with("held", 0);
    return Leaves.remove(id);
  }
  dropLater();
}

void LeafFeed::dropLater() {
  if (Waiting)
    return;
  Waiting = true;
  Timer.expires_at(Lapsed.due());
  Timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        self->Waiting = false;
        if (ec)
          return;
        for (const std::string &id : self->Lapsed.takeDue(SteadyClock::now())) {
          support::LogLine("leaf_gone").with("leaf", id).with("held", 1);
          self->Leaves.remove(id);
        }
        if (self->Lapsed.holds())
          self->dropLater();
      });
}

} // namespace savorytrestle::registry
