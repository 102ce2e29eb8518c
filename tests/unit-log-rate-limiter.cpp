#include "support/LogRateLimiter.h"

#include <gtest/gtest.h>

using savorytrestle::support::LogRateLimiter;
using namespace std::chrono_literals;

namespace {

TEST(LogRateLimiter, LimitsLinesPerSecond) {
  LogRateLimiter limiter;
  auto now = std::chrono::steady_clock::time_point{} + 1h;
  for (int second = 0; second < 3; ++second) {
    std::uint32_t written = 0;
    for (int i = 0; i < 10000; ++i)
      written += limiter.allowLine(now + i * 99us) ? 1 : 0;
    EXPECT_EQ(written, LogRateLimiter::LinesPerSecond);
    now += 1s;
  }
}

TEST(LogRateLimiter, AllowsAllLinesBelowTheLimit) {
  LogRateLimiter limiter;
  auto now = std::chrono::steady_clock::time_point{} + 1h;
  for (int i = 0; i < 1000; ++i, now += 5ms)
    EXPECT_TRUE(limiter.allowLine(now));
}

} // namespace
