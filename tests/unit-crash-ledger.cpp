#include "savorytrestle/core/quarantine/CrashLedger.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

class CrashLedgerTest : public ::testing::Test {
protected:
  FatalRun run(std::uint64_t id, std::uint32_t firstRound,
               std::uint32_t lastRound, ServiceHash service = 1) const {
    return {Request, id, firstRound, lastRound, {service}};
  }
  bool refused() { return Ledger.quarantinedFor(Request, Now).has_value(); }

  TimePoint Now{1h};
  Fingerprint Request{1, 2};
  CrashLedger Ledger;
};

TEST_F(CrashLedgerTest, RunsInThreeRoundsQuarantine) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    EXPECT_FALSE(refused());
    EXPECT_EQ(Ledger.nextRound(Request), i);
    EXPECT_TRUE(Ledger.add(run(i, i, i), Now));
  }
  EXPECT_TRUE(refused());
  EXPECT_FALSE(Ledger.quarantinedFor({3, 4}, Now));
}

/// Guards against a harmless request that is refused since all leaves that it
/// ran on failed at once.
TEST_F(CrashLedgerTest, LeavesThatFailTogetherDoNotQuarantine) {
  for (std::uint32_t i = 1; i <= 7; ++i)
    Ledger.add(run(i, 1, i == 4 ? 2 : 1), Now);
  EXPECT_FALSE(refused());
}

TEST_F(CrashLedgerTest, RunsThatEachEndTwoLeavesInTurnQuarantine) {
  for (std::uint32_t i = 1; i <= 3; ++i)
    Ledger.add(run(i, 1, 2), Now);
  EXPECT_FALSE(refused());
  Ledger.add(run(4, 1, 2), Now);
  EXPECT_TRUE(refused());
}

TEST_F(CrashLedgerTest, ARunCountsOnceInWhateverOrderItIsHeard) {
  EXPECT_TRUE(Ledger.add(run(1, 1, 2), Now));
  EXPECT_FALSE(Ledger.add(run(1, 1, 2), Now));
  EXPECT_EQ(Ledger.runCount(Request), 1U);
}

/// Guards against a request that crashes the leaves of one shard and is
/// cleared by the answers of the others.
TEST_F(CrashLedgerTest, OnlyAnswersOfTheServicesWhoseLeavesEndedClear) {
  Ledger.add(run(1, 1, 2, 7), Now);
  EXPECT_TRUE(Ledger.clear(Request, {8, 9}).empty());
  EXPECT_EQ(Ledger.clear(Request, {7, 8}).size(), 1U);
  EXPECT_EQ(Ledger.size(), 0U);
}

TEST_F(CrashLedgerTest, RunsExpire) {
  for (std::uint32_t i = 1; i <= 3; ++i)
    Ledger.add(run(i, i, i), Now);
  const auto wait = Ledger.quarantinedFor(Request, Now);
  ASSERT_TRUE(wait);
  Now += *wait;
  EXPECT_FALSE(refused());
}

/// Guards against many such requests of which only the newest are refused.
TEST_F(CrashLedgerTest, ThousandsOfRequestsAreQuarantinedAtOnce) {
  for (std::uint64_t n = 0; n < CrashLedger::MaxRequests; ++n)
    for (std::uint32_t i = 1; i <= 3; ++i)
      Ledger.add({{n, n}, i, i, i, {1}}, Now);
  for (std::uint64_t n = 0; n < CrashLedger::MaxRequests; ++n)
    EXPECT_TRUE(Ledger.quarantinedFor({n, n}, Now));
}

TEST_F(CrashLedgerTest, MemoryIsBounded) {
  for (std::uint64_t n = 0; n <= CrashLedger::MaxRequests; ++n) {
    Now += 1ms;
    Ledger.add({{n, n}, 1, 1, 1, {1}}, Now);
  }
  EXPECT_EQ(Ledger.size(), CrashLedger::MaxRequests);
  EXPECT_EQ(Ledger.runCount({0, 0}), 0U);
}

/// Guards against a request that comes to so many hosts at once that the rounds
/// after that aren't kept.
TEST_F(CrashLedgerTest, RunsOfOneRoundDontHideTheNextRounds) {
  std::uint64_t id = 0;
  for (; id < 2 * CrashLedger::MaxRunsOfRequest; ++id)
    Ledger.add(run(id, 1, 2), Now);
  EXPECT_EQ(Ledger.runCount(Request), CrashLedger::MaxRunsOfRequest);
  EXPECT_TRUE(Ledger.add(run(++id, 3, 4), Now));
  EXPECT_EQ(Ledger.nextRound(Request), 5U);
  EXPECT_TRUE(refused());
  EXPECT_EQ(Ledger.runCount(Request), CrashLedger::MaxRunsOfRequest);
}

/// Trials of unknown result count as runs in which leaves ended.
TEST_F(CrashLedgerTest, LapsedTrialsCountAsRoundsOfTheirOwn) {
  Ledger.add(run(1, 1, 1), Now);
  EXPECT_FALSE(Ledger.quarantinedFor(Request, Now, {}, 1));
  EXPECT_TRUE(Ledger.quarantinedFor(Request, Now, {}, 2));
  Ledger.add(run(2, 1, 1), Now);
  EXPECT_FALSE(Ledger.quarantinedFor(Request, Now, {}, 1));
  EXPECT_FALSE(Ledger.quarantinedFor({3, 4}, Now, {}, 2));
  EXPECT_TRUE(Ledger.quarantinedFor({3, 4}, Now, {}, 3));
}

} // namespace
