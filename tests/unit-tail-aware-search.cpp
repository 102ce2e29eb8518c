#include "savorytrestle/core/TailAwareSearch.h"

#include <gtest/gtest.h>

#include "FakeSelector.h"

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{};
constexpr IndexVersion Version = 7;

/// A service with two replicas of each shard n: leaves 2n and 2n + 1.
class TailAwareSearchTest : public testing::Test {
protected:
  using Policy = TailAwareSearch<standins::FakeSelector>;
  using Actions = std::vector<SearchAction>;

  void publish(IndexVersion version, std::uint32_t shards) {
    for (LeafIndex leaf = 0; leaf < 2 * shards; ++leaf)
      Catalog.update(leaf, LeafState::Usable, {{version, leaf / 2, shards}});
    Shards = shards;
  }
  Policy &search() {
    Search.emplace(
        ServiceState<standins::FakeSelector>{Leaves, Catalog, Budget, Hedges},
        Parameters);
    return *Search;
  }
  Actions start() { return search().start(Start, Random); }
  /// Starts a search and returns the attempts that it sends.
  std::vector<SendAttempt> startAttempts() { return sentAttempts(start()); }
  Actions reply(const SendAttempt &attempt, TimePoint now = Start + 1ms) {
    return Search->onReply(replyTo(attempt), now, Random);
  }
  Actions fail(const SendAttempt &attempt, AttemptFailure failure,
               TimePoint now = Start + 1ms) {
    return Search->onFailure(attempt.Id, failure, now, Random);
  }
  Actions fireTimer(TimePoint now) { return Search->onTimer(now, Random); }

  static std::vector<SendAttempt> sentAttempts(const Actions &actions) {
    std::vector<SendAttempt> result;
    for (const auto &action : actions)
      if (const auto *it = std::get_if<SendAttempt>(&action))
        result.push_back(*it);
    return result;
  }
  static std::size_t cancelCount(const Actions &actions) {
    std::size_t n = 0;
    for (const auto &action : actions)
      n += std::holds_alternative<CancelAttempt>(action) ? 1 : 0;
    return n;
  }
  static bool isFinished(const Actions &actions) {
    return !actions.empty() &&
           std::holds_alternative<FinishSearch>(actions.back());
  }
  LeafReply replyTo(const SendAttempt &attempt) const {
    LeafReply result;
    result.Id = attempt.Id;
    result.Shard = attempt.Shard;
    result.Version = attempt.Version;
    result.ShardCount = Shards;
    result.RowCount = 1;
    result.Rows = {{{"shard", attempt.Shard}, {"version", attempt.Version}}};
    return result;
  }
  void fillBudget() {
    for (int n = 0; n < 10000; ++n)
      Budget.onFirstAttempt();
  }

  standins::FakeSelector Leaves;
  SnapshotCatalog Catalog;
  ExtraLoadBudget Budget{0.05};
  HedgeDelays Hedges;
  SearchParameters Parameters{.Deadline = Start + 1s};
  Rng Random{1};
  std::optional<Policy> Search;
  std::uint32_t Shards = 0;
};

static_assert(SearchPolicy<TailAwareSearch<standins::FakeSelector>>);

TEST_F(TailAwareSearchTest, CoversAllShardsFromOneReplicaOfEach) {
  publish(Version, 3);
  const auto attempts = startAttempts();
  ASSERT_EQ(attempts.size(), 3U);
  reply(attempts[2]);
  reply(attempts[0]);
  EXPECT_TRUE(isFinished(reply(attempts[1])));
  const auto answer = Search->takeAnswer();
  EXPECT_EQ(answer.ShardsAnswered, 3U);
  EXPECT_EQ(answer.Rows[0]["shard"], 0);
  EXPECT_EQ(answer.Rows[2]["shard"], 2);
  EXPECT_EQ(Leaves.State->totalInUse(), 0);
}

TEST_F(TailAwareSearchTest, TheLeafDeadlineIsBeforeTheDeadlineOfTheSearch) {
  publish(Version, 1);
  EXPECT_EQ(startAttempts()[0].Deadline, Start + 995ms);
  Parameters.Deadline = Start + 4ms;
  EXPECT_EQ(startAttempts()[0].Deadline, Start + 2ms);
}

TEST_F(TailAwareSearchTest, AnInvalidReplyDoesNotCount) {
  publish(Version, 2);
  const std::vector<void (*)(LeafReply &)> faults = {
      [](LeafReply &it) { it.Id += 100; },
      [](LeafReply &it) { it.Shard = 1; },
      [](LeafReply &it) { it.Version = 6; },
      [](LeafReply &it) { it.Version = 0; },
      [](LeafReply &it) { it.ShardCount = 3; },
      [](LeafReply &it) { it.ShardCount = 0; },
      [](LeafReply &it) { it.RowCount = 2; },
      [](LeafReply &it) { it.Rows.clear(); },
      [](LeafReply &it) { it.Rows[0] = nullptr; },
  };
  for (std::size_t n = 0; n < faults.size(); ++n) {
    const auto attempts = startAttempts();
    auto faulty = replyTo(attempts[0]);
    faults[n](faulty);
    Search->onReply(faulty, Start + 1ms, Random);
    reply(attempts[1]);
    fireTimer(Parameters.Deadline);
    const auto answer = Search->takeAnswer();
    EXPECT_EQ(answer.MissingShards, std::vector<ShardIndex>{0})
        << "fault " << n;
    EXPECT_EQ(answer.Rows.size(), 1U) << "fault " << n;
    EXPECT_EQ(Leaves.State->totalInUse(), 0) << "fault " << n;
  }
}

TEST_F(TailAwareSearchTest, ADuplicatedReplyCountsOnce) {
  publish(Version, 2);
  const auto attempts = startAttempts();
  reply(attempts[0]);
  EXPECT_TRUE(reply(attempts[0]).empty());
  EXPECT_TRUE(isFinished(reply(attempts[1])));
  EXPECT_EQ(Search->takeAnswer().Rows.size(), 2U);
}

TEST_F(TailAwareSearchTest, ALateReplyDoesNotCount) {
  publish(Version, 1);
  const auto attempts = startAttempts();
  EXPECT_TRUE(isFinished(reply(attempts[0], Parameters.Deadline)));
  EXPECT_EQ(Search->takeAnswer().ShardsAnswered, 0U);
  EXPECT_EQ(Leaves.State->totalInUse(), 0);
}

TEST_F(TailAwareSearchTest, HedgesASlowAttemptAndCancelsTheLoser) {
  publish(Version, 2);
  for (int n = 0; n < 100; ++n)
    Hedges.record(0, 10ms);
  const auto attempts = startAttempts();
  reply(attempts[0]);
  const auto due = Search->nextTimer().value();
  EXPECT_LT(due, Start + 50ms);
  const auto hedges = sentAttempts(fireTimer(due));
  ASSERT_EQ(hedges.size(), 1U);
  EXPECT_TRUE(hedges[0].IsExtra);
  EXPECT_NE(hedges[0].Leaf, attempts[1].Leaf);
  const auto actions = reply(hedges[0], due + 1ms);
  EXPECT_EQ(cancelCount(actions), 1U);
  EXPECT_TRUE(isFinished(actions));
  EXPECT_EQ(Search->takeAnswer().ExtraAttempts, 1U);
  EXPECT_EQ(Leaves.State->totalInUse(), 0);
}

TEST_F(TailAwareSearchTest, TheReplyOfACancelledAttemptIsIgnored) {
  publish(Version, 2);
  const auto attempts = startAttempts();
  const auto hedges = sentAttempts(fireTimer(Start + 50ms));
  ASSERT_EQ(hedges.size(), 2U);
  EXPECT_EQ(cancelCount(reply(hedges[0], Start + 51ms)), 1U);
  EXPECT_TRUE(reply(attempts[0], Start + 52ms).empty());
  EXPECT_EQ(Leaves.State->totalInUse(), 2);
}

TEST_F(TailAwareSearchTest, DoesNotHedgeWithoutBudget) {
  publish(Version, 8);
  EXPECT_EQ(startAttempts().size(), 8U);
  EXPECT_EQ(sentAttempts(fireTimer(Start + 50ms)).size(), 2U);
  EXPECT_EQ(sentAttempts(fireTimer(Start + 100ms)).size(), 0U);
}

TEST_F(TailAwareSearchTest, AZeroHedgeDelayDoesNotHedgeForever) {
  publish(Version, 1);
  Parameters.DefaultHedgeDelay = 0ms;
  startAttempts();
  EXPECT_TRUE(fireTimer(Start).empty());
  EXPECT_EQ(sentAttempts(fireTimer(Start + 1ms)).size(), 1U);
}

TEST_F(TailAwareSearchTest, RetriesOnAnotherReplica) {
  publish(Version, 1);
  for (const auto failure :
       {AttemptFailure::ConnectionRefused, AttemptFailure::Draining,
        AttemptFailure::ConnectionLost, AttemptFailure::Malformed}) {
    fillBudget();
    const auto attempts = startAttempts();
    const auto retries = sentAttempts(fail(attempts[0], failure));
    ASSERT_EQ(retries.size(), 1U);
    EXPECT_NE(retries[0].Leaf, attempts[0].Leaf);
    EXPECT_TRUE(isFinished(reply(retries[0])));
    EXPECT_EQ(Search->takeAnswer().ShardsAnswered, 1U);
  }
}

TEST_F(TailAwareSearchTest, ARefusedConnectionIsReplacedWithoutBudget) {
  publish(Version, 4);
  // More refusals than a new budget has tokens for.
  for (const auto &attempt : startAttempts())
    EXPECT_EQ(
        sentAttempts(fail(attempt, AttemptFailure::ConnectionRefused)).size(),
        1U);
}

TEST_F(TailAwareSearchTest, ShedRepliesUseUpTheRetryBudget) {
  publish(Version, 4);
  fillBudget();
  std::size_t retries = 0;
  for (int n = 0; n < 20; ++n)
    for (const auto &attempt : startAttempts())
      retries += sentAttempts(fail(attempt, AttemptFailure::Shed)).size();
  EXPECT_LE(retries, 5U);
}

TEST_F(TailAwareSearchTest, FinishesAtOnceWhenNothingCanBeSent) {
  publish(Version, 2);
  Leaves.State->BlockAll = true;
  EXPECT_TRUE(isFinished(start()));
  EXPECT_EQ(Search->takeAnswer().MissingShards.size(), 2U);
}

TEST_F(TailAwareSearchTest, WaitsUntilALeafOfTheShardIsAvailable) {
  publish(Version, 2);
  Leaves.State->Blocked = {2, 3};
  const auto attempts = startAttempts();
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_FALSE(isFinished(reply(attempts[0])));
  Leaves.State->Blocked = {2};
  const auto later = sentAttempts(fireTimer(Search->nextTimer().value()));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_FALSE(later[0].IsExtra);
  EXPECT_TRUE(isFinished(reply(later[0])));
}

TEST_F(TailAwareSearchTest, RestartsOnceOnANewerSnapshot) {
  publish(Version, 3);
  fillBudget();
  const auto old = startAttempts();
  reply(old[0]);
  publish(Version + 1, 4);
  const auto other = sentAttempts(fail(old[1], AttemptFailure::WrongVersion));
  ASSERT_EQ(other.size(), 1U);
  EXPECT_EQ(other[0].Version, Version);
  const auto restarted = fail(other[0], AttemptFailure::WrongVersion);
  EXPECT_EQ(cancelCount(restarted), 1U);
  const auto again = sentAttempts(restarted);
  ASSERT_EQ(again.size(), 4U);
  EXPECT_EQ(Leaves.State->totalInUse(), 4);
  EXPECT_TRUE(reply(old[2]).empty());
  for (const auto &attempt : again)
    reply(attempt);
  const auto answer = Search->takeAnswer();
  EXPECT_EQ(answer.Version, Version + 1);
  EXPECT_EQ(answer.ShardsTotal, 4U);
  EXPECT_EQ(answer.ShardsAnswered, 4U);
  for (const auto &row : answer.Rows)
    EXPECT_EQ(row["version"], Version + 1);
  EXPECT_EQ(answer.ExtraAttempts, 5U);
  EXPECT_EQ(Leaves.State->totalInUse(), 0);
}

TEST_F(TailAwareSearchTest, WithoutBudgetAVersionChangeLowersCoverage) {
  publish(Version, 2);
  Catalog.removeLeaf(3);
  const auto old = startAttempts();
  reply(old[0]);
  publish(Version + 1, 3);
  EXPECT_TRUE(sentAttempts(fail(old[1], AttemptFailure::WrongVersion)).empty());
  EXPECT_TRUE(isFinished(fireTimer(Parameters.Deadline)));
  const auto answer = Search->takeAnswer();
  EXPECT_EQ(answer.Version, Version);
  EXPECT_EQ(answer.ShardsTotal, 2U);
  EXPECT_EQ(answer.MissingShards, std::vector<ShardIndex>{1});
}

TEST_F(TailAwareSearchTest,
       CoverageFirstWaitsForTheDeadlineAndListsMissingShards) {
  publish(Version, 2);
  const auto attempts = startAttempts();
  reply(attempts[0]);
  EXPECT_FALSE(isFinished(fireTimer(Start + 999ms)));
  EXPECT_TRUE(isFinished(fireTimer(Start + 1s)));
  EXPECT_EQ(Search->takeAnswer().MissingShards, std::vector<ShardIndex>{1});
  EXPECT_EQ(Leaves.State->totalInUse(), 0);
  EXPECT_EQ(Leaves.State->Results.back().Failure, AttemptFailure::Expired);
}

TEST_F(TailAwareSearchTest,
       TailFirstAnswersAfterTheTargetOnceCoverageSuffices) {
  publish(Version, 10);
  Parameters.Policy = AnswerPolicy::TailFirst;
  const auto attempts = startAttempts();
  for (int n = 0; n < 8; ++n)
    reply(attempts[n]);
  EXPECT_FALSE(isFinished(fireTimer(Start + 100ms)));
  EXPECT_TRUE(isFinished(reply(attempts[8], Start + 120ms)));
  EXPECT_EQ(Search->takeAnswer().ShardsAnswered, 9U);
}

TEST_F(TailAwareSearchTest, TailFirstSetsItsTimerToTheLatencyTarget) {
  publish(Version, 10);
  Parameters.Policy = AnswerPolicy::TailFirst;
  Parameters.LatencyTarget = 20ms;
  const auto attempts = startAttempts();
  for (int n = 0; n < 9; ++n)
    reply(attempts[n]);
  EXPECT_EQ(Search->nextTimer(), Start + 20ms);
  EXPECT_TRUE(isFinished(fireTimer(Start + 20ms)));
}

TEST_F(TailAwareSearchTest, ACanaryRequestCrashesAtMostTwoLeaves) {
  publish(Version, 10);
  Parameters.Canary = true;
  fillBudget();
  const auto first = startAttempts();
  ASSERT_EQ(first.size(), 1U);
  const auto second =
      sentAttempts(fail(first[0], AttemptFailure::ConnectionLost));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_TRUE(isFinished(fail(second[0], AttemptFailure::ConnectionLost)));
  EXPECT_EQ(Search->lostConnectionCount(), 2U);
  EXPECT_EQ(Search->takeAnswer().ShardsAnswered, 0U);
}

TEST_F(TailAwareSearchTest, ASlowCanaryIsHedgedOnceWithoutExtraLoad) {
  publish(Version, 10);
  Parameters.Canary = true;
  startAttempts();
  const auto hedge = sentAttempts(fireTimer(Start + 50ms));
  ASSERT_EQ(hedge.size(), 1U);
  EXPECT_FALSE(hedge[0].IsExtra);
  EXPECT_TRUE(sentAttempts(fireTimer(Start + 100ms)).empty());
  EXPECT_EQ(sentAttempts(reply(hedge[0], Start + 101ms)).size(), 8U);
}

TEST_F(TailAwareSearchTest, ACanaryThatWasNotExecutedIsSentAgain) {
  publish(Version, 4);
  Parameters.Canary = true;
  auto attempts = startAttempts();
  for (int n = 0; n < 3; ++n) {
    attempts =
        sentAttempts(fail(attempts[0], AttemptFailure::ConnectionRefused));
    ASSERT_EQ(attempts.size(), 1U);
  }
  EXPECT_FALSE(sentAttempts(reply(attempts[0])).empty());
}

TEST_F(TailAwareSearchTest, AbandonCancelsAllAttemptsInFlight) {
  publish(Version, 3);
  startAttempts();
  const auto actions = Search->abandon(Start + 1ms);
  EXPECT_EQ(cancelCount(actions), 3U);
  EXPECT_TRUE(isFinished(actions));
  EXPECT_EQ(Leaves.State->totalInUse(), 0);
}

} // namespace
