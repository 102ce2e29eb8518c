#ifndef SAVORYTRESTLE_CORE_FEED_POLICY_H
#define SAVORYTRESTLE_CORE_FEED_POLICY_H

/// @file
/// @brief Which hosts read changes from the platform's store themselves and
/// which get them from another host, so that the calls to the store do not grow
/// in proportion to the number of hosts. When a host calls which source:
/// FeedSchedule.h.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace savorytrestle::core {

/// @brief A host and its failure domain.
struct FeedHost {
  std::string Id;
  std::string FailureDomain;
};

/// @brief The sources from which a host gets changes.
struct FeedPlan {
  /// Hosts used in place of the store, in this order; empty for a host that
  /// reads the store.
  std::vector<std::string> PreferredSources;
  /// Hosts used, in this order, while neither those nor the store answer.
  std::vector<std::string> FallbackSources;
  /// Whether other hosts get changes from this one.
  bool ServesOthers = false;

  bool operator==(const FeedPlan &) const = default;
};

/// @brief Plans the sources of a host. Hosts with the same view of the fleet
/// get plans that are consistent with each other.
/// @param own this host
/// @param regions region of each failure domain
/// @param hosts all hosts, this one among them or not
/// @return the plan; O(n log n)
FeedPlan planFeed(const FeedHost &own,
                  const std::map<std::string, std::string> &regions,
                  const std::vector<FeedHost> &hosts);

/// @brief Selects the hosts that collect the reports on leaves of a failure
/// domain, the preferred one first: the first two by id.
/// @param own this host
/// @param hosts all hosts
/// @return their ids; none in a domain of few hosts, each of which sees the
/// leaves often enough. O(hosts log hosts)
std::vector<std::string> planCollectors(const FeedHost &own,
                                        const std::vector<FeedHost> &hosts);

} // namespace savorytrestle::core

#endif
