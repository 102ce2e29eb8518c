#ifndef SAVORYTRESTLE_CORE_ADMISSION_REFUSAL_POLICY_H
#define SAVORYTRESTLE_CORE_ADMISSION_REFUSAL_POLICY_H

/// @file
/// @brief Time after which a caller that was refused may retry, for services
/// whose leaves are all down, full or silent.

#include <chrono>
#include <cstddef>
#include <vector>

#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief When enough services can take requests.
/// @param availability for each service when it can; TimePoint::max() if
/// unknown
/// @param needed how many of them the request needs
/// @return the time; TimePoint::max() if unknown. O(services)
TimePoint enoughAvailableAt(std::vector<TimePoint> availability,
                            std::size_t needed);

/// @brief Wait that a refusal states: until capacity is expected, or, if that
/// is unknown, long enough for leaves to be probed again and short enough that
/// the request can still meet its objective. At most a third of the time that
/// the caller has left.
/// @param route the request's route
/// @param now current time
/// @param availableAt when capacity is expected; TimePoint::max() if unknown
/// @param deadline end of the caller's time
/// @param draw uniform random number in [0, 1); spreads the callers' return
std::chrono::milliseconds retryAfter(const RouteRule &route, TimePoint now,
                                     TimePoint availableAt, TimePoint deadline,
                                     double draw);

} // namespace savorytrestle::core

#endif
