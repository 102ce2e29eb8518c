#include "registry/ConfigFeed.h"

#include "platform/ServingConfigCodec.h"
#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

ConfigFeed::ConfigFeed(ConfigHandler onConfig)
    : OnConfig(std::move(onConfig)) {}

void ConfigFeed::start(StoreMirror &mirror) {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const std::vector<store::StoredItem> &items) {
    for (const store::StoredItem &item : items)
      self->onItem(item);
  };
  handlers.OnChanges = handlers.OnList;
  handlers.OnStoreReachable = [] {};
  // A configuration in force is never replaced by an older one.
  handlers.KeepsHeld = [](const store::StoredItem &held,
                          const store::StoredItem *listed) {
    const auto config = platform::decodeServingConfig(held.Value);
    if (!config || listed == nullptr)
      return config.has_value();
    const auto other = platform::decodeServingConfig(listed->Value);
    return !other || other->Version < config->Version;
  };
  mirror.subscribe(platform::ConfigKey, std::move(handlers));
}

void ConfigFeed::onItem(const store::StoredItem &item) {
  if (item.Key != platform::ConfigKey || item.Removed)
    return;
  auto config = platform::decodeServingConfig(item.Value);
  if (!config) {
    support::LogLine("config_skipped")
        .with("revision", item.ModRevision)
        .with("why", config.error().Message);
    return;
  }
  const std::uint64_t before = Current ? Current->Version : 0;
  if (Current && config->Version <= before)
    return;
  Current = std::make_shared<const core::ServingConfig>(std::move(*config));
  {
    support::LogLine line("config_in_force");
    line.with("version", Current->Version)
        .with("before", before)
        .with("revision", item.ModRevision)
        .with("routes", Current->Routes.size());
    if (Current->Workspaces)
      line.with("workspaces", Current->Workspaces->size());
  }
  OnConfig(Current);
}

} // namespace savorytrestle::registry
