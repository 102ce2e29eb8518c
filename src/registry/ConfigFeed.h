#ifndef SAVORYTRESTLE_REGISTRY_CONFIG_FEED_H
#define SAVORYTRESTLE_REGISTRY_CONFIG_FEED_H

/// @file
/// @brief Follows the operators' configuration in the store.

#include <utility>

#include <functional>
#include <memory>

#include "registry/StoreMirror.h"
#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::registry {

/// @brief Newest version of the configuration that this process has seen; it
/// never goes back to an older one.
class ConfigFeed : public std::enable_shared_from_this<ConfigFeed> {
public:
  using ConfigPtr = std::shared_ptr<const core::ServingConfig>;
  using ConfigHandler = std::function<void(const ConfigPtr &)>;

  /// @brief Makes a feed.
  /// @param onConfig told of each newer version
  explicit ConfigFeed(ConfigHandler onConfig);

  /// @brief Follows the mirror; to be called before the mirror starts.
  void start(StoreMirror &mirror);

  /// @brief The version in force here; null before the first.
  const ConfigPtr &current() const { return Current; }

private:
  void onItem(const store::StoredItem &item);

  ConfigHandler OnConfig;
  ConfigPtr Current;
};

} // namespace savorytrestle::registry

#endif
