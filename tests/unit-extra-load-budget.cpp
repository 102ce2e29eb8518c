#include "savorytrestle/core/ExtraLoadBudget.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;

namespace {

int takeAll(ExtraLoadBudget &budget) {
  int n = 0;
  while (budget.trySpend(1))
    ++n;
  return n;
}

TEST(ExtraLoadBudget, StaysWithinTheFractionOfFirstAttempts) {
  ExtraLoadBudget budget(0.05);
  int extra = 0;
  for (int n = 0; n < 10000; ++n) {
    budget.onFirstAttempt();
    extra += takeAll(budget);
  }
  EXPECT_LE(extra, 500);
  EXPECT_GE(extra, 499);
}

TEST(ExtraLoadBudget, SavesAtMostItsBurst) {
  ExtraLoadBudget budget(0.05, 10);
  for (int n = 0; n < 10000; ++n)
    budget.onFirstAttempt();
  EXPECT_EQ(takeAll(budget), 10);
}

TEST(ExtraLoadBudget, FallsToZeroWhileLeavesShed) {
  ExtraLoadBudget budget(0.05, 64);
  for (int n = 0; n < 10000; ++n)
    budget.onFirstAttempt();
  int extra = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.onFirstAttempt();
    if (n % 10 == 0)
      budget.onShed();
    if (n >= 100)
      extra += takeAll(budget);
  }
  EXPECT_EQ(extra, 0);
}

TEST(ExtraLoadBudget, RefusesARestartThatExceedsItsTokens) {
  ExtraLoadBudget budget(0.5, 64);
  for (int n = 0; n < 10; ++n)
    budget.onFirstAttempt();
  EXPECT_FALSE(budget.trySpend(10));
  EXPECT_TRUE(budget.trySpend(5));
}

TEST(ExtraLoadBudget, AFractionOfZeroAllowsNothing) {
  ExtraLoadBudget budget(0);
  budget.onFirstAttempt();
  EXPECT_FALSE(budget.trySpend(1));
}

} // namespace
