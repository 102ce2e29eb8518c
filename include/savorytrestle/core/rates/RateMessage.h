#ifndef SAVORYTRESTLE_CORE_RATES_RATE_MESSAGE_H
#define SAVORYTRESTLE_CORE_RATES_RATE_MESSAGE_H

/// @file
/// @brief What hosts send each other to keep the limits of workspaces together.

#include <chrono>
#include <string>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Limit of one workspace over all hosts together.
struct RateQuota {
  /// Requests a second.
  double Rate = 0;
  /// Requests that may be saved up.
  double Burst = 0;

  bool operator==(const RateQuota &) const = default;
};

/// @brief Bound that the limits of workspaces have to keep.
struct RateBound {
  std::chrono::milliseconds Window{5000};
  /// Part of the limit by which it may be exceeded.
  double Overage = 0;
  /// Requests in a window by which it may be exceeded in addition.
  double Slack = 0;
};

/// @brief Requests of one workspace at one host since its last report.
struct RateReport {
  std::string Workspace;
  /// Requests of callers, admitted or not.
  double Arrived = 0;
  double Admitted = 0;
};

/// @brief What a controller lets each host admit of one workspace.
struct RateVerdict {
  std::string Workspace;
  /// Probability with which a request is to be admitted, 0 to 1.
  double AdmitShare = 1;
  /// Time until the saved-up requests are no longer overdrawn.
  std::chrono::milliseconds Wait{0};
};

} // namespace savorytrestle::core

#endif
