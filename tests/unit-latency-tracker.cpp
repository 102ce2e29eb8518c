#include "savorytrestle/core/LatencyTracker.h"

#include <random>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

Duration uniformLatency(std::mt19937_64 &rng, double scale) {
  // Computed from 53 bits of the generator, because the standard distributions
  // differ between platforms.
  const double unit = static_cast<double>(rng() >> 11) * 0x1p-53;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(scale * (1 + 9 * unit)));
}

double estimateMillis(const LatencyTracker &tracker) {
  return std::chrono::duration<double, std::milli>(tracker.estimate().value())
      .count();
}

TEST(LatencyTracker, HasNoEstimateBeforeMinSamples) {
  LatencyTracker tracker(0.95);
  for (std::uint32_t n = 1; n < LatencyTracker::MinSamples; ++n)
    tracker.record(1ms);
  EXPECT_FALSE(tracker.estimate().has_value());
  tracker.record(1ms);
  EXPECT_TRUE(tracker.estimate().has_value());
}

TEST(LatencyTracker, FollowsTheQuantileThroughAShift) {
  std::mt19937_64 rng(1);
  LatencyTracker tracker(0.95);
  for (int n = 0; n < 5000; ++n)
    tracker.record(uniformLatency(rng, 1));
  EXPECT_NEAR(estimateMillis(tracker), 9.55, 1.0);
  for (int n = 0; n < 5000; ++n)
    tracker.record(uniformLatency(rng, 5));
  EXPECT_NEAR(estimateMillis(tracker), 47.75, 5.0);
}

TEST(LatencyTracker, ACancelBelowTheEstimateIsIgnored) {
  LatencyTracker tracker(0.5);
  for (int n = 0; n < 100; ++n)
    tracker.record(10ms);
  const auto before = tracker.estimate();
  tracker.recordCancelled(1ms);
  EXPECT_EQ(tracker.estimate(), before);
  tracker.recordCancelled(100ms);
  EXPECT_GT(tracker.estimate(), before);
}

} // namespace
