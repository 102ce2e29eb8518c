#include "savorytrestle/core/HedgeDelays.h"

#include <algorithm>
#include <chrono>

namespace savorytrestle::core {

namespace {

/// Least excess told to its tracker, which works on logarithms.
constexpr Duration MinExcess = std::chrono::microseconds(100);

} // namespace

void HedgeDelays::record(LeafIndex leaf, Duration latency) {
  if (leaf >= Medians.size())
    Medians.resize(leaf + 1, LatencyTracker(0.5));
  Overall.record(latency);
  if (const auto usual = median(leaf))
    Excess.record(std::max(latency - *usual, MinExcess));
  Medians[leaf].record(latency);
}

void HedgeDelays::recordCancelled(LeafIndex leaf, Duration elapsed) {
  Overall.recordCancelled(elapsed);
  // The leaf's median isn't told: one that has become slow must not be given
  // more and more time.
  if (const auto usual = median(leaf))
    Excess.recordCancelled(std::max(elapsed - *usual, MinExcess));
}

std::optional<Duration> HedgeDelays::delay(LeafIndex leaf) const {
  const auto overall = Overall.estimate();
  const auto usual = median(leaf);
  const auto excess = Excess.estimate();
  if (!overall || !usual || !excess)
    return overall;
  return std::min(*usual + *excess, *overall);
}

std::optional<Duration> HedgeDelays::median(LeafIndex leaf) const {
  return leaf < Medians.size() ? Medians[leaf].estimate() : std::nullopt;
}

} // namespace savorytrestle::core
