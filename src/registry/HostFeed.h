#ifndef SAVORYTRESTLE_REGISTRY_HOST_FEED_H
#define SAVORYTRESTLE_REGISTRY_HOST_FEED_H

/// @file
/// @brief Follows the other hosts' entries in the store, and counts them.

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

/// What the keys of the hosts begin with; the host's name follows.
inline constexpr const char *HostPrefix = "hosts/";

/// @brief What is known of the hosts.
struct KnownHosts {
  /// Hosts that share the leaves, in each failure domain; one that is gone
  /// still counts.
  std::map<std::string, std::size_t> CountByDomain;
  /// Hosts that are there now.
  std::vector<HostEntry> LiveHosts;
};

/// @brief Keeps count of the hosts.
class HostFeed : public std::enable_shared_from_this<HostFeed> {
public:
  using HostsHandler = std::function<void(const KnownHosts &)>;
  using RecordsHandler =
      std::function<void(const std::vector<core::QuarantineRecord> &)>;

  /// @brief Makes a feed.
  /// @param io runs its handlers
  /// @param ownId this host, of whose entry nothing is told
  /// @param onHosts told after each change of the hosts
  /// @param onRecords told what other hosts tell of requests that crash leaves
  HostFeed(boost::asio::io_context &io, std::string ownId, HostsHandler onHosts,
           RecordsHandler onRecords);

  /// @brief Follows the mirror; to be called before the mirror starts.
  void start(StoreMirror &mirror);

private:
  void onList(const std::vector<store::StoredItem> &items);
  void onChanges(const std::vector<store::StoredItem> &items);
  void onItem(const store::StoredItem &item);
  void removeHost(const std::string &id);
  void publishHosts();

  std::string OwnId;
  HostsHandler OnHosts;
  RecordsHandler OnRecords;
  std::shared_ptr<HeldRemovals> Removals;
  std::map<std::string, HostEntry> LiveHosts;
  /// Failure domain of each host seen so far.
  std::map<std::string, std::string> DomainByHost;
  /// Revision at which each host's item was read last.
  std::map<std::string, store::Revision> LastReadRevision;
  std::size_t LoggedCount = 0;
};

} // namespace savorytrestle::registry

#endif
