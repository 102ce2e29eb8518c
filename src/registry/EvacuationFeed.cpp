#include "registry/EvacuationFeed.h"

#include <set>
#include <string_view>
#include <utility>

#include "platform/StoreProtocol.h"

namespace savorytrestle::registry {

namespace {

std::string domainOf(const store::StoredItem &item) {
  return item.Key.substr(
      std::string_view(platform::EvacuationKeyPrefix).size());
}

} // namespace

EvacuationFeed::EvacuationFeed(ChangeHandler onChange)
    : OnChange(std::move(onChange)) {}

void EvacuationFeed::start(StoreMirror &mirror) {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &items) { self->onList(items); };
  handlers.OnChanges = [self](const auto &items) { self->onChanges(items); };
  handlers.OnStoreReachable = [] {};
  handlers.KeepsHeld = [](const store::StoredItem &,
                          const store::StoredItem *listed) {
    return listed == nullptr;
  };
  mirror.subscribe(platform::EvacuationKeyPrefix, std::move(handlers));
}

void EvacuationFeed::onList(const std::vector<store::StoredItem> &items) {
  std::set<std::string> listed;
  for (const store::StoredItem &item : items)
    listed.insert(domainOf(item));
  const auto change = Known.replace(std::move(listed));
  for (const std::string &domain : change.Begun)
    OnChange(domain, true);
  for (const std::string &domain : change.Ended)
    OnChange(domain, false);
}

void EvacuationFeed::onChanges(const std::vector<store::StoredItem> &items) {
  for (const store::StoredItem &item : items) {
    const std::string domain = domainOf(item);
    if (item.Removed ? Known.end(domain) : Known.begin(domain))
      OnChange(domain, !item.Removed);
  }
}

} // namespace savorytrestle::registry
