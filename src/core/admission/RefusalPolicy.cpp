#include "savorytrestle/core/admission/RefusalPolicy.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Wait as a fraction of the route's objective if nothing is known about the
/// services.
constexpr double ObjectiveFraction = 0.3;
/// Range over which callers spread their return, as a share of the wait.
constexpr double ReturnSpreadShare = 0.25;
/// Callers honour a wait up to this part of the time that they have left.
constexpr int MaxWaitDivisor = 3;

} // namespace

TimePoint enoughAvailableAt(std::vector<TimePoint> availability,
                            std::size_t needed) {
  if (needed == 0 || needed > availability.size())
    return TimePoint::max();
  const auto it = availability.begin() + static_cast<long>(needed - 1);
  std::nth_element(availability.begin(), it, availability.end());
  return *it;
}

milliseconds retryAfter(const RouteRule &route, TimePoint now,
                        TimePoint availableAt, TimePoint deadline,
                        double draw) {
  Duration wait =
      std::chrono::duration_cast<Duration>(route.Objective * ObjectiveFraction);
  if (availableAt != TimePoint::max() && availableAt > now)
    wait = std::chrono::duration_cast<Duration>((availableAt - now) *
                                                (1 + ReturnSpreadShare * draw));
  const auto longest = std::max(deadline - now, Duration::zero());
  return std::chrono::floor<milliseconds>(
      std::min(wait, longest / MaxWaitDivisor));
}

} // namespace savorytrestle::core
