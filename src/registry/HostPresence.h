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

#include "registry/StoreConnection.h"

namespace savorytrestle::registry {

/// What the keys of the hosts begin with; the host's name follows.
inline constexpr const char *HostPrefix = "hosts/";

/// @brief Keeps one leased item of this host in the store, and reads those of
/// the others now and then.
class HostPresence : public std::enable_shared_from_this<HostPresence> {
public:
  /// @brief Takes the number of hosts seen so far.
  using CountHandler = std::function<void(std::size_t)>;

  /// @brief Makes a presence that isn't announced yet.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param name the host's name
  /// @param onCount told when the number known changes
  HostPresence(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &store, std::string name,
               CountHandler onCount);

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
  std::string Name;
  CountHandler OnCount;
  std::set<std::string> Seen;
  std::size_t Reported = 0;
  int Counts = 0;
  LeaseId Lease = 0;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
