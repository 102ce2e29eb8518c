#ifndef SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H
#define SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H

/// @file
/// @brief Tells the other hosts through the store that this one is there.

#include <utility>

#include <memory>
#include <string>

#include "registry/StoreConnection.h"

namespace savorytrestle::registry {

/// What the keys of the hosts begin with; the host's name follows.
inline constexpr const char *HostPrefix = "hosts/";

/// @brief Keeps one leased item of this host in the store.
class HostPresence : public std::enable_shared_from_this<HostPresence> {
public:
  /// @brief Makes a presence that isn't announced yet.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param name the host's name
  HostPresence(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &store, std::string name);

  /// @brief Announces the host and keeps its lease.
  void start();

  /// @brief Takes it back; the store drops the item with its lease.
  void stop();

private:
  void grant();
  void announce();
  void renew();
  void wait(std::chrono::milliseconds span, void (HostPresence::*next)());

  boost::asio::steady_timer Timer;
  std::shared_ptr<StoreConnection> Connection;
  std::string Name;
  LeaseId Lease = 0;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
