#include "savorytrestle/core/LeafSilence.h"
#include "savorytrestle/core/admission/RefusalPolicy.h"

#include <random>
#include <vector>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin = TimePoint{} + 1h;

TEST(RetryAfter, SecondsMayBeFractions) {
  EXPECT_EQ(parseRetryAfter("2"), Duration(2s));
  EXPECT_EQ(parseRetryAfter("0.25"), Duration(250ms));
  EXPECT_EQ(parseRetryAfter(" 1.5\t"), Duration(1500ms));
  EXPECT_EQ(parseRetryAfter("0"), Duration(0s));
}

TEST(RetryAfter, OtherTextsAreIgnored) {
  for (const char *text :
       {"", " ", "-1", "-0.0", "soon", "1s", "nan", "inf", "-inf", "1 2",
        "0x10", "Fri, 04 Dec 2026 09:00:00 GMT", "-1e999"})
    EXPECT_FALSE(parseRetryAfter(text)) << text;
}

TEST(RetryAfter, LongTimesAreBounded) {
  for (const char *text : {"86400", "1e300", "1e999"})
    EXPECT_EQ(parseRetryAfter(text), Duration(10min)) << text;
}

TEST(LeafSilence, ALeafWithoutOneTakesRequests) {
  LeafSilence silence;
  EXPECT_TRUE(silence.allowsRequest(Begin));
  EXPECT_FALSE(silence.onSend());
  EXPECT_TRUE(silence.allowsRequest(Begin));
}

TEST(LeafSilence, NothingIsSentUntilItsEnd) {
  LeafSilence silence;
  silence.onRetryAfter(Begin, 2s, 0);
  EXPECT_FALSE(silence.allowsRequest(Begin));
  EXPECT_FALSE(silence.allowsRequest(Begin + 2s - 1ms));
  EXPECT_TRUE(silence.allowsRequest(Begin + 2s));
}

TEST(LeafSilence, OneRequestGoesFirstAndTheOthersAfterItsAnswer) {
  LeafSilence silence;
  silence.onRetryAfter(Begin, 1s, 0);
  EXPECT_TRUE(silence.onSend());
  EXPECT_FALSE(silence.allowsRequest(Begin + 3s));
  silence.onTestAnswered();
  EXPECT_TRUE(silence.allowsRequest(Begin + 3s));
  EXPECT_FALSE(silence.onSend());
}

TEST(LeafSilence, ATestWithoutAnswerLetsAnotherOneThrough) {
  LeafSilence silence;
  silence.onRetryAfter(Begin, 1s, 0);
  EXPECT_TRUE(silence.onSend());
  silence.onTestLost();
  EXPECT_TRUE(silence.allowsRequest(Begin + 2s));
  EXPECT_TRUE(silence.onSend());
}

TEST(LeafSilence, AShorterOneDoesNotEndALongerOne) {
  LeafSilence silence;
  silence.onRetryAfter(Begin, 5s, 0);
  silence.onRetryAfter(Begin + 1s, 100ms, 0);
  EXPECT_FALSE(silence.allowsRequest(Begin + 4s));
}

/// Load: 200 hosts that a leaf turned away in the same moment. None may come
/// before the end, and they must not all come at it.
TEST(LeafSilence, HostsReturnSpreadOut) {
  std::minstd_rand random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<TimePoint> returns;
  for (int i = 0; i < 200; ++i) {
    LeafSilence silence;
    silence.onRetryAfter(Begin, 2s, draw(random));
    ASSERT_FALSE(silence.allowsRequest(Begin + 2s - 1ms));
    ASSERT_TRUE(silence.allowsRequest(Begin + 4s));
    returns.push_back(silence.end());
  }
  for (Duration from = 2s; from < 2500ms; from += 50ms)
    EXPECT_LT(std::count_if(returns.begin(), returns.end(),
                            [&](TimePoint at) {
                              return at >= Begin + from &&
                                     at < Begin + from + 50ms;
                            }),
              50);
}

RouteRule route() {
  RouteRule rule;
  rule.Objective = 400ms;
  return rule;
}

TEST(RefusalPolicy, StatesWhenCapacityIsExpected) {
  EXPECT_EQ(retryAfter(route(), Begin, Begin + 800ms, Begin + 6s, 0), 800ms);
  EXPECT_EQ(retryAfter(route(), Begin, Begin + 800ms, Begin + 6s, 0.5), 900ms);
}

TEST(RefusalPolicy, StatesPartOfTheObjectiveIfNothingIsKnown) {
  EXPECT_EQ(retryAfter(route(), Begin, TimePoint::max(), Begin + 6s, 0.5),
            120ms);
}

TEST(RefusalPolicy, StatesAtMostAThirdOfTheTimeLeft) {
  EXPECT_EQ(retryAfter(route(), Begin, Begin + 10s, Begin + 1500ms, 0.5),
            500ms);
  EXPECT_EQ(retryAfter(route(), Begin, TimePoint::max(), Begin + 90ms, 0),
            30ms);
  EXPECT_EQ(retryAfter(route(), Begin, TimePoint::max(), Begin - 1s, 0), 0ms);
}

TEST(RefusalPolicy, ASearchCanReturnWhenEnoughShardsAreAvailable) {
  const std::vector<TimePoint> shards = {Begin + 3s, Begin, TimePoint::max(),
                                         Begin + 1s};
  EXPECT_EQ(enoughAvailableAt(shards, 1), Begin);
  EXPECT_EQ(enoughAvailableAt(shards, 3), Begin + 3s);
  EXPECT_EQ(enoughAvailableAt(shards, 4), TimePoint::max());
  EXPECT_EQ(enoughAvailableAt(shards, 5), TimePoint::max());
}

} // namespace
