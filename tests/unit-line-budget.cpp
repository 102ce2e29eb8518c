#include "support/LineBudget.h"

#include <gtest/gtest.h>

using savorytrestle::support::LineBudget;
using namespace std::chrono_literals;

namespace {

TEST(LineBudget, AFloodIsBoundedInEachSecond) {
  LineBudget budget;
  auto now = std::chrono::steady_clock::time_point{} + 1h;
  for (int second = 0; second < 3; ++second) {
    std::uint32_t written = 0;
    for (int i = 0; i < 10000; ++i)
      written += budget.take(now + i * 99us) ? 1 : 0;
    EXPECT_EQ(written, LineBudget::LinesPerSecond);
    now += 1s;
  }
}

TEST(LineBudget, AFewLinesAreAllWritten) {
  LineBudget budget;
  auto now = std::chrono::steady_clock::time_point{} + 1h;
  for (int i = 0; i < 1000; ++i, now += 5ms)
    EXPECT_TRUE(budget.take(now));
}

} // namespace
