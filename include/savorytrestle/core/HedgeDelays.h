#ifndef SAVORYTRESTLE_CORE_HEDGE_DELAYS_H
#define SAVORYTRESTLE_CORE_HEDGE_DELAYS_H

/// @file
/// @brief Time after which an unanswered attempt on a leaf is hedged.

#include <optional>
#include <vector>

#include "savorytrestle/core/LatencyTracker.h"
#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief Computes hedge delays: a leaf's median latency plus a service-wide
/// quantile of the latency in excess of that median.
///
/// A near leaf is therefore hedged earlier than a far one. The delay is capped
/// by a high quantile over all leaves, so that a slow leaf is hedged in time.
class HedgeDelays {
public:
  /// With 4% of the attempts hedged, a budget of 5% extra load leaves 1% for
  /// retries.
  static constexpr double DefaultQuantile = 0.96;

  /// @brief Creates the estimators.
  /// @param quantile fraction of attempts that end before their hedge delay
  explicit HedgeDelays(double quantile = DefaultQuantile)
      : ExcessQuantile(quantile),
        OverallQuantile(quantile + (1 - quantile) / 2) {}

  /// @brief Records the latency of an answered attempt. O(1) amortised.
  /// @param leaf the leaf
  /// @param latency from dispatch to reply
  void record(LeafIndex leaf, Duration latency);

  /// @brief Records an attempt that was cancelled before its reply. O(1).
  /// @param leaf the leaf
  /// @param elapsed from dispatch to cancellation
  void recordCancelled(LeafIndex leaf, Duration elapsed);

  /// @brief Hedge delay of attempts on a leaf.
  /// @param leaf the leaf
  /// @return the delay, the service-wide one while this leaf has too few
  /// samples, or nothing while the service has too few; O(1)
  std::optional<Duration> delay(LeafIndex leaf) const;

private:
  std::optional<Duration> leafMedian(LeafIndex leaf) const;

  std::vector<LatencyTracker> LeafMedians;
  LatencyTracker ExcessQuantile;
  LatencyTracker OverallQuantile;
};

} // namespace savorytrestle::core

#endif
