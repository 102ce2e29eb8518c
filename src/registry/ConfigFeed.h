#ifndef SAVORYTRESTLE_REGISTRY_CONFIG_FEED_H
#define SAVORYTRESTLE_REGISTRY_CONFIG_FEED_H

/// @file
/// @brief Follows the operators' configuration in the store.

#include <utility>

#include <functional>
#include <memory>

#include "registry/PrefixFeed.h"
#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::registry {

/// @brief Newest version of the configuration that this process has seen; it
/// never goes back to an older one.
class ConfigFeed : public std::enable_shared_from_this<ConfigFeed> {
public:
  using ConfigPtr = std::shared_ptr<const core::ServingConfig>;
  using Applied = std::function<void(const ConfigPtr &)>;

  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param onApplied told of each newer version
  ConfigFeed(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint store,
             Applied onApplied);

  /// @brief Begins.
  void start();

  /// @brief Ends.
  void stop();

  /// @brief The version in force here; null before the first.
  const ConfigPtr &current() const { return Current; }

private:
  void onItem(const StoredItem &item);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Store;
  Applied OnApplied;
  std::shared_ptr<PrefixFeed> Feed;
  ConfigPtr Current;
};

} // namespace savorytrestle::registry

#endif
