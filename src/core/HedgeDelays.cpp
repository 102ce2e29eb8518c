#include "savorytrestle/core/HedgeDelays.h"

#include <algorithm>
#include <chrono>

namespace savorytrestle::core {

namespace {

/// Smallest excess that is recorded: the tracker takes its logarithm.
constexpr Duration MinExcess = std::chrono::microseconds(100);

} // namespace

void HedgeDelays::record(LeafIndex leaf, Duration latency) {
  if (leaf >= LeafMedians.size())
    LeafMedians.resize(leaf + 1, LatencyTracker(0.5));
  OverallQuantile.record(latency);
  if (const auto median = leafMedian(leaf))
    ExcessQuantile.record(std::max(latency - *median, MinExcess));
  LeafMedians[leaf].record(latency);
}

void HedgeDelays::recordCancelled(LeafIndex leaf, Duration elapsed) {
  OverallQuantile.recordCancelled(elapsed);
  // Not recorded in the leaf's median: a leaf that becomes slow would get an
  // ever longer hedge delay.
  if (const auto median = leafMedian(leaf))
    ExcessQuantile.recordCancelled(std::max(elapsed - *median, MinExcess));
}

std::optional<Duration> HedgeDelays::delay(LeafIndex leaf) const {
  const auto overall = OverallQuantile.estimate();
  const auto median = leafMedian(leaf);
  const auto excess = ExcessQuantile.estimate();
  if (!overall || !median || !excess)
    return overall;
  return std::min(*median + *excess, *overall);
}

std::optional<Duration> HedgeDelays::leafMedian(LeafIndex leaf) const {
  return leaf < LeafMedians.size() ? LeafMedians[leaf].estimate()
                                   : std::nullopt;
}

} // namespace savorytrestle::core
