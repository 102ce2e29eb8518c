#include "savorytrestle/core/LatencyTracker.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

constexpr LeafIndex Near = 0;
constexpr LeafIndex Far = 1;

/// A near leaf that takes 5 ms and a far one that takes 12 ms.
LatencyTracker learned() {
  LatencyTracker tracker;
  for (int n = 0; n < 2000; ++n) {
    tracker.record(Near, n % 10 == 0 ? 8ms : 5ms);
    tracker.record(Far, n % 10 == 0 ? 15ms : 12ms);
  }
  return tracker;
}

TEST(LatencyTracker, KnowsNothingAtFirst) {
  EXPECT_FALSE(LatencyTracker().hedgeDelay(Near).has_value());
}

TEST(LatencyTracker, ANearLeafIsHedgedEarlierThanAFarOne) {
  const auto tracker = learned();
  const auto gap =
      tracker.hedgeDelay(Far).value() - tracker.hedgeDelay(Near).value();
  EXPECT_GT(gap, 4ms);
  EXPECT_LT(gap, 8ms);
  EXPECT_GT(tracker.hedgeDelay(Near).value(), 6ms);
}

TEST(LatencyTracker, AnUnknownLeafGetsTheDelayOfAll) {
  const auto tracker = learned();
  EXPECT_GE(tracker.hedgeDelay(7).value(), tracker.hedgeDelay(Far).value());
}

TEST(LatencyTracker, ASlowLeafIsNotIndulged) {
  auto tracker = learned();
  const auto before = tracker.hedgeDelay(7).value();
  for (int n = 0; n < 60; ++n)
    tracker.record(2, 100ms);
  EXPECT_LT(tracker.hedgeDelay(2).value(), 2 * before + 20ms);
  EXPECT_LT(tracker.hedgeDelay(2).value(), 100ms);
}

TEST(LatencyTracker, CancelledAttemptsRaiseTheDelay) {
  auto tracker = learned();
  const auto before = tracker.hedgeDelay(Near).value();
  for (int n = 0; n < 20; ++n)
    tracker.recordAtLeast(Near, 50ms);
  EXPECT_GT(tracker.hedgeDelay(Near).value(), before);
}

} // namespace
