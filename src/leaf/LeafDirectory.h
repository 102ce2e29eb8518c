#ifndef SAVORYTRESTLE_LEAF_LEAF_DIRECTORY_H
#define SAVORYTRESTLE_LEAF_LEAF_DIRECTORY_H

/// @file
/// @brief All services and their leaves as this host knows them.

#include <utility>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "leaf/Leaf.h"
#include "savorytrestle/core/RelayPolicy.h"
#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/SharedRetryBudget.h"

namespace savorytrestle::leaf {

/// @brief Where this host stands.
struct HostLocation {
  std::string FailureDomain;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
};

/// @brief One service: its leaves, and what is shared between its requests.
struct Service {
  std::string Name;
  std::vector<std::shared_ptr<Leaf>> Leaves;
  core::SharedRetryBudget RetryBudget;
  /// When each failure domain was last seen with a leaf.
  std::map<std::string, core::TimePoint> DomainLastSeen;
  /// What each route's requests take here, by the route's name.
  std::map<std::string, core::ExpectedLatency, std::less<>> Latencies;
  int MaxConnections = 0;
};

/// @brief Services and leaves; used on the data thread only.
class LeafDirectory {
public:
  /// @brief Makes an empty directory.
  /// @param io runs the handlers of connections
  /// @param location where this host stands
  /// @param rule bound on extra load, for each service
  LeafDirectory(boost::asio::io_context &io, HostLocation location,
                core::RetryBudgetRule rule);

  /// @brief Takes another bound on extra load.
  void setBudgetRule(const core::RetryBudgetRule &rule);

  /// @brief The service of a name, made when it isn't known; stays valid.
  Service &service(const std::string &name);

  /// @brief Takes the services of a configuration.
  void applyConfig(const core::ServingConfig &config);

  /// @brief Takes a leaf's entry; a new start under a known identity replaces
  /// the one before.
  void putLeaf(const core::LeafEntry &entry);

  /// @brief A leaf's entry is gone.
  void removeLeaf(const std::string &id);

  /// @brief Whether a leaf is known and takes new requests.
  bool acceptsRequests(const std::string &id) const;

  /// @brief Identities of all leaves with an entry.
  std::vector<std::string> leafIds() const;

  /// @brief Takes the other hosts that are there now; they are kept like leaves
  /// of a service for each failure domain.
  void setPeers(const std::vector<core::LeafEntry> &hosts);

  /// @brief The hosts of a failure domain.
  Service &peersOf(const std::string &failureDomain);

  /// @brief Where in this host's region each shard has a usable leaf.
  /// O(leaves of the shards).
  core::DomainsOfShards nearbyDomains(const std::vector<std::string> &shards);

  /// @brief Grows with each change of the leaves.
  std::uint64_t generation() const { return Generation; }

  /// @brief This host's failure domain.
  const std::string &failureDomain() const { return Location.FailureDomain; }

  /// @brief Takes the number of hosts that share the leaves.
  /// @param hostsByDomain hosts of each failure domain
  void setHostCounts(std::map<std::string, std::size_t> hostsByDomain);

  /// @brief Chooses the leaf for a request: the cheapest one that takes
  /// requests, has room and wasn't tried.
  /// @param service its service
  /// @param expected what the request is expected to take
  /// @param tried leaves that it went to before
  /// @return the leaf, or null; O(leaves of the service)
  std::shared_ptr<Leaf>
  chooseLeaf(const Service &service, core::Duration expected,
             const std::vector<std::shared_ptr<Leaf>> &tried);

  /// @brief Whether any leaf of the service would take a request now.
  bool reachable(const Service &service) const;

private:
  std::vector<std::string> idsWithPrefix(const std::string &prefix) const;
  core::LeafDistance distanceTo(const std::string &failureDomain) const;
  void updateShares();
  void setConnectionShare(const Service &service, Leaf &leaf) const;
  void setBudgetShare(Service &service) const;

  boost::asio::io_context &Io;
  boost::asio::steady_timer JointStartTimer;
  HostLocation Location;
  core::RetryBudgetRule BudgetRule;
  std::map<std::string, std::unique_ptr<Service>> Services;
  std::map<std::string, std::shared_ptr<Leaf>> ById;
  std::map<std::string, std::size_t> HostsByDomain;
  std::size_t HostCount;
  std::size_t OwnDomainHostCount;
  const core::TimePoint Started;
  std::uint64_t Generation = 0;
  std::minstd_rand Random;
};

} // namespace savorytrestle::leaf

#endif
