#ifndef SAVORYTRESTLE_REGISTRY_HOST_FEED_H
#define SAVORYTRESTLE_REGISTRY_HOST_FEED_H

/// @file
/// @brief Reads the hosts' entries from the mirror of the store and counts the
/// hosts.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "registry/HeldRemovals.h"
#include "registry/HostEntry.h"
#include "registry/StoreMirror.h"

namespace savorytrestle::registry {

/// Key prefix of the hosts' items; the host id follows.
inline constexpr const char *HostPrefix = "hosts/";

/// @brief The hosts as known to this host.
struct KnownHosts {
  /// Number of hosts that share the leaves, per failure domain. It includes
  /// hosts whose entry has been removed.
  std::map<std::string, std::size_t> CountByDomain;
  /// Hosts that have an entry now.
  std::vector<HostEntry> LiveHosts;
};

/// @brief Tracks the hosts and passes on their entries.
class HostFeed : public std::enable_shared_from_this<HostFeed> {
public:
  using HostsHandler = std::function<void(const KnownHosts &)>;
  using EntryHandler = std::function<void(const HostEntry &)>;

  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param ownId id of this host; its own entry isn't passed on
  /// @param onHosts called after each change of the hosts
  /// @param onEntry called with each new or changed entry of another host
  HostFeed(boost::asio::io_context &io, std::string ownId, HostsHandler onHosts,
           EntryHandler onEntry);

  /// @brief Subscribes to the mirror; must be called before the mirror starts.
  void start(StoreMirror &mirror);

private:
  void onList(const std::vector<store::StoredItem> &items);
  void onChanges(const std::vector<store::StoredItem> &items);
  void onItem(const store::StoredItem &item);
  void removeHost(const std::string &id);
  void publishHosts();

  std::string OwnId;
  HostsHandler OnHosts;
  EntryHandler OnEntry;
  std::shared_ptr<HeldRemovals> Removals;
  std::map<std::string, HostEntry> LiveHosts;
  /// Failure domain of each host that ever had an entry.
  std::map<std::string, std::string> DomainByHost;
  /// Revision of each host's item when it was last read.
  std::map<std::string, store::Revision> LastReadRevision;
  /// Number of hosts in the last log line.
  std::size_t LoggedCount = 0;
};

} // namespace savorytrestle::registry

#endif
