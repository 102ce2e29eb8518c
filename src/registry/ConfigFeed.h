#ifndef SAVORYTRESTLE_REGISTRY_CONFIG_FEED_H
#define SAVORYTRESTLE_REGISTRY_CONFIG_FEED_H

/// @file
/// @brief Reads the operators' configuration from the mirror of the store.

#include <utility>

#include <functional>
#include <memory>

#include "registry/StoreMirror.h"
#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::registry {

/// @brief Holds the newest version of the configuration that this process has
/// received; an older version never replaces it.
class ConfigFeed : public std::enable_shared_from_this<ConfigFeed> {
public:
  using ConfigPtr = std::shared_ptr<const core::ServingConfig>;
  using ConfigHandler = std::function<void(const ConfigPtr &)>;

  /// @brief Makes a feed.
  /// @param onConfig called with each newer version
  explicit ConfigFeed(ConfigHandler onConfig);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start(StoreMirror &mirror);

  /// @brief The version in force on this host; null until the first one has
  /// been received.
  const ConfigPtr &current() const { return Current; }

private:
  void onItem(const store::StoredItem &item);

  ConfigHandler OnConfig;
  ConfigPtr Current;
};

} // namespace savorytrestle::registry

#endif
