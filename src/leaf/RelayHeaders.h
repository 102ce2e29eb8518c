#ifndef SAVORYTRESTLE_LEAF_RELAY_HEADERS_H
#define SAVORYTRESTLE_LEAF_RELAY_HEADERS_H

/// @file
/// @brief Headers of requests that one host sends to another for its callers.

namespace savorytrestle::leaf {

/// @brief Marks a relay; the value is the relaying host's configuration
/// version. Both hosts must use the same version, or a caller could see an
/// older one after a newer one.
inline constexpr const char *RelayVersionHeader = "Relay-Config-Version";

/// @brief Indices of the route's shards that the relay covers, separated by
/// commas.
inline constexpr const char *RelayShardsHeader = "Relay-Shards";

/// @brief Reason for which a host takes no relays for now, in a refusal.
inline constexpr const char *RelayRefusedHeader = "Relay-Refused";

/// @brief Most leaves of a service that may still get the request: those that
/// the relaying host has sent it to count as well.
inline constexpr const char *RelayMaxLeavesHeader = "Relay-Max-Leaves";

/// @brief Marks an answer to a relay as that of a leaf, whatever its status.
inline constexpr const char *RelayLeafAnswerHeader = "Relay-Leaf-Answer";

/// @brief Index of the part of a split route that the request was assigned to.
inline constexpr const char *RelayPartHeader = "Relay-Part";

/// @brief Name of the caller's workspace, which the relaying host has found by
/// the caller's key.
inline constexpr const char *RelayWorkspaceHeader = "Relay-Workspace";

} // namespace savorytrestle::leaf

#endif
