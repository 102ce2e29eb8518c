#ifndef SAVORYTRESTLE_LEAF_LEAF_CHOICE_H
#define SAVORYTRESTLE_LEAF_LEAF_CHOICE_H

/// @file
/// @brief Chooses the leaf that a request is sent to.

#include <chrono>
#include <memory>
#include <random>
#include <vector>

#include "leaf/Service.h"
#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/placement/HomeRegions.h"

namespace savorytrestle::leaf {

/// @brief Whether a request can be sent to the leaf now, apart from its rate
/// limit.
bool acceptsNow(const Leaf &leaf, core::TimePoint now);

/// @brief Latency of a route's requests at an average leaf of a service before
/// any of them was answered.
core::Duration initialLatency(const core::RouteRule &route);

/// @brief Expected latency of a route's requests at an average leaf of a
/// service.
core::Duration expectedLatency(const Service &service,
                               const core::RouteRule &route);

/// @brief Cost of a request at a leaf, without the random factor of the choice.
core::Duration costOf(const Service &service, const Leaf &leaf,
                      core::Duration expected, core::TimePoint now);

/// @brief Chooses the leaf for a request: the one of least cost that accepts
/// requests, has a free connection and wasn't tried before.
/// @param service the request's service
/// @param expected expected latency of the request
/// @param tried leaves that the request was sent to before
/// @param draw uniform random number in [0, 1), for leaves with a rate limit
/// @param random spreads the choice over leaves of nearly the same cost
/// @param homes regions in which the request may be served
/// @return the leaf, or null if there is none; O(leaves of the service), in its
/// square while leaves are at their limit
std::shared_ptr<Leaf> chooseLeaf(const Service &service,
                                 core::Duration expected,
                                 std::vector<std::shared_ptr<Leaf>> tried,
                                 double draw, std::minstd_rand &random,
                                 const core::HomeRegions &homes = {});

/// @brief Whether a request can be sent to any leaf of the service now.
/// @param draw see @ref chooseLeaf
/// @param homes see @ref chooseLeaf
bool reachable(const Service &service, double draw,
               const core::HomeRegions &homes = {});

/// @brief Records that a request which needs a service was refused, since its
/// draw lost at all leaves of the service.
void recordDrawLost(const Service &service,
                    const core::HomeRegions &homes = {});

/// @brief When a request can be sent to a leaf of the service.
/// @return now, or the end of the first leaf's silence; TimePoint::max() if no
/// leaf has named a time. O(leaves of the service)
core::TimePoint availableAt(const Service &service, core::TimePoint now,
                            const core::HomeRegions &homes = {});

/// @brief Wait that the refusal of a request states.
/// @param route the request's route
/// @param services the services that it needs, or enough of them
/// @param deadline end of the caller's time
/// @param draw uniform random number in [0, 1), which spreads the callers
/// @param homes see @ref chooseLeaf
std::chrono::milliseconds retryAfter(
    const core::RouteRule &route, const std::vector<const Service *> &services,
    core::TimePoint deadline, double draw, const core::HomeRegions &homes = {});

} // namespace savorytrestle::leaf

#endif
