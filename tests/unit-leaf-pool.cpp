#include "savorytrestle/core/LeafPool.h"

#include <map>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;
const AttemptResult Answered{{}, false, 1ms, LoadReport{1, 0, false}};

AttemptResult failed(AttemptFailure kind) { return {kind, false, 1ms, {}}; }

ServiceSettings service(std::uint32_t leaves) {
  ServiceSettings settings;
  settings.Name = "preisportal";
  const std::vector<std::string> domains = {"Wien", "Graz", "Innsbruck"};
  for (std::uint32_t n = 0; n < leaves; ++n)
    settings.Leaves.push_back({"leaf-" + std::to_string(n),
                               "10.0.0." + std::to_string(n) + ":80",
                               domains[n % 3], "group"});
  return settings;
}

class LeafPoolTest : public testing::Test {
protected:
  Rng Random{1};
  LeafPool Pool{{"Wien", {}, 0.25, 15s, 0.2, 1}};
  TimePoint Now = Start;

  void SetUp() override {
    Pool.setLeaves(service(3), Now);
    Pool.setHostSlot({0, 8, TimePoint::max()}, Now);
  }

  std::optional<LeafIndex> acquire(std::vector<LeafIndex> from) {
    return Pool.acquire(from, Now, Random);
  }

  /// Sends requests one after another and counts them by leaf.
  std::map<LeafIndex, int> distribute(int requests,
                                      const AttemptResult &result = Answered) {
    std::map<LeafIndex, int> counts;
    for (int n = 0; n < requests; ++n, Now += 20ms)
      if (const auto leaf = acquire({0, 1, 2})) {
        ++counts[*leaf];
        Now += 1ms;
        Pool.release(*leaf, result, Now);
      }
    return counts;
  }

  /// Sends one request to the leaf; its connection breaks.
  void breakLeaf(LeafIndex leaf) {
    ASSERT_EQ(acquire({leaf}), leaf);
    Now += 1ms;
    Pool.release(leaf, failed(AttemptFailure::ConnectionLost), Now);
  }
};

TEST_F(LeafPoolTest, NeverExceedsTheShareHoweverWideTheWindow) {
  // The window may grow to the new share before that takes effect.
  auto changed = service(3);
  changed.LeafConnections = 80;
  Pool.setLeaves(changed, Now);
  std::uint32_t held = 0;
  for (int n = 0; n < 10000; ++n, Now += 1ms) {
    while (acquire({0}))
      ++held;
    EXPECT_LE(held, Now < Start + 15s ? 5U : 10U);
    EXPECT_EQ(Pool.info(Now)[0].Outstanding, held);
    for (; held > 0 && n < 9999; --held)
      Pool.release(0, Answered, Now);
  }
  EXPECT_GT(Pool.info(Now)[0].Window, 6);
  EXPECT_EQ(held, 5U);
}

TEST_F(LeafPoolTest, WithoutAHeldSlotNoRequestIsAdmitted) {
  LeafPool fresh{{}};
  fresh.setLeaves(service(1), Now);
  const std::vector<LeafIndex> only = {0};
  EXPECT_FALSE(fresh.acquire(only, Now, Random));
  fresh.setHostSlot({0, 8, Now + 30s}, Now);
  ASSERT_TRUE(fresh.acquire(only, Now, Random));
  fresh.release(0, Answered, Now);
  EXPECT_FALSE(fresh.acquire(only, Now + 30s, Random));
  EXPECT_TRUE(fresh.acquire(only, Now + 29s, Random));
}

TEST_F(LeafPoolTest, AnExpiredSlotDoesNotDelayTheFirstShare) {
  // With 9 slots, a slot that is ranked late gets 4 of the 40 connections.
  std::optional<std::uint32_t> lateSlot;
  for (std::uint32_t slot = 0; slot < 9; ++slot)
    if (connectionShare("leaf-0", 40, slot, 9) == 4)
      lateSlot = slot;
  ASSERT_TRUE(lateSlot);
  LeafPool fresh{{}};
  fresh.setLeaves(service(1), Now);
  fresh.setHostSlot({*lateSlot, 9, TimePoint{}}, Now);
  EXPECT_EQ(fresh.info(Now)[0].Share, 0U);
  fresh.setHostSlot({(*lateSlot + 1) % 9, 9, Now + 30s}, Now);
  EXPECT_EQ(fresh.info(Now)[0].Share, 5U);
  fresh.setHostSlot({0, 9, TimePoint{}}, Now + 1s);
  EXPECT_EQ(fresh.info(Now + 1s)[0].Share, 0U);
}

TEST_F(LeafPoolTest, AGrowingShareIsDelayedAndAShrinkingOneIsNot) {
  auto changed = service(3);
  changed.LeafConnections = 80;
  Pool.setLeaves(changed, Now);
  EXPECT_EQ(Pool.info(Now + 14s)[0].Share, 5U);
  EXPECT_EQ(Pool.info(Now + 15s)[0].Share, 10U);
  changed.LeafConnections = 16;
  Pool.setLeaves(changed, Now + 20s);
  EXPECT_EQ(Pool.info(Now + 20s)[0].Share, 2U);
}

// Nine hosts receive, one after another, a change from 9 to 8 slots; the holder
// of the last slot receives it last. The shares in use never exceed the cap.
TEST_F(LeafPoolTest, SharesStayWithinTheCapWhileTheSlotCountShrinks) {
  std::vector<LeafPool> pools;
  for (std::uint32_t slot = 0; slot < 9; ++slot) {
    pools.emplace_back(LeafPoolSettings{});
    pools.back().setLeaves(service(30), Start);
    pools.back().setHostSlot({slot, 9, TimePoint::max()}, Start);
  }
  for (std::uint32_t second = 0; second < 30; ++second) {
    const auto now = Start + std::chrono::seconds(second);
    if (second < 9)
      pools[second].setHostSlot({second, 8, TimePoint::max()}, now);
    for (std::size_t leaf = 0; leaf < 30; ++leaf) {
      std::uint32_t sum = 0;
      for (const auto &pool : pools)
        sum += pool.info(now)[leaf].Share;
      EXPECT_LE(sum, 40U) << "leaf " << leaf << " after " << second << " s";
      EXPECT_TRUE(second < 25 || sum == 40U);
    }
  }
}

TEST_F(LeafPoolTest, PrefersItsOwnFailureDomainAtSimilarLatency) {
  const auto counts = distribute(300);
  EXPECT_GT(counts.at(0), counts.at(1) + counts.at(2));
}

TEST_F(LeafPoolTest, ASlowLeafGetsFewRequestsInAnyDomain) {
  std::map<LeafIndex, int> counts;
  for (int n = 0; n < 500; ++n, Now += 20ms) {
    const auto leaf = acquire({0, 1, 2});
    ASSERT_TRUE(leaf);
    ++counts[*leaf];
    auto result = Answered;
    result.Latency = *leaf == 0 ? 10ms : 1ms;
    Pool.release(*leaf, result, Now);
  }
  EXPECT_LT(counts[0], 50);
}

TEST_F(LeafPoolTest, ALeafThatReportsDrainingGetsNoRequests) {
  ASSERT_EQ(acquire({1}), 1U);
  Pool.release(1, {{}, false, 1ms, LoadReport{1, 0, true}}, Now);
  EXPECT_EQ(distribute(200).count(1), 0U);
}

TEST_F(LeafPoolTest, ALeafThatRejectsARequestAsDrainingGetsNoMore) {
  ASSERT_EQ(acquire({1}), 1U);
  Pool.release(1, failed(AttemptFailure::Draining), Now);
  EXPECT_EQ(distribute(200).count(1), 0U);
}

TEST_F(LeafPoolTest, ALeafListedOrReportedAsDrainingGetsNoRequests) {
  Pool.onHostListState("leaf-1", HostListState::Draining, Now);
  Pool.onHealthReport("leaf-2", {true, true, {}}, Now);
  const auto counts = distribute(200);
  EXPECT_EQ(counts.count(1), 0U);
  EXPECT_EQ(counts.count(2), 0U);
}

TEST_F(LeafPoolTest, AStaleHealthyReportDoesNotReturnADrainingLeafToService) {
  ASSERT_EQ(acquire({1}), 1U);
  Pool.release(1, failed(AttemptFailure::Draining), Now);
  Pool.onHealthReport("leaf-1", {true, false, {}}, Now + 1s);
  Now += 1s;
  EXPECT_EQ(distribute(100).count(1), 0U);
}

TEST_F(LeafPoolTest, ADrainingLeafServesAgainAfterFreshReportsAndAProbe) {
  Pool.onHostListState("leaf-1", HostListState::Draining, Now);
  Now += 10s;
  Pool.onHealthReport("leaf-1", {true, false, {}}, Now);
  EXPECT_FALSE(acquire({1})) << "still listed as draining";
  Pool.onHostListState("leaf-1", HostListState::Live, Now);
  ASSERT_EQ(acquire({1}), 1U);
  EXPECT_FALSE(acquire({1})) << "one probe at a time";
  Now += 1ms;
  Pool.release(1, Answered, Now);
  EXPECT_EQ(Pool.info(Now)[1].Condition, LeafCondition::Serving);
}

TEST_F(LeafPoolTest, AnUnhealthyReportDoesNotStopALeafThatAnswers) {
  distribute(100);
  Pool.onHealthReport("leaf-0", {false, false, {}}, Now);
  EXPECT_EQ(Pool.info(Now)[0].Condition, LeafCondition::Serving);
}

TEST_F(LeafPoolTest, ABrokenLeafGetsOneProbeAtATimeAtGrowingIntervals) {
  breakLeaf(1);
  Pool.onHealthReport("leaf-1", {true, false, {}}, Now);
  int probes = 0;
  for (const TimePoint end = Now + 60s; Now < end; Now += 1ms)
    if (acquire({1})) {
      ++probes;
      EXPECT_FALSE(acquire({1}));
      Pool.release(1, failed(AttemptFailure::ConnectionRefused), Now + 1ms);
    }
  // The pause doubles from 100 ms to 5 s: about 6 probes, then one every 5 s.
  EXPECT_GE(probes, 10);
  EXPECT_LE(probes, 30);
}

TEST_F(LeafPoolTest, AnAnswerToARequestFromBeforeTheFailureIsNotAProbe) {
  ASSERT_EQ(acquire({1}), 1U);
  Now += 5ms;
  Pool.release(1, failed(AttemptFailure::ConnectionLost), Now);
  Now += 200ms;
  ASSERT_EQ(acquire({1}), 1U);
  Pool.release(1, {{}, false, 250ms, {}}, Now + 10ms);
  EXPECT_EQ(Pool.info(Now)[1].Condition, LeafCondition::Down);
}

TEST_F(LeafPoolTest, AColdLeafGetsFewRequestsUntilItIsWarm) {
  auto changed = service(3);
  changed.Leaves[0].Address = "10.0.1.0:80";
  Pool.setLeaves(changed, Now);
  // Leaf 0 is in this host's failure domain, so it gets most requests when it
  // is warm.
  const int atStart = distribute(100)[0];
  Now += 10s;
  const int afterWarmUp = distribute(100)[0];
  EXPECT_LT(atStart, 35);
  EXPECT_GT(afterWarmUp, 50);
}

TEST_F(LeafPoolTest, ASearchReleasesLeavesAcquiredBeforeTheListChanged) {
  auto pinned = Pool.pin();
  const std::vector<LeafIndex> last = {2};
  ASSERT_EQ(pinned.acquire(last, Now, Random), 2U);
  auto changed = service(3);
  changed.Leaves.erase(changed.Leaves.begin());
  Pool.setLeaves(changed, Now);
  EXPECT_EQ(Pool.info(Now)[1].Outstanding, 1U);
  pinned.release(2, Answered, Now);
  EXPECT_EQ(Pool.info(Now)[1].Outstanding, 0U);
  const std::vector<LeafIndex> gone = {0};
  EXPECT_FALSE(pinned.acquire(gone, Now, Random));
}

} // namespace
