#ifndef SAVORYTRESTLE_CORE_RELAY_POLICY_H
#define SAVORYTRESTLE_CORE_RELAY_POLICY_H

/// @file
/// @brief Whether a sharded request goes through a host of another failure
/// domain. Answers domains without leaves of their own: one merged answer
/// crosses in place of a part from every shard.

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace savorytrestle::core {

/// @brief Shards of a route with a leaf in a failure domain.
using ShardsByDomain = std::map<std::string, std::size_t>;

/// @brief Chooses the failure domain whose hosts should ask the shards.
/// @param own this host's failure domain
/// @param near shards with a leaf in each domain of this host's region
/// @param total shards of the route
/// @return the domain; nothing when this host should ask them itself
std::optional<std::string> relayDomain(const std::string &own,
                                       const ShardsByDomain &near,
                                       std::size_t total);

} // namespace savorytrestle::core

#endif
