#ifndef SAVORYTRESTLE_LEAF_LEAF_DIRECTORY_H
#define SAVORYTRESTLE_LEAF_LEAF_DIRECTORY_H

/// @file
/// @brief All services and their leaves, and the other hosts.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "leaf/LeafEndings.h"
#include "leaf/Service.h"
#include "savorytrestle/core/LeafLink.h"
#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/placement/ColdLeaf.h"
#include "savorytrestle/core/placement/Evacuations.h"
#include "savorytrestle/core/placement/HomeRegions.h"
#include "savorytrestle/core/placement/RelayPolicy.h"
#include "support/LogRateLimiter.h"

namespace savorytrestle::leaf {

/// @brief Failure domain of this host, and the regions of all domains.
struct HostLocation {
  std::string FailureDomain;
  /// Region of each failure domain.
  std::map<std::string, std::string> Regions;
};

/// @brief Prefix of services that hold other hosts; configured names can't have
/// it.
inline const std::string PeerServicePrefix = "/hosts/";

/// @brief Limits of leaves in requests a second, by the run of the leaf.
using RateLimits = std::map<core::LeafRun, double>;

/// @brief Services and leaves. Not thread-safe: used on the data thread only.
class LeafDirectory {
public:
  /// @brief Creates an empty directory.
  /// @param io runs the handlers of connections
  /// @param location failure domain and regions
  /// @param rule limit of retries and hedges, for each service
  LeafDirectory(boost::asio::io_context &io, HostLocation location,
                core::RetryBudgetRule rule);

  /// @brief Replaces the limit of retries and hedges.
  void setBudgetRule(const core::RetryBudgetRule &rule);

  /// @brief Replaces the bounds on requests to cold leaves; takes effect for
  /// services whose rate is configured. O(leaves)
  void setColdBounds(const core::ColdBounds &bounds);

  /// @brief Starts or ends the evacuation of a failure domain: leaves there get
  /// no new requests meanwhile. Hosts there are not concerned. O(leaves)
  /// @param domain the domain, which may be unknown
  void setEvacuated(const std::string &domain, bool evacuated);

  /// @brief Number of evacuated domains that have a region or a leaf.
  /// O(leaves)
  std::size_t evacuatedDomainCount() const;

  /// @brief Number of leaves that get fewer requests since they are or may be
  /// cold. O(leaves)
  std::size_t coldLeafCount() const;

  /// @brief Replaces the limits on answers of leaves.
  void setAnswerLimits(const AnswerLimits &limits) {
    Memory->setLimits(limits);
  }

  /// @brief Returns the service of a name and creates it if needed; the
  /// reference stays valid.
  Service &service(const std::string &name);

  /// @brief Returns the service of a name; null if there is none yet.
  const Service *findService(const std::string &name) const;

  /// @brief Applies the services' limits of a configuration.
  void applyConfig(const core::ServingConfig &config);

  /// @brief Adds or updates a leaf; an entry of a new process replaces the leaf
  /// of the same identity.
  void putLeaf(const core::LeafEntry &entry);

  /// @brief Removes a leaf whose entry has been removed.
  void removeLeaf(const std::string &id);

  /// @brief Sends no new requests to a leaf in whose place another one answers.
  void onReplaced(Leaf &leaf);

  /// @brief A connection to a leaf broke while it carried a request.
  /// @return what is known of the leaf's process since; changes with time
  std::shared_ptr<const SuspectedLeaf> suspectEnding(Leaf &leaf);

  /// @brief Finds out whether a leaf's process has ended, if a request that
  /// this host has stopped to wait for may still run on it. The process of a
  /// leaf that is leaving isn't looked at.
  /// @param until for how long to look; once if it has passed
  void checkEnding(Leaf &leaf, core::TimePoint until = {});

  /// @brief Sends no new requests to a leaf that said that it is leaving. The
  /// knowledge outlives its entry and ends with the run of its process.
  void markLeaving(Leaf &leaf);

  /// @brief The same for a run of which another host said so.
  void markDeparted(const core::LeafRun &run);

  /// @brief Sets the handler of runs that this host found leaving.
  void onLeaving(std::function<void(const core::LeafRun &)> handler) {
    OnLeaving = std::move(handler);
  }

  /// @brief Whether the store's entry of a run shows it as ready, though it has
  /// left.
  bool listedAsReady(const core::LeafRun &run) const;

  /// @brief Sends a leaf no requests for a time that it asked for.
  void pauseLeaf(Leaf &leaf, core::Duration wait);

  /// @brief Applies the rate limit that an answer of a leaf names.
  /// @param perSecond requests a second from all hosts; nothing if the answer
  /// names none
  void applyRateLimit(Leaf &leaf, std::optional<double> perSecond);

  /// @brief Sets the handler of runs whose limit an answer to this host
  /// changed.
  void onRateLimit(std::function<void(const core::LeafRun &)> handler) {
    OnRateLimit = std::move(handler);
  }

  /// @brief Applies the rate limit that another host publishes for a leaf,
  /// unless an answer to this host is newer.
  /// @param perSecond the limit; nothing if it isn't published any more
  void applyPublishedRateLimit(const core::LeafRun &run,
                               std::optional<double> perSecond);

  /// @brief The limit that the last answer of a leaf to this host named;
  /// nothing if it named none or there was no answer.
  std::optional<double> observedRateLimit(const core::LeafRun &run) const;

  /// @brief Evidence on this host's links to all leaves.
  core::LeafLink &link() { return Link; }
  const core::LeafLink &link() const { return Link; }

  /// @brief Addresses of distinct leaves, chosen at random among those that
  /// accept requests. O(leaves)
  /// @param count most of them
  std::vector<boost::asio::ip::tcp::endpoint>
  sampleAddresses(std::size_t count);

  /// @brief Number of leaves with a rate limit. O(leaves)
  std::size_t limitedLeafCount() const;

  /// @brief Takes this host's reports on all leaves that it has sent requests
  /// to since the last call. O(leaves).
  std::vector<std::pair<std::string, core::LeafReport>>
  takeReports(core::TimePoint now);

  /// @brief Records the merged reports of hosts on a leaf, if it has an entry.
  /// @param id the leaf
  /// @param report the merged report
  /// @param at time of its newest sample
  void applyReport(const std::string &id, const core::LeafReport &report,
                   core::TimePoint at);

  /// @brief Whether a leaf has an entry and isn't leaving, evacuated or not.
  bool acceptsRequests(const std::string &id) const;

  /// @brief The run of a leaf's process that has an entry, if any.
  std::optional<core::LeafRun> runOf(const std::string &id) const;

  /// @brief Identities of all leaves with an entry.
  std::vector<std::string> leafIds() const;

  /// @brief Replaces the list of other hosts. They are held like leaves, as one
  /// service for each failure domain.
  /// @param hosts the hosts
  /// @param withoutLeaves ids of those that reach no leaf
  /// @param withoutHomes ids of those that don't keep requests in their homes;
  /// they get none with such a restriction
  void setPeers(const std::vector<core::LeafEntry> &hosts,
                const std::set<std::string> &withoutLeaves,
                const std::set<std::string> &withoutHomes = {});

  /// @brief The service that holds the other hosts of a failure domain.
  Service &peersOf(const std::string &failureDomain);

  /// @brief The hosts of one failure domain, of which at least one can be sent
  /// requests, see @ref core::chooseForwardDomain.
  /// @param homes regions in which the request may be served
  /// @param tried domains to use only if there is no other
  /// @return null if no host can. O(hosts)
  Service *reachablePeers(const core::HomeRegions &homes = {},
                          const std::vector<const Service *> &tried = {});

  /// @brief Closes the connections to leaves that carry no request.
  void closeIdleConnections();

  /// @brief For each shard, the failure domains of this host's region with a
  /// leaf of it that accepts requests. O(leaves of the shards).
  core::ShardDomains
  nearbyDomains(const std::vector<std::string> &shards) const;

  /// @brief Number that grows with each change of the leaves.
  std::uint64_t generation() const { return Generation; }

  /// @brief Region of a failure domain; empty if unknown.
  std::string regionOf(const std::string &failureDomain) const;

  /// @brief This host's failure domain.
  const std::string &failureDomain() const { return Location.FailureDomain; }

  /// @brief Sets the numbers of hosts that share the leaves' connections and
  /// the retry budgets.
  /// @param hostsByDomain number of hosts in each failure domain
  void setHostCounts(std::map<std::string, std::size_t> hostsByDomain);

  /// @brief Sets whether requests are admitted by the load of the leaves.
  void setAdmitsByLoad(bool admits) { AdmitsByLoad = admits; }
  bool admitsByLoad() const { return AdmitsByLoad; }

  /// @brief Returns a uniform random number in [0, 1).
  double draw();

  /// @brief Source of random numbers.
  std::minstd_rand &random() { return Random; }

private:
  struct KeptDemands {
    LeafDemands Demands;
    core::TimePoint RemovedAt;
  };

  void keepDemands(const Leaf &leaf);
  void logRateLimit(const Leaf &leaf, const char *foundBy);
  std::vector<std::string> idsWithPrefix(const std::string &prefix) const;
  core::LeafDistance distanceTo(const std::string &failureDomain) const;
  void updateShares();
  /// This host's part of what a leaf takes from all hosts.
  double hostShare(const Leaf &leaf) const;
  void setShares(const Service &service, Leaf &leaf) const;
  void setBudgetShare(Service &service) const;
  void setColdRule(Service &service, const core::ServiceRule &rule) const;
  /// Applies the region and the evacuation of the leaf's failure domain.
  void applyDomain(Leaf &leaf) const;
  bool isKnownDomain(const std::string &domain) const;
  /// Whether the list of hosts holds all hosts that started with this one.
  bool knowsHosts() const;

  boost::asio::io_context &Io;
  boost::asio::steady_timer JointStartTimer;
  HostLocation Location;
  core::RetryBudgetRule BudgetRule;
  std::map<std::string, std::unique_ptr<Service>> Services;
  std::map<std::string, std::shared_ptr<Leaf>> ById;
  core::DepartedLeaves Departed;
  core::Evacuations Evacuated;
  core::ColdBounds Bounds;
  std::vector<core::ServiceRule> ServiceRules;
  /// What runs without an entry have asked; an entry may only have lapsed.
  std::map<core::LeafRun, KeptDemands> DemandsByRun;
  /// For lines on what leaves ask in their answers.
  support::LogRateLimiter DemandLog;
  core::LeafLink Link;
  LeafEndings Endings;
  std::shared_ptr<AnswerMemory> Memory =
      std::make_shared<AnswerMemory>(AnswerLimits{});
  std::function<void(const core::LeafRun &)> OnLeaving;
  std::function<void(const core::LeafRun &)> OnRateLimit;
  /// Limits that other hosts publish, also of leaves without an entry yet.
  RateLimits PublishedLimits;
  std::map<std::string, std::size_t> HostsByDomain;
  std::size_t HostCount;
  std::size_t OwnDomainHostCount;
  const core::TimePoint StartTime;
  std::uint64_t Generation = 0;
  bool AdmitsByLoad = false;
  std::minstd_rand Random;
};

} // namespace savorytrestle::leaf

#endif
