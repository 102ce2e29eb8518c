#ifndef SAVORYTRESTLE_ENTRY_RELAY_REQUEST_H
#define SAVORYTRESTLE_ENTRY_RELAY_REQUEST_H

/// @file
/// @brief Requests that one host sends to another for a caller, and the headers
/// that state what part of a request it is.

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "entry/CallerSession.h"
#include "leaf/ServiceCall.h"
#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::entry {

/// @brief Whether a request claims to come from another host.
bool isRelay(const CallerRequest &request);

/// @brief Removes the headers that only hosts may send.
void removeRelayHeaders(CallerRequest &request);

/// @brief Copies a route with the bounds that a relay names.
/// @return null if it names none
std::shared_ptr<const core::RouteRule>
routeForRelay(const core::RouteRule &route, const CallerRequest &request);

/// @brief Makes the relay of a request.
/// @param direct the request as this host would send it to leaves
/// @param shards indices of the shards that it covers; empty for a plain route
/// @param maxLeaves leaves of each service that it may be sent to
/// @param part index of the part of a split route that it was assigned to
std::shared_ptr<const leaf::CallContext>
makeRelayContext(const leaf::CallContext &direct,
                 const std::vector<std::size_t> &shards, int maxLeaves,
                 std::optional<std::size_t> part = {});

} // namespace savorytrestle::entry

#endif
