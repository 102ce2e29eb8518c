#include "registry/HostFeed.h"

#include <set>

#include "support/Log.h"

namespace savorytrestle::registry {

using std::chrono::milliseconds;
using store::StoredItem;

namespace {

/// A live host whose entry expired writes it again with its next lease renewal.
constexpr milliseconds GraceTime{5000};

std::string idOf(const StoredItem &item) {
  return item.Key.substr(std::string(HostPrefix).size());
}

} // namespace

HostFeed::HostFeed(boost::asio::io_context &io, std::string ownId,
                   HostsHandler onHosts, EntryHandler onEntry)
    : OwnId(std::move(ownId)), OnHosts(std::move(onHosts)),
      OnEntry(std::move(onEntry)),
      Removals(std::make_shared<HeldRemovals>(
          io, GraceTime,
          [this](const std::string &id, bool) { removeHost(id); })) {}

void HostFeed::start(StoreMirror &mirror) {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &items) { self->onList(items); };
  handlers.OnChanges = [self](const auto &items) { self->onChanges(items); };
  handlers.OnStoreReachable = [self] { self->Removals->onStoreReachable(); };
  handlers.OnEraRise = [self] {
    self->Removals->onStoreReachable();
    self->LastReadRevision.clear();
  };
  mirror.subscribe(HostPrefix, std::move(handlers));
}

void HostFeed::onList(const std::vector<StoredItem> &items) {
  std::set<std::string> listed;
  for (const StoredItem &item : items) {
    listed.insert(idOf(item));
    onItem(item);
  }
  std::vector<std::string> missing;
  for (const auto &[id, host] : LiveHosts)
    if (listed.count(id) == 0)
      missing.push_back(id);
  for (const std::string &id : missing)
    Removals->onRemoved(id);
  publishHosts();
}

void HostFeed::onChanges(const std::vector<StoredItem> &items) {
  std::size_t removals = 0;
  for (const StoredItem &item : items)
    removals += item.Removed ? 1 : 0;
  Removals->onRemovals(removals, LiveHosts.size());
  for (const StoredItem &item : items)
    onItem(item);
  publishHosts();
}

void HostFeed::onItem(const StoredItem &item) {
  const std::string id = idOf(item);
  if (item.Removed)
    return Removals->onRemoved(id);
  // An item that was read before is not decoded again: the ages of its records
  // would be counted from now.
  if (std::exchange(LastReadRevision[id], item.ModRevision) == item.ModRevision)
    return Removals->onPut(id);
  auto entry = decodeHostEntry(
      id, item.Value,
      core::steadyTimeAsWallTime(std::chrono::steady_clock::now()));
  if (!entry) {
    support::LogLine("host_entry_skipped")
        .with("host", id)
        .with("why", entry.error().Message);
    return Removals->onRemoved(id);
  }
  Removals->onPut(id);
  DomainByHost[id] = entry->FailureDomain;
  if (id != OwnId)
    OnEntry(*entry);
  LiveHosts[id] = std::move(*entry);
}

void HostFeed::removeHost(const std::string &id) {
  if (LiveHosts.erase(id) > 0)
    publishHosts();
}

void HostFeed::publishHosts() {
  KnownHosts hosts;
  // Hosts whose entry has been removed are counted as well: a host that is only
  // cut off from the store goes on using its share of the leaves' limits.
  for (const auto &[id, domain] : DomainByHost)
    ++hosts.CountByDomain[domain];
  for (const auto &[id, host] : LiveHosts)
    hosts.LiveHosts.push_back(host);
  if (DomainByHost.size() != LoggedCount)
    support::LogLine("hosts_known")
        .with("hosts", DomainByHost.size())
        .with("there", LiveHosts.size())
        .with("domains", hosts.CountByDomain.size());
  LoggedCount = DomainByHost.size();
  OnHosts(hosts);
}

} // namespace savorytrestle::registry
