#include "savorytrestle/core/FeedSchedule.h"

#include <random>

#include <gtest/gtest.h>

#include "FeedModel.h"

using namespace savorytrestle::core;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;

namespace {

struct Bounds {
  Duration Change;
  Duration Stability;
};

/// Bounds of deployments, and shorter ones.
const std::vector<Bounds> AllBounds = {{3s, 4s},  {3s, 5s},      {5s, 6s},
                                       {6s, 8s},  {1s, 2s},      {5s, 2s},
                                       {30s, 4s}, {500ms, 500ms}};

/// The waits between a change and its use add up to no more than the time for
/// it, whatever the bounds are.
TEST(FeedTiming, TheSumOfAllWaitsStaysWithinTheBounds) {
  for (const auto &[change, stability] : AllBounds) {
    const FeedTiming timing(change, stability);
    EXPECT_LE(timing.inForceAfterChange(), change);
    EXPECT_LE(timing.inForceAfterReturn(), stability);
    EXPECT_LE(timing.StoreReplyTimeout + timing.ReaderStoreBackoff.Max +
                  timing.StoreCallTime,
              stability);
    EXPECT_LE(timing.FollowerStoreBackoff.Initial,
              timing.FollowerStoreBackoff.Max);
    // Answers of a working source never reach MaxAge.
    EXPECT_LT(timing.ShortPollWait + timing.BatchDelay, timing.MaxAge);
    EXPECT_LT(timing.MaxAge, timing.StoreCallAge);
    EXPECT_LT(timing.FollowerBatchDelay, timing.MaxAge);
  }
}

class SourceFailoverTest : public ::testing::Test {
protected:
  std::size_t next() { return Failover.next(Now, 0, 3).Source; }

  TimePoint Now{1h};
  SourceFailover Failover{{{2s, 10s}, {50ms, 400ms}, {2s, 10s}}};
};

TEST_F(SourceFailoverTest, TheFirstSourceIsUsedWhileItAnswers) {
  EXPECT_EQ(next(), 0U);
  Failover.onSuccess(0);
  EXPECT_EQ(next(), 0U);
}

TEST_F(SourceFailoverTest, TheBackoffGrowsWithEachFailure) {
  Failover.onFailure(0, Now);
  EXPECT_EQ(next(), 1U);
  Now += 2s;
  EXPECT_EQ(next(), 0U);
  Failover.onFailure(0, Now);
  Now += 3s;
  EXPECT_EQ(next(), 1U);
  Now += 1s;
  EXPECT_EQ(next(), 0U);
  Failover.onSuccess(0);
  Failover.onFailure(0, Now);
  Now += 2s;
  EXPECT_EQ(next(), 0U);
}

TEST_F(SourceFailoverTest, WhileAllAreInBackoffTheFirstToEndItIsChosen) {
  for (const std::size_t source : {0U, 1U, 2U})
    Failover.onFailure(source, Now);
  const auto choice = Failover.next(Now, 0, 3);
  EXPECT_EQ(choice.Source, 1U);
  EXPECT_EQ(choice.At, Now + 50ms);
}

class FeedScheduleTest : public ::testing::Test {
protected:
  /// Numbers of the sources whose calls start now.
  std::vector<std::size_t> started() {
    std::vector<std::size_t> sources;
    while (const auto call = Schedule.startCall(Now))
      sources.push_back(call->Source);
    return sources;
  }
  void fail(std::size_t source, bool isStore) {
    Schedule.onCallEnded(isStore);
    Schedule.onFailure(source, Now);
  }

  using Numbers = std::vector<std::size_t>;
  const FeedTiming Timing{3s, 4s};
  FeedSchedule Schedule{Timing};
  TimePoint Now{1h};
};

TEST_F(FeedScheduleTest, AStoreThatFailsIsAskedAgainWhileOtherHostsAreAsked) {
  Schedule.setSources({0, 2, true, false});
  EXPECT_EQ(started(), Numbers{0});
  fail(0, true);
  EXPECT_EQ(started(), Numbers{});
  Now += 50ms;
  EXPECT_EQ(started(), Numbers{0});
  Now += 300ms;
  EXPECT_EQ(started(), Numbers{1});
  fail(0, true);
  Now += 100ms;
  EXPECT_EQ(started(), Numbers{0});
}

TEST_F(FeedScheduleTest, AStoreWhoseConnectionWasCutOnceCausesNoCallsToHosts) {
  Schedule.setSources({0, 2, true, false});
  EXPECT_EQ(started(), Numbers{0});
  fail(0, true);
  Now += 50ms;
  EXPECT_EQ(started(), Numbers{0});
  Schedule.onCallEnded(true);
  Schedule.onSuccess(0);
  Now += 1s;
  EXPECT_EQ(started(), Numbers{0});
}

TEST_F(FeedScheduleTest, AFollowerAsksTheStoreOnceItsCopyIsTooOld) {
  Schedule.setSources({1, 1, true, false});
  Schedule.onUpToDate(Now);
  EXPECT_EQ(started(), Numbers{0});
  EXPECT_EQ(Schedule.nextCallAt(Now), Now + Timing.StoreCallAge);
  Now += Timing.StoreCallAge;
  EXPECT_EQ(started(), Numbers{1});
}

TEST_F(FeedScheduleTest, AFollowerAsksTheStoreAsSoonAsItsHostFails) {
  Schedule.setSources({1, 1, true, false});
  Schedule.onUpToDate(Now);
  EXPECT_EQ(started(), Numbers{0});
  Schedule.onCallEnded(false);
  Schedule.onNotFresh(0, Now);
  EXPECT_EQ(started(), Numbers{1});
}

/// When each change is due: its time has passed, and neither the store nor the
/// host was disturbed within the stability before.
TimePoint dueAt(TimePoint change, const Bounds &bounds, std::size_t store,
                const std::vector<FeedDisruption> &disruptions) {
  TimePoint due = change + bounds.Change;
  for (bool moved = true; moved;) {
    moved = false;
    for (const FeedDisruption &it : disruptions)
      if ((it.Source == store || it.Source == FeedModel::Self) &&
          it.From < due && it.To + bounds.Stability > due) {
        due = it.To + bounds.Stability;
        moved = true;
      }
  }
  return due;
}

/// Guards against waits for silent, slow, frozen, cut and restarted sources
/// that add up beyond the time for a change: all roles of a host, every pair of
/// faults of two of its sources or itself, drawn times.
TEST(FeedModelTest, EachChangeIsInForceInTimeWhicheverTwoSourcesAreDisturbed) {
  constexpr int Draws = 20;
  const std::vector<FeedSources> roles = {
      {0, 0, true, false}, {0, 2, true, false}, {0, 2, true, true},
      {1, 0, true, false}, {1, 1, true, false}, {2, 0, true, false}};
  const std::vector<FeedFault> faults = {FeedFault::Silent,
                                         FeedFault::StandsStill, FeedFault::Cut,
                                         FeedFault::Gone, FeedFault::Slow};
  std::mt19937 random(53);
  const auto draw = [&random](Duration from, Duration to) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        from.count(), to.count())(random));
  };
  for (const Bounds &bounds :
       std::vector<Bounds>(AllBounds.begin(), AllBounds.begin() + 4))
    for (const FeedSources &role : roles) {
      const FeedTiming timing(bounds.Change, bounds.Stability);
      std::vector<std::size_t> ends = {FeedModel::Self};
      const std::size_t count = FeedModel(timing, role).sourceCount();
      for (std::size_t i = 0; i < count; ++i)
        ends.push_back(i);
      for (const std::size_t first : ends)
        for (const std::size_t second : ends)
          for (const FeedFault firstFault : faults)
            for (const FeedFault secondFault : faults)
              for (int i = 0; i < Draws; ++i) {
                FeedModel model(timing, role);
                const std::size_t store = model.store();
                const TimePoint start{20s};
                const auto disrupt = [&](std::size_t source, FeedFault fault) {
                  const TimePoint from = start + draw(0s, 4s);
                  return FeedDisruption{source, fault, from,
                                        from + draw(100ms, 5s)};
                };
                const std::vector<FeedDisruption> disruptions = {
                    disrupt(first, firstFault), disrupt(second, secondFault)};
                std::vector<TimePoint> changes(3);
                for (TimePoint &change : changes)
                  change = start + draw(-1s, 9s);
                std::sort(changes.begin(), changes.end());
                const auto inForce =
                    model.run(changes, disruptions, start + 60s);
                for (std::size_t n = 0; n < changes.size(); ++n)
                  ASSERT_LE(inForce[n].time_since_epoch().count(),
                            dueAt(changes[n], bounds, store, disruptions)
                                .time_since_epoch()
                                .count())
                      << "change at " << (changes[n] - start) / 1ms
                      << " ms, role " << role.Preferred << "+" << role.Fallback
                      << ", faults " << static_cast<int>(firstFault) << " of "
                      << first << " " << (disruptions[0].From - start) / 1ms
                      << " to " << (disruptions[0].To - start) / 1ms << ", "
                      << static_cast<int>(secondFault) << " of " << second
                      << " " << (disruptions[1].From - start) / 1ms << " to "
                      << (disruptions[1].To - start) / 1ms << ", store "
                      << store << ", in force " << (inForce[n] - start) / 1ms;
              }
    }
}

/// The store is asked no more often in quiet than a watch of the longest wait
/// takes, and by a host that follows another one not at all.
TEST(FeedModelTest, InQuietTheStoreIsCalledOnceAWatch) {
  const FeedTiming timing(3s, 4s);
  FeedModel reader(timing, {0, 2, true, false});
  (void)reader.run({}, {}, TimePoint{200s});
  EXPECT_LE(reader.storeCalls(), 100U);
  FeedModel follower(timing, {1, 2, true, false});
  (void)follower.run({}, {}, TimePoint{200s});
  EXPECT_EQ(follower.storeCalls(), 0U);
}

/// Load: many hosts that lose the one they follow, while leaves change all the
/// time. Each asks the store no more often than its copy's age allows.
TEST(FeedModelTest, HostsThatHaveLostTheOneTheyFollowAskTheStoreSeldom) {
  const FeedTiming timing(6s, 8s);
  FeedModel follower(timing, {1, 0, true, false});
  std::vector<TimePoint> changes;
  for (TimePoint at{10s}; at < TimePoint{40s}; at += 200ms)
    changes.push_back(at);
  const auto inForce = follower.run(
      changes, {{0, FeedFault::Gone, TimePoint{10s}, TimePoint{40s}}},
      TimePoint{40s});
  EXPECT_LE(follower.storeCalls(), 30s / timing.FollowerBatchDelay + 1);
  EXPECT_LE(inForce.front(), changes.front() + timing.inForceAfterChange());
}

} // namespace
