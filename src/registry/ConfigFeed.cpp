#include "registry/ConfigFeed.h"

#include "platform/ServingConfigCodec.h"
#include "platform/StoreProtocol.h"
#include "support/Log.h"

namespace savorytrestle::registry {

namespace {

/// Well below the time in which a version must be in force (3 s at the least).
constexpr std::chrono::milliseconds GatherChanges{300};

} // namespace

ConfigFeed::ConfigFeed(boost::asio::io_context &io,
                       boost::asio::ip::tcp::endpoint store, Applied onApplied)
    : Io(io), Store(std::move(store)), OnApplied(std::move(onApplied)) {}

void ConfigFeed::start() {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const std::vector<StoredItem> &items) {
    for (const StoredItem &item : items)
      self->onItem(item);
  };
  handlers.OnChanges = handlers.OnList;
  handlers.OnRegained = [] {};
  Feed = std::make_shared<PrefixFeed>(Io, Store, platform::ConfigKey,
                                      GatherChanges, std::move(handlers));
  Feed->start();
}

void ConfigFeed::stop() {
  if (Feed)
    Feed->stop();
  Feed.reset();
}

void ConfigFeed::onItem(const StoredItem &item) {
  if (item.Key != platform::ConfigKey || item.Removed)
    return;
  auto config = platform::decodeServingConfig(item.Value);
  if (!config) {
    support::LogLine("config_skipped")
        .with("revision", item.Changed)
        .with("why", config.error().Message);
    return;
  }
  const std::uint64_t before = Current ? Current->Version : 0;
  if (Current && config->Version <= before)
    return;
  Current = std::make_shared<const core::ServingConfig>(std::move(*config));
  support::LogLine("config_in_force")
      .with("version", Current->Version)
      .with("before", before)
      .with("revision", item.Changed)
      .with("routes", Current->Routes.size());
  OnApplied(Current);
}

} // namespace savorytrestle::registry
