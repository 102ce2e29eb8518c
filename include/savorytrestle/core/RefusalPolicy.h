#ifndef SAVORYTRESTLE_CORE_REFUSAL_POLICY_H
#define SAVORYTRESTLE_CORE_REFUSAL_POLICY_H

/// @file
/// @brief Time after which a caller that was refused may retry, for services
/// whose leaves are all down or full.

#include <chrono>

#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::core {

/// @brief Wait that a refusal states: long enough for leaves to be probed
/// again, short enough that the request can still meet its objective.
/// @param route the request's route
std::chrono::milliseconds retryAfter(const RouteRule &route);

} // namespace savorytrestle::core

#endif
