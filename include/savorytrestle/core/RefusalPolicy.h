#ifndef SAVORYTRESTLE_CORE_REFUSAL_POLICY_H
#define SAVORYTRESTLE_CORE_REFUSAL_POLICY_H

/// @file
/// @brief When a refused caller is told to come back. Answers services whose
/// leaves are all down or full.

#include <chrono>

#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::core {

/// @brief Wait named in a refusal: long enough for leaves to be probed again,
/// short enough that the request can still be in time.
/// @param route the request's route
std::chrono::milliseconds retryAfter(const RouteRule &route);

} // namespace savorytrestle::core

#endif
