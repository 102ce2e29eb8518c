#ifndef SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H
#define SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H

/// @file
/// @brief Tells the other hosts through the store that this one is there, and
/// counts them.

#include <utility>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "registry/HostEntry.h"
#include "registry/StoreConnection.h"

namespace savorytrestle::registry {

/// What the keys of the hosts begin with; the host's name follows.
inline constexpr const char *HostPrefix = "hosts/";

/// @brief Keeps one leased item of this host in the store, and reads those of
/// the others now and then.
class HostPresence : public std::enable_shared_from_this<HostPresence> {
public:
  /// @brief Takes the number of hosts that share the leaves, and those that
  /// are there now.
  using HostsHandler =
      std::function<void(std::size_t, const std::vector<HostEntry> &)>;

  /// @brief Makes a presence that isn't announced yet.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param own what it tells of this host
  /// @param onHosts told after each count
  HostPresence(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &store, HostEntry own,
               HostsHandler onHosts);

  /// @brief Announces the host and keeps its lease.
  void start();

  /// @brief Takes it back; the store drops the item with its lease.
  void stop();

private:
  void grant();
  void announce();
  void renew();
  void count();
  void onCounted(const StoreReply &reply);
  void wait(std::chrono::milliseconds span, void (HostPresence::*next)());

  boost::asio::steady_timer Timer;
  std::shared_ptr<StoreConnection> Connection;
  HostEntry Own;
  HostsHandler OnHosts;
  std::set<std::string> Seen;
  std::size_t Reported = 0;
  int Counts = 0;
  LeaseId Lease = 0;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
