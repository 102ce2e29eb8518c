// Many hosts with old reports have to load leaves evenly. Run with
// --gtest_filter='*EvenLoadTable*' --gtest_also_run_disabled_tests for the
// figures of all ways to choose.

#include "LeafLoadModel.h"

#include <cstdio>

#include <gtest/gtest.h>

using namespace model;
using namespace std::chrono_literals;

namespace {

Outcome mean(Choice how, const Scenario &setup) {
  constexpr unsigned Runs = 3;
  Outcome sum;
  for (unsigned seed = 1; seed <= Runs; ++seed) {
    const Outcome one = Simulation(how, setup, seed).run();
    sum.LargestOverMean += one.LargestOverMean / Runs;
    sum.IdleWhileQueued += one.IdleWhileQueued / Runs;
    sum.Swing += one.Swing / Runs;
    sum.MeanMs += one.MeanMs / Runs;
    sum.P99Ms += one.P99Ms / Runs;
  }
  return sum;
}

// Guards against a herd: hosts that take old reports for the present state
// overload the same leaves in turns, worse than random choice.
TEST(EvenLoad, ManyHostsWithOldReportsDoBetterThanRandomChoices) {
  const Scenario setup{.Hosts = 200, .Utilization = 0.7};
  const Outcome estimate = mean(Choice::Estimate, setup);
  const Outcome faceValue = mean(Choice::FaceValue, setup);
  const Outcome twoRandom = mean(Choice::TwoRandom, setup);
  EXPECT_LT(estimate.MeanMs, 0.7 * faceValue.MeanMs);
  EXPECT_LT(estimate.P99Ms, 0.7 * faceValue.P99Ms);
  EXPECT_LT(estimate.LargestOverMean, twoRandom.LargestOverMean);
  EXPECT_LT(estimate.MeanMs, twoRandom.MeanMs);
}

// Guards against a correction that costs callers latency where few hosts choose
// and reports are fresh.
TEST(EvenLoad, FewHostsWithFreshReportsKeepTheirLatency) {
  const Scenario setup{.Leaves = 3,
                       .Slots = 4,
                       .WorkMs = 20,
                       .Utilization = 0.3,
                       .Regions = true};
  const Outcome estimate = mean(Choice::Estimate, setup);
  const Outcome faceValue = mean(Choice::FaceValue, setup);
  EXPECT_LE(estimate.MeanMs, 1.02 * faceValue.MeanMs);
  EXPECT_LE(estimate.P99Ms, 1.05 * faceValue.P99Ms);
}

// Guards against a discount that forgets which leaves are slow all the time.
TEST(EvenLoad, ManyHostsStillAvoidSlowLeaves) {
  const Scenario setup{.Hosts = 200, .Utilization = 0.4, .SlowLeaves = 3};
  const Outcome estimate = mean(Choice::Estimate, setup);
  EXPECT_LT(estimate.P99Ms, 0.2 * mean(Choice::Random, setup).P99Ms);
  EXPECT_LT(estimate.MeanMs, mean(Choice::TwoRandom, setup).MeanMs);
}

TEST(LoadEstimate, AFourthOrMalformedFigureDoesNotLoseTheLoad) {
  const auto load = core::parseReportedLoad("3, 1,4,250");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->Running + 10 * load->Waiting + 100 * load->Slots, 413);
  EXPECT_DOUBLE_EQ(load->WorkTime.value(), 2.5);
  for (const char *text : {"3,1,4", "3,1,4,", "3,1,4,fast", "3,1,4,-5",
                           "3,1,4,0", "3,1,4,inf", "3,1,4,nan"}) {
    const auto other = core::parseReportedLoad(text);
    ASSERT_TRUE(other) << text;
    EXPECT_EQ(other->Slots, 4) << text;
    EXPECT_FALSE(other->WorkTime) << text;
  }
  for (const char *text :
       {"", "3,1", "3,,4", "3,-1,4", "a,1,4", "3,1,4x", "3,1,99999999999"})
    EXPECT_FALSE(core::parseReportedLoad(text)) << text;
}

// Guards against a machine that stays avoided, or preferred, long after its
// speed has changed again.
TEST(LoadEstimate, AReportedWorkTimeCountsForAFewHundredMilliseconds) {
  const core::TimePoint begin = core::TimePoint{} + 1h;
  core::LeafScore usual(core::LeafDistance::SameDomain, 4);
  core::LeafScore slow = usual;
  usual.onLoadReport(begin, {1, 0, 4, 1.0});
  slow.onLoadReport(begin, {1, 0, 4, 2.5});
  // The latency of slow work is explained by the work time.
  usual.onAnswer(begin, 20ms, 20ms);
  slow.onAnswer(begin, 50ms, 20ms);
  const auto excess = [&](core::Duration age) {
    return static_cast<double>(slow.cost(begin + age, 20ms).count()) /
           static_cast<double>(usual.cost(begin + age, 20ms).count());
  };
  EXPECT_GT(excess(20ms), 2.2);
  EXPECT_LT(excess(600ms), 1.3);
}

TEST(EvenLoad, DISABLED_EvenLoadTable) {
  constexpr const char *Names[] = {"estimate", "face value", "two random",
                                   "random", "perfect"};
  for (const Scenario &base :
       {Scenario{.Utilization = 0.2}, Scenario{.Utilization = 0.5},
        Scenario{.Utilization = 0.7},
        Scenario{.Utilization = 0.4, .SlowLeaves = 3},
        Scenario{.Leaves = 3,
        .Slots = 4,
        .WorkMs = 20,
        .Utilization = 0.2,
        .Regions = true},
        Scenario{.Leaves = 3,
        .Slots = 4,
        .WorkMs = 20,
        .Utilization = 0.6,
        .Regions = true}})
    for (const int hosts : {7, 60, 200})
      for (int how = 0; how < 5; ++how) {
        Scenario setup = base;
        setup.Hosts = hosts;
        const Outcome o = mean(static_cast<Choice>(how), setup);
        std::printf("%3d hosts %2d leaves %d slow %.1f %-10s largest/mean %.2f "
                    "idle %.2f swing %.2f mean %4.0f ms p99 %5.0f ms\n",
                    hosts, setup.Leaves, setup.SlowLeaves, setup.Utilization,
                    Names[how], o.LargestOverMean, o.IdleWhileQueued, o.Swing,
                    o.MeanMs, o.P99Ms);
      }
}

} // namespace
