#ifndef SAVORYTRESTLE_CORE_RELAY_POLICY_H
#define SAVORYTRESTLE_CORE_RELAY_POLICY_H

/// @file
/// @brief Which shards of a request are queried through a host of another
/// failure domain. For shards without a leaf in this host's domain, one merged
/// answer then crosses domains instead of one answer per shard.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

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

} // namespace savorytrestle::core

#endif
