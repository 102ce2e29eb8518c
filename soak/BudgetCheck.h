#ifndef SAVORYTRESTLE_SOAK_BUDGET_CHECK_H
#define SAVORYTRESTLE_SOAK_BUDGET_CHECK_H

/// @file
/// @brief Checks the bound on extra load against the arrivals at leaves.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "WriteLog.h"
#include "savorytrestle/core/rates/SharedRetryBudget.h"
#include "standins/PlatformLeaf.h"

namespace savorytrestle::soak {

/// @brief Checks that the extra arrivals in each window stay within
/// `rule.Ratio * requests + rule.ExtraPerWindow`. An arrival is extra if one
/// with the same request id came before it.
/// @param service name of the service, for the violation's text
/// @param arrivals arrivals at all leaves of the service
/// @param callerSends send times of the callers' requests on routes to the
/// service
/// @param rule the bound
/// @param violations receives the first violation
inline void checkRetryBudget(const std::string &service,
                             std::vector<tests::PlatformLeaf::Arrival> arrivals,
                             const std::vector<core::TimePoint> &callerSends,
                             const core::RetryBudgetRule &rule,
                             Violations &violations) {
  std::sort(arrivals.begin(), arrivals.end(),
            [](const auto &a, const auto &b) { return a.At < b.At; });
  std::set<std::string> seenIds;
  std::vector<core::TimePoint> extra;
  for (const auto &arrival : arrivals)
    if (!seenIds.insert(arrival.RequestId).second)
      extra.push_back(arrival.At);
  const auto within = [](const std::vector<core::TimePoint> &times,
                         core::TimePoint from, core::TimePoint to) {
    return std::count_if(times.begin(), times.end(),
                         [&](const auto &it) { return it > from && it <= to; });
  };
  for (const core::TimePoint end : extra) {
    // The most requests of this window and of those that end a half and a whole
    // window earlier.
    std::ptrdiff_t requests = 0;
    for (const int halves : {0, 1, 2}) {
      const auto to = end - halves * rule.Window / 2;
      requests = std::max(requests, within(callerSends, to - rule.Window, to));
    }
    const auto n = static_cast<double>(within(extra, end - rule.Window, end));
    if (n > rule.Ratio * static_cast<double>(requests) + rule.ExtraPerWindow)
      return violations.add(service + " received " + std::to_string(n) +
                            " extra arrivals for " + std::to_string(requests) +
                            " requests");
  }
}

} // namespace savorytrestle::soak

#endif
