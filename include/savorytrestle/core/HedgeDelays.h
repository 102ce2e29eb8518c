#ifndef SAVORYTRESTLE_CORE_HEDGE_DELAYS_H
#define SAVORYTRESTLE_CORE_HEDGE_DELAYS_H

/// @file
/// @brief When an attempt on a leaf has taken long enough for a hedge.

#include <optional>
#include <vector>

#include "savorytrestle/core/LatencyTracker.h"
#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief Each leaf's median latency plus a service-wide quantile of what
/// attempts take beyond their leaf's median.
///
/// A near leaf is hedged earlier than a far one. No leaf gets more time than a
/// high quantile over all leaves, so that a slow one isn't indulged.
class HedgeDelays {
public:
  /// Leaves most of a 5% budget to hedges and some of it to retries.
  static constexpr double DefaultQuantile = 0.96;

  /// @brief Makes the trackers.
  /// @param quantile fraction of attempts that end before their delay
  explicit HedgeDelays(double quantile = DefaultQuantile)
      : ExcessQuantile(quantile),
        OverallQuantile(quantile + (1 - quantile) / 2) {}

  /// @brief Takes the latency of an answered attempt. O(1) amortised.
  /// @param leaf the leaf
  /// @param latency from dispatch to reply
  void record(LeafIndex leaf, Duration latency);

  /// @brief Takes an attempt that was cancelled before its reply. O(1).
  /// @param leaf the leaf
  /// @param elapsed from dispatch to cancellation
  void recordCancelled(LeafIndex leaf, Duration elapsed);

  /// @brief When to hedge an attempt on a leaf.
  /// @param leaf the leaf
  /// @return the delay, that of all leaves while too little is known of this
  /// one, or nothing; O(1)
  std::optional<Duration> delay(LeafIndex leaf) const;

private:
  std::optional<Duration> leafMedian(LeafIndex leaf) const;

  std::vector<LatencyTracker> LeafMedians;
  LatencyTracker ExcessQuantile;
  LatencyTracker OverallQuantile;
};

} // namespace savorytrestle::core

#endif
