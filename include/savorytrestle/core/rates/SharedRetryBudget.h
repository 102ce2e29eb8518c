#ifndef SAVORYTRESTLE_CORE_RATES_SHARED_RETRY_BUDGET_H
#define SAVORYTRESTLE_CORE_RATES_SHARED_RETRY_BUDGET_H

/// @file
/// @brief One host's allowance of the extra requests that all hosts together
/// may send to a service.

#include <cstddef>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Limit on the extra requests that reach a service from all hosts in
/// any window.
struct RetryBudgetRule {
  /// Extra requests allowed for each request.
  double Ratio = 0.2;
  /// Extra requests allowed beyond the ratio in each window.
  double ExtraPerWindow = 0;
  /// Length of the window.
  Duration Window{};
};

/// @brief Number by which a service's allowance is divided to get that of a
/// host. Hosts near the service's leaves send it nearly all requests, their own
/// and those relayed for other hosts, and get most of the allowance.
/// @param isNear whether this host's failure domain has leaves of the service
/// @param near number of hosts in failure domains with leaves of the service
/// @param all number of all hosts
double effectiveHostCount(bool isNear, std::size_t near, std::size_t all);

/// @brief Token bucket of one service on one host.
///
/// The bucket holds at most this host's allowance and gains the ratio for each
/// request, so it spends at most ratio * requests + allowance in any window.
/// The allowances of all hosts add up to the rule without messages between
/// hosts.
class SharedRetryBudget {
public:
  /// @brief Creates a bucket with a single token, since an earlier process of
  /// this host may have spent the allowance within the same window.
  explicit SharedRetryBudget(RetryBudgetRule rule = {}) : Rule(rule) {}

  /// @brief Replaces the rule; saved tokens are cut to its limit.
  void setRule(const RetryBudgetRule &rule);

  /// @brief Sets the number of hosts that share the allowance.
  /// @param hosts their number, at least 1; see @ref effectiveHostCount
  void setHostCount(double hosts);

  /// @brief Fills the bucket, for a service to which no process of this host
  /// can have sent extra requests within a window.
  void fill();

  /// @brief Adds the ratio for a request of a caller. O(1).
  void onRequest();

  /// @brief Whether there is a token; O(1).
  bool canSpend(TimePoint now);

  /// @brief Spends a token if there is one; O(1).
  /// @param now the time
  /// @return true if one extra request may be sent
  bool trySpend(TimePoint now);

private:
  void refill(TimePoint now);

  RetryBudgetRule Rule;
  double HostCount = 1;
  double HostAllowance = 1;
  double Tokens = 1;
  TimePoint RefilledAt{};
};

} // namespace savorytrestle::core

#endif
