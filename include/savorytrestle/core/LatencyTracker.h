#ifndef SAVORYTRESTLE_CORE_LATENCY_TRACKER_H
#define SAVORYTRESTLE_CORE_LATENCY_TRACKER_H

/// @file
/// @brief Running estimate of one latency quantile.

#include <cstdint>
#include <optional>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Estimates one quantile of a stream of latencies by stochastic
/// approximation, which needs constant memory and adapts when latencies change.
class LatencyTracker {
public:
  /// Number of samples from which on an estimate is available.
  static constexpr std::uint32_t MinSamples = 50;

  /// @brief Creates a tracker without samples.
  /// @param quantile the quantile to estimate, between 0 and 1
  explicit LatencyTracker(double quantile);

  /// @brief Records the latency of an answered attempt. O(1).
  /// @param latency from dispatch to reply
  void record(Duration latency);

  /// @brief Records an attempt that was cancelled before its reply. O(1).
  ///
  /// Ignored unless it had already taken longer than the estimate: otherwise
  /// its latency might have been on either side of it.
  /// @param elapsed from dispatch to cancellation
  void recordCancelled(Duration elapsed);

  /// @brief Current estimate of the quantile.
  /// @return the estimate, or nothing before @ref MinSamples samples
  std::optional<Duration> estimate() const;

private:
  double Quantile;
  double LogEstimate = 0;
  std::uint32_t Samples = 0;
};

} // namespace savorytrestle::core

#endif
