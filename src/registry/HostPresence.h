#ifndef SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H
#define SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H

/// @file
/// @brief Tells the other hosts through the store that this one is there, and
/// counts them.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "registry/HostEntry.h"
#include "registry/StoreConnection.h"

namespace savorytrestle::registry {

/// What the keys of the hosts begin with; the host's name follows.
inline constexpr const char *HostPrefix = "hosts/";

/// @brief What a count of the hosts has found.
struct HostCount {
  /// Hosts that share the leaves, over all failure domains.
  std::size_t All = 0;
  /// Those of them in this host's failure domain.
  std::size_t OwnDomain = 0;
  /// Hosts that are there now.
  std::vector<HostEntry> There;
};

/// @brief Keeps one leased item of this host in the store, and reads those of
/// the others now and then.
class HostPresence : public std::enable_shared_from_this<HostPresence> {
public:
  /// @brief Takes what a count has found.
  using HostsHandler = std::function<void(const HostCount &)>;

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
  HostCount countOf(const StorePage &page);
  void onCounted(const StoreReply &reply);
  void wait(std::chrono::milliseconds span, void (HostPresence::*next)());

  boost::asio::steady_timer Timer;
  std::shared_ptr<StoreConnection> Connection;
  HostEntry Own;
  HostsHandler OnHosts;
  /// Failure domain of each host seen so far.
  std::map<std::string, std::string> Seen;
  std::size_t Reported = 0;
  int Counts = 0;
  LeaseId Lease = 0;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
