#ifndef SAVORYTRESTLE_CORE_SHARED_RETRY_BUDGET_H
#define SAVORYTRESTLE_CORE_SHARED_RETRY_BUDGET_H

/// @file
/// @brief One host's part of the extra load that all hosts together may put on
/// a service.

#include <cstddef>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Bound on extra arrivals at a service, over all hosts, in any window.
struct RetryBudgetRule {
  /// Extra arrivals for each request.
  double Ratio = 0.2;
  /// Extra arrivals allowed beyond the ratio in each window.
  double ExtraPerWindow = 0;
  /// Length of the window.
  Duration Window{};
};

/// @brief Among how many hosts a host's part of a service's allowance is to be
/// shared. Hosts near its leaves send it nearly all requests, directly and for
/// hosts further off, and get most of the allowance.
/// @param isNear whether this host's failure domain has leaves of the service
/// @param near hosts of failure domains with leaves of the service
/// @param all all hosts
double effectiveHostCount(bool isNear, std::size_t near, std::size_t all);

/// @brief Token bucket of one service on one host.
///
/// A bucket that holds at most this host's part of the allowance and earns the
/// ratio for each request can't exceed ratio * requests + part in any window,
/// so the parts of all hosts add up to the rule without a message between them.
class SharedRetryBudget {
public:
  /// @brief Makes a bucket that is empty but for one token, since an earlier
  /// process of this host may have spent the part within the same window.
  explicit SharedRetryBudget(RetryBudgetRule rule = {}) : Rule(rule) {}

  /// @brief Takes another rule; saved tokens stay within it.
  void setRule(const RetryBudgetRule &rule);

  /// @brief Takes the number of hosts that share the allowance.
  /// @param hosts how many, at least 1
  void setHostCount(double hosts);

  /// @brief Fills the bucket, for a service of which no process of this host
  /// can have spent anything within a window.
  void fill();

  /// @brief Earns the ratio for a request of a caller. O(1).
  void onRequest();

  /// @brief Spends a token if there is one; O(1).
  /// @param now the time
  /// @return true when one extra request may be sent
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
