#ifndef SAVORYTRESTLE_CORE_RELAY_POLICY_H
#define SAVORYTRESTLE_CORE_RELAY_POLICY_H

/// @file
/// @brief Which shards of a request are asked through a host of another failure
/// domain. Answers shards without a leaf in this host's domain: one merged
/// answer crosses in place of a part from each.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorytrestle::core {

/// @brief For each shard, the failure domains of this host's region that have
/// a leaf of it.
using ShardDomains = std::vector<std::set<std::string>>;

/// @brief Indices of the shards asked through hosts of each domain.
using RelayPlan = std::map<std::string, std::vector<std::size_t>>;

/// @brief Plans the relays of a route.
/// @param own this host's failure domain
/// @param shards where leaves of each shard are near
/// @return the relays; shards in none of them are asked by this host itself
RelayPlan planRelays(const std::string &own, const ShardDomains &shards);

} // namespace savorytrestle::core

#endif
