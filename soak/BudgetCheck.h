#ifndef SAVORYTRESTLE_SOAK_BUDGET_CHECK_H
#define SAVORYTRESTLE_SOAK_BUDGET_CHECK_H

/// @file
/// @brief Checks the bound on extra load from what leaves have seen.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "WriteLog.h"
#include "savorytrestle/core/SharedRetryBudget.h"
#include "standins/PlatformLeaf.h"

namespace savorytrestle::soak {

/// @brief In each window, arrivals beyond the first of each request stay within
/// the ratio of the requests that callers sent, and the extra.
/// @param service its name, for findings
/// @param arrivals at all its leaves
/// @param callerSends when callers sent requests on a route to it
/// @param rule the bound
/// @param violations takes what is wrong
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
    // Requests of the window, or of the one a half or a whole window before.
    std::ptrdiff_t requests = 0;
    for (const int halves : {0, 1, 2}) {
      const auto to = end - halves * rule.Window / 2;
      requests = std::max(requests, within(callerSends, to - rule.Window, to));
    }
    const auto n = static_cast<double>(within(extra, end - rule.Window, end));
    if (n > rule.Ratio * static_cast<double>(requests) + rule.ExtraPerWindow)
      return violations.add(service + " got " + std::to_string(n) +
                            " extra arrivals for " + std::to_string(requests) +
                            " requests");
  }
}

} // namespace savorytrestle::soak

#endif
