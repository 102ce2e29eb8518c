#ifndef SAVORYTRESTLE_LEAF_LEAF_ROOM_H
#define SAVORYTRESTLE_LEAF_LEAF_ROOM_H

/// @file
/// @brief Room of services for requests, from what this host knows about the
/// load of their leaves.

#include <vector>

#include "leaf/Service.h"
#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/admission/LeafRoom.h"
#include "savorytrestle/core/placement/HomeRegions.h"

namespace savorytrestle::leaf {

/// @brief Room of a service at the leaves that accept requests now.
/// @param homes regions in which the request may be served. O(leaves)
core::Room roomAt(const Service &service, core::TimePoint now,
                  const core::HomeRegions &homes = {});

/// @brief Room for a request.
/// @param route its route
/// @param services its service, or those of its shards
/// @param homes see @ref roomAt. O(leaves of the services)
core::Room roomFor(const core::RouteRule &route,
                   const std::vector<Service *> &services, core::TimePoint now,
                   const core::HomeRegions &homes = {});

} // namespace savorytrestle::leaf

#endif
