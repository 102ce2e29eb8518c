#include "savorytrestle/core/HedgeDelays.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

constexpr LeafIndex Near = 0;
constexpr LeafIndex Far = 1;

/// Delays after 2000 samples of a near leaf with a median of 5 ms and of a far
/// one with 12 ms.
HedgeDelays trainedDelays() {
  HedgeDelays hedges;
  for (int n = 0; n < 2000; ++n) {
    hedges.record(Near, n % 10 == 0 ? 8ms : 5ms);
    hedges.record(Far, n % 10 == 0 ? 15ms : 12ms);
  }
  return hedges;
}

TEST(HedgeDelays, HasNoDelayWithoutSamples) {
  EXPECT_FALSE(HedgeDelays().delay(Near).has_value());
}

TEST(HedgeDelays, ANearLeafIsHedgedEarlierThanAFarOne) {
  const auto hedges = trainedDelays();
  const auto gap = hedges.delay(Far).value() - hedges.delay(Near).value();
  EXPECT_GT(gap, 4ms);
  EXPECT_LT(gap, 8ms);
  EXPECT_GT(hedges.delay(Near).value(), 6ms);
}

TEST(HedgeDelays, ALeafWithoutSamplesGetsTheServiceWideDelay) {
  const auto hedges = trainedDelays();
  EXPECT_GE(hedges.delay(7).value(), hedges.delay(Far).value());
}

TEST(HedgeDelays, TheDelayOfASlowLeafIsCapped) {
  auto hedges = trainedDelays();
  const auto before = hedges.delay(7).value();
  for (int n = 0; n < 60; ++n)
    hedges.record(2, 100ms);
  EXPECT_LT(hedges.delay(2).value(), 2 * before + 20ms);
  EXPECT_LT(hedges.delay(2).value(), 100ms);
}

TEST(HedgeDelays, CancelledAttemptsRaiseTheDelay) {
  auto hedges = trainedDelays();
  const auto before = hedges.delay(Near).value();
  for (int n = 0; n < 20; ++n)
    hedges.recordCancelled(Near, 50ms);
  EXPECT_GT(hedges.delay(Near).value(), before);
}

} // namespace
