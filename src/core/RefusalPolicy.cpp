#include "savorytrestle/core/RefusalPolicy.h"

namespace savorytrestle::core {

namespace {

/// Fraction of the route's objective that a refused caller waits.
constexpr double ObjectiveFraction = 0.3;

} // namespace

std::chrono::milliseconds retryAfter(const RouteRule &route) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      route.Objective * ObjectiveFraction);
}

} // namespace savorytrestle::core
