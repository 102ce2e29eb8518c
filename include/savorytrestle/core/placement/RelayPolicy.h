#ifndef SAVORYTRESTLE_CORE_PLACEMENT_RELAY_POLICY_H
#define SAVORYTRESTLE_CORE_PLACEMENT_RELAY_POLICY_H

/// @file
/// @brief Which shards of a request are queried through a host of another
/// failure domain. For shards without a leaf in this host's domain, one merged
/// answer then crosses domains instead of one answer per shard.

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "savorytrestle/core/balance/LeafScore.h"

namespace savorytrestle::core {

/// @brief For each shard, the failure domains of this host's region that have a
/// leaf with it.
using ShardDomains = std::vector<std::set<std::string>>;

/// @brief Indices of the shards queried through a host of each failure domain.
using RelayPlan = std::map<std::string, std::vector<std::size_t>>;

/// @brief Plans the relays of a route.
/// @param own this host's failure domain
/// @param shards failure domains with leaves of each shard
/// @return the relays; this host queries all other shards itself
RelayPlan planRelays(const std::string &own, const ShardDomains &shards);

/// @brief A failure domain whose hosts may take forwards.
struct ForwardDomain {
  LeafDistance Distance = LeafDistance::Remote;
  /// Hosts that can be sent requests.
  std::size_t Available = 0;
  /// Hosts that reach no leaf.
  std::size_t WithoutLeaves = 0;
  /// Whether the request was sent there before.
  bool Tried = false;
};

/// @brief Selects the failure domain to whose hosts a request is forwarded: the
/// nearest ones that have a host to take requests for every few hosts that
/// forward them, so that a few hosts don't get the load of many.
/// @param domains the domains; this host counts as one without leaves
/// @param draw uniform random number in [0, 1)
/// @return index of the domain; nothing if no host is available. O(domains)
std::optional<std::size_t>
chooseForwardDomain(const std::vector<ForwardDomain> &domains, double draw);

} // namespace savorytrestle::core

#endif
