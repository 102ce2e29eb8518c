#ifndef SAVORYTRESTLE_CORE_LATENCY_TRACKER_H
#define SAVORYTRESTLE_CORE_LATENCY_TRACKER_H

/// @file
/// @brief Running estimate of one latency quantile.

#include <cstdint>
#include <optional>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Estimates one quantile of a service's attempt latencies by stochastic
/// approximation: a few words of state that follow shifts by themselves.
class LatencyTracker {
public:
  /// Samples before the estimate is offered.
  static constexpr std::uint32_t MinSamples = 50;

  /// @brief Makes a tracker.
  /// @param quantile the quantile to follow, between 0 and 1
  explicit LatencyTracker(double quantile);

  /// @brief Takes the latency of an answered attempt. O(1).
  /// @param latency from dispatch to reply
  void record(Duration latency);

  /// @brief Takes an attempt that was cancelled before its reply. O(1).
  ///
  /// It counts only when it had already outlasted the estimate; below that,
  /// nothing is known about it.
  /// @param elapsed from dispatch to cancellation
  void recordCancelled(Duration elapsed);

  /// @brief The estimate.
  /// @return nothing before @ref MinSamples
  std::optional<Duration> estimate() const;

private:
  double Quantile;
  double LogEstimate = 0;
  std::uint32_t Samples = 0;
};

} // namespace savorytrestle::core

#endif
