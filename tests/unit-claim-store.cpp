#include "store/ClaimStore.h"

#include <future>

#include <gtest/gtest.h>

#include "FakeKvStore.h"
#include "WriteHost.h"

using namespace savorytrestle;
using namespace std::chrono_literals;
using core::ErrorCode;
using core::RunState;
using savorytrestle::testing::FakeWriteLeaf;
using savorytrestle::testing::WriteHost;

namespace {

class ClaimStoreTest : public ::testing::Test {
protected:
  ClaimStoreTest() : A(Store, "host-1", Leaf), B(Store, "host-2", Leaf) {}

  standins::FakeKvStore Store;
  FakeWriteLeaf Leaf;
  WriteHost A;
  WriteHost B;
};

TEST_F(ClaimStoreTest, ExecutesAKeyOnceWhenTwoHostsRace) {
  constexpr std::size_t Keys = 200;
  std::vector<std::future<WriteHost::Answer>> answers;
  for (std::uint64_t i = 0; i < Keys; ++i) {
    answers.push_back(A.send(A.key(i)));
    answers.push_back(B.send(B.key(i)));
  }
  std::size_t ran = 0;
  for (auto &answer : answers)
    if (const auto got = answer.get(); got && !got->Replayed)
      ++ran;
  EXPECT_EQ(ran, Keys);
  EXPECT_EQ(Leaf.executedKeys(), Keys);
  EXPECT_EQ(Leaf.repeatedKeys(), 0U);
}

TEST_F(ClaimStoreTest, ReplaysTheFirstOutcomeOnAnotherHost) {
  ASSERT_TRUE(A.send(A.key(1)).get());
  const auto again = B.send(B.key(1), 2).get();
  ASSERT_TRUE(again);
  EXPECT_TRUE(again->Replayed);
  EXPECT_EQ(again->Result, "filed by host-1");
  EXPECT_EQ(Leaf.executions(1), 1U);
}

TEST_F(ClaimStoreTest, ReadsTheDocumentAgainAfterALostReply) {
  Store.Faults->LoseWriteReplies = 1;
  EXPECT_TRUE(A.send(A.key(1)).get());
  Store.Faults->LoseWrites = 1;
  EXPECT_TRUE(A.send(A.key(2)).get());
  EXPECT_EQ(A.Claims->stats().LostReplies, 2U);
  EXPECT_EQ(Leaf.repeatedKeys(), 0U);
}

TEST_F(ClaimStoreTest, AnOutageRefusesClaimsWithoutExecution) {
  Store.Faults->Outage = true;
  const auto first = A.send(A.key(1), 1).get();
  EXPECT_EQ(first.error().Code, ErrorCode::StoreUnavailable);
  EXPECT_EQ(first.error().Run, RunState::NotRun);
  EXPECT_TRUE(first.error().RetryAfter.has_value());
  EXPECT_EQ(A.send(A.key(2), 2).get().error().Run, RunState::Unknown);
  EXPECT_EQ(A.send(A.key(3)).get().error().Run, RunState::Unknown);
  EXPECT_EQ(Leaf.executedKeys(), 0U);
}

TEST_F(ClaimStoreTest, AResendDuringAnOutageIsNotReportedAsNotRun) {
  Leaf.Mode = FakeWriteLeaf::ReplyLost;
  ASSERT_EQ(A.send(A.key(1), 1).get().error().Run, RunState::Unknown);
  Store.Faults->Outage = true;
  EXPECT_EQ(B.send(B.key(1), 2).get().error().Run, RunState::Unknown);
}

// The claim is stored, but its reply is lost and the document can't be read.
TEST_F(ClaimStoreTest, AnUnconfirmedClaimIsReleasedWithoutDispatch) {
  Store.Faults->LoseWriteReplies = 1;
  A.afterNextSwap([this] { Store.Faults->Outage = true; });
  const auto refused = A.send(A.key(1), 1).get();
  EXPECT_EQ(refused.error().Run, RunState::NotRun);
  EXPECT_EQ(A.Claims->stats().Abandoned, 1U);
  Store.Faults->Outage = false;
  EXPECT_TRUE(B.sendUntilAnswered(1, 2));
  EXPECT_EQ(Leaf.executions(1), 1U);
  EXPECT_EQ(Leaf.firstExecutor(1), "host-2");
}

TEST_F(ClaimStoreTest, AHostPausedBeforeItsClaimIsStoredLosesTheKey) {
  std::promise<void> paused;
  std::promise<void> resume;
  A.beforeNextSwap([&] {
    paused.set_value();
    resume.get_future().wait();
  });
  auto slow = A.send(A.key(1), 1);
  paused.get_future().wait();
  EXPECT_TRUE(B.send(B.key(1), 2).get());
  resume.set_value();
  const auto answer = slow.get();
  EXPECT_TRUE(answer && answer->Replayed);
  EXPECT_EQ(Leaf.executions(1), 1U);
}

TEST_F(ClaimStoreTest, AHostPausedAfterItsClaimIsStoredKeepsTheKey) {
  std::promise<void> paused;
  std::promise<void> resume;
  A.afterNextSwap([&] {
    paused.set_value();
    resume.get_future().wait();
  });
  auto slow = A.send(A.key(1), 1);
  paused.get_future().wait();
  const auto resend = B.send(B.key(1), 2).get();
  EXPECT_EQ(resend.error().Run, RunState::Unknown);
  EXPECT_TRUE(resend.error().RetryAfter.has_value());
  resume.set_value();
  EXPECT_TRUE(slow.get());
  EXPECT_EQ(Leaf.executions(1), 1U);
}

TEST_F(ClaimStoreTest, AKeyIsExecutedAfterItsFirstDispatchWasRefused) {
  Leaf.Mode = FakeWriteLeaf::Shed;
  EXPECT_EQ(A.send(A.key(1), 1).get().error().Run, RunState::NotRun);
  Leaf.Mode = FakeWriteLeaf::Replied;
  EXPECT_TRUE(B.sendUntilAnswered(1, 2));
  EXPECT_EQ(Leaf.executions(1), 1U);
}

TEST_F(ClaimStoreTest, AWriteWhoseLeafReplyIsLostStaysUnknown) {
  Leaf.Mode = FakeWriteLeaf::ReplyLost;
  EXPECT_EQ(A.send(A.key(1)).get().error().Run, RunState::Unknown);
  // Waits until the host has stored the outcome.
  A.Claims->stop(5s);
  Leaf.Mode = FakeWriteLeaf::Replied;
  EXPECT_EQ(B.send(B.key(1), 2).get().error().Run, RunState::Unknown);
  EXPECT_EQ(Leaf.executions(1), 1U);
}

TEST_F(ClaimStoreTest, AnOutcomeIsStoredAfterAnOutage) {
  Leaf.BeforeReply = [this] { Store.Faults->Outage = true; };
  const auto answer = A.send(A.key(1), 1).get();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->Result, "filed by host-1");
  Leaf.BeforeReply = nullptr;
  Store.Faults->Outage = false;
  EXPECT_TRUE(B.sendUntilAnswered(1, 2));
  EXPECT_EQ(Leaf.executions(1), 1U);
}

TEST_F(ClaimStoreTest, AClaimConfirmedAfterTheKeyExpiredIsNotDispatched) {
  A.afterNextSwap([this] { A.advanceWallClock(2h); });
  const auto answer = A.send(A.key(1), 1).get();
  EXPECT_EQ(answer.error().Run, RunState::Unknown);
  EXPECT_EQ(Leaf.executedKeys(), 0U);
}

TEST_F(ClaimStoreTest, RefusesClaimsPastTheDeadlineOrOverTheLimit) {
  A.Deadline = 0ms;
  const auto late = A.send(A.key(1), 1).get();
  EXPECT_EQ(late.error().Code, ErrorCode::DeadlineExceeded);
  EXPECT_EQ(late.error().Run, RunState::NotRun);
  EXPECT_EQ(Store.Faults->Writes, 0);
  store::ClaimStoreOptions none;
  none.MaxPending = 0;
  WriteHost full(Store, "host-3", Leaf, none);
  EXPECT_EQ(full.send(full.key(2), 1).get().error().Code,
            ErrorCode::Overloaded);
  EXPECT_EQ(Leaf.executedKeys(), 0U);
}

TEST_F(ClaimStoreTest, StoresClaimsThatArriveTogetherInOneWrite) {
  constexpr std::uint64_t Keys = 800;
  store::ClaimStoreOptions paced;
  paced.WritesPerSecond = 60;
  WriteHost host(Store, "host-3", Leaf, paced);
  std::vector<std::future<WriteHost::Answer>> answers;
  for (std::uint64_t i = 0; i < Keys; ++i)
    answers.push_back(host.send(host.key(i)));
  for (auto &answer : answers)
    EXPECT_TRUE(answer.get());
  // Without grouping there would be two compare-and-swaps per write, one for
  // the claim and one for the outcome.
  EXPECT_LT(Store.Faults->Writes.load(), static_cast<int>(Keys) / 4);
  RecordProperty("store_writes", Store.Faults->Writes.load());
  RecordProperty("store_reads", Store.Faults->Reads.load());
}

TEST_F(ClaimStoreTest, StopStoresPendingOutcomes) {
  Store.Faults->LoseWrites = 0;
  Leaf.BeforeReply = [this] { Store.Faults->Outage = true; };
  ASSERT_TRUE(A.send(A.key(1)).get());
  Leaf.BeforeReply = nullptr;
  Store.Faults->Outage = false;
  A.Claims->stop(5s);
  const auto again = B.send(B.key(1), 2).get();
  EXPECT_TRUE(again && again->Replayed);
  EXPECT_EQ(A.send(A.key(2), 1).get().error().Code, ErrorCode::Draining);
}

TEST_F(ClaimStoreTest, DeletesExpiredDocuments) {
  ASSERT_TRUE(A.send(A.key(1)).get());
  store::ClaimStoreOptions sweeping;
  sweeping.SweepInterval = 1ms;
  sweeping.SweepLookback = sweeping.Limits.WindowLength;
  WriteHost sweeper(Store, "host-3", Leaf, sweeping);
  const auto &limits = sweeping.Limits;
  sweeper.advanceWallClock(limits.Retention + limits.MaxClockSkew +
                           2 * limits.WindowLength);
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (sweeper.Claims->stats().DocumentsDeleted == 0 &&
         std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(1ms);
  EXPECT_TRUE(Store.list("claims/", 1s).value().empty());
}

/// The store comes back from a copy without the claim of a key that ran. The
/// resend must not run again, and isn't said not to have run.
TEST_F(ClaimStoreTest, AKeyWhoseClaimTheStoreLostIsNotExecutedAgain) {
  ASSERT_TRUE(A.send(A.key(7)).get());
  Store.State->takeCopy();
  ASSERT_TRUE(A.send(A.key(1)).get());
  Store.State->restoreCopy();
  const auto again = B.send(B.key(1), 2).get();
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error().Code, ErrorCode::OutcomeUnknown);
  EXPECT_EQ(again.error().Run, RunState::Unknown);
  EXPECT_EQ(Leaf.executions(1), 1U);
  // What the copy holds is known.
  const auto known = B.send(B.key(7), 2).get();
  ASSERT_TRUE(known);
  EXPECT_TRUE(known->Replayed);
}

/// A first send that was held up until after the rise, too: another send of the
/// key may have been executed in the time that was lost.
TEST_F(ClaimStoreTest, AKeyMadeBeforeTheRiseIsNotGranted) {
  ASSERT_TRUE(A.send(A.key(7)).get());
  Store.State->takeCopy();
  Store.State->restoreCopy();
  const auto first = A.send(A.key(1)).get();
  ASSERT_FALSE(first);
  EXPECT_EQ(first.error().Run, RunState::Unknown);
  EXPECT_EQ(Leaf.executions(1), 0U);
}

} // namespace
