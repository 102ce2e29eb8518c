#include "savorytrestle/core/HedgePolicy.h"
#include "savorytrestle/core/RemovalGracePeriod.h"
#include "savorytrestle/core/TopRecords.h"
#include "savorytrestle/core/WeightedRoundRobin.h"
#include "savorytrestle/core/balance/LeafScore.h"
#include "savorytrestle/core/placement/RelayPolicy.h"
#include "savorytrestle/core/rates/SharedRetryBudget.h"

#include <algorithm>
#include <deque>
#include <random>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin = TimePoint{} + 1h;
constexpr Duration UsualLatency = 28ms;

LeafScore near() { return {LeafDistance::SameDomain, 5}; }
LeafScore far() { return {LeafDistance::Remote, 5}; }

TEST(LeafScore, ANearLeafCostsLessThanARemoteOne) {
  EXPECT_LT(near().cost(Begin, UsualLatency), far().cost(Begin, UsualLatency));
}

TEST(LeafScore, APausedLeafCostsMoreThanARemoteOneBeforeItAnswers) {
  LeafScore paused = near();
  paused.onSend(Begin, UsualLatency);
  EXPECT_LT(paused.cost(Begin + 40ms, UsualLatency),
            far().cost(Begin, UsualLatency));
  // Its oldest request is outstanding for over five times the usual latency.
  EXPECT_GT(paused.cost(Begin + 150ms, UsualLatency),
            far().cost(Begin + 150ms, UsualLatency));
}

TEST(LeafScore, ASlowLeafCostsMoreThanARemoteOneForSeconds) {
  LeafScore slow = near();
  for (int i = 0; i < 3; ++i)
    slow.onAnswer(Begin, 12 * UsualLatency, UsualLatency);
  EXPECT_GT(slow.cost(Begin, UsualLatency), far().cost(Begin, UsualLatency));
  EXPECT_LT(slow.cost(Begin + 10s, UsualLatency),
            far().cost(Begin + 10s, UsualLatency));
}

TEST(LeafScore, ACancelledRequestCountsAsSlowOnlyIfItTookLong) {
  LeafScore slow = near();
  for (int i = 0; i < 3; ++i)
    slow.onCancelled(Begin, 10 * UsualLatency, UsualLatency);
  EXPECT_GT(slow.cost(Begin, UsualLatency), far().cost(Begin, UsualLatency));
  LeafScore quick = near();
  for (int i = 0; i < 3; ++i)
    quick.onCancelled(Begin, UsualLatency / 2, UsualLatency);
  EXPECT_LT(quick.cost(Begin, UsualLatency), far().cost(Begin, UsualLatency));
}

TEST(LeafScore, AFailingLeafCostsMoreThanARemoteOne) {
  LeafScore failing = near();
  for (int i = 0; i < 4; ++i)
    failing.onFailure(Begin);
  EXPECT_GT(failing.cost(Begin, UsualLatency), far().cost(Begin, UsualLatency));
}

// A leaf may lose four answers in ten. A host sends one leaf only a few
// requests a second, so one failure has to suffice to prefer another region.
TEST(LeafScore, AfterOneFailureALeafCostsMoreThanARemoteOneForSeconds) {
  LeafScore lossy = near();
  lossy.onFailure(Begin);
  EXPECT_GT(lossy.cost(Begin + 2s, UsualLatency),
            far().cost(Begin + 2s, UsualLatency));
  EXPECT_LT(lossy.cost(Begin + 6s, UsualLatency),
            far().cost(Begin + 6s, UsualLatency));
}

TEST(LeafScore, AFullLeafCostsMoreThanARemoteOne) {
  LeafScore full = near();
  full.onLoadReport(Begin, {5, 12, 5});
  EXPECT_GT(full.cost(Begin, UsualLatency), far().cost(Begin, UsualLatency));
  // An old load report is ignored.
  EXPECT_LT(full.cost(Begin + 2s, UsualLatency),
            far().cost(Begin, UsualLatency));
}

TEST(LeafScore, AnUnreachableLeafIsTriedAgainAtGrowingIntervals) {
  LeafScore unreachable = near();
  unreachable.onUnreachable(Begin);
  EXPECT_TRUE(unreachable.inBackoff(Begin + 299ms));
  EXPECT_FALSE(unreachable.inBackoff(Begin + 300ms));
  unreachable.onUnreachable(Begin + 300ms);
  EXPECT_TRUE(unreachable.inBackoff(Begin + 800ms));
  for (int i = 0; i < 20; ++i)
    unreachable.onUnreachable(Begin + 1s);
  EXPECT_FALSE(unreachable.inBackoff(Begin + 2200ms));
}

// Compares the extra requests of all hosts in each window with the bound of the
// rule that they share.
TEST(SharedRetryBudget, AllHostsTogetherStayWithinTheRuleInAnyWindow) {
  const RetryBudgetRule rule{0.2, 54, 10s};
  constexpr int Hosts = 7;
  std::vector<SharedRetryBudget> hosts(Hosts, SharedRetryBudget(rule));
  for (auto &host : hosts)
    host.setHostCount(Hosts);
  std::minstd_rand random(7);
  std::deque<TimePoint> extras;
  std::deque<TimePoint> requests;
  for (TimePoint now = Begin; now < Begin + 60s; now += 1ms) {
    // Quiet and busy phases alternate. Hosts send as many extra requests as the
    // budget allows.
    const bool busy = (now - Begin) / 7s % 2 == 1;
    SharedRetryBudget &host = hosts[random() % Hosts];
    if (random() % 1000 < (busy ? 200U : 5U)) {
      host.onRequest();
      requests.push_back(now);
    }
    if (host.trySpend(now))
      extras.push_back(now);
    while (!extras.empty() && extras.front() <= now - rule.Window)
      extras.pop_front();
    while (!requests.empty() && requests.front() <= now - 2 * rule.Window)
      requests.pop_front();
    const auto inWindow = static_cast<double>(
        std::count_if(requests.begin(), requests.end(),
                      [&](TimePoint at) { return at > now - rule.Window; }));
    const double most =
        rule.ExtraPerWindow +
        rule.Ratio *
            std::max(inWindow, static_cast<double>(requests.size()) - inWindow);
    ASSERT_LE(static_cast<double>(extras.size()), most);
  }
}

TEST(SharedRetryBudget, AServiceWithoutRequestsCanStillRetry) {
  SharedRetryBudget budget({0.2, 54, 10s});
  budget.setHostCount(7);
  EXPECT_TRUE(budget.trySpend(Begin));
  EXPECT_FALSE(budget.trySpend(Begin));
  EXPECT_TRUE(budget.trySpend(Begin + 5s));
}

RouteRule sharded(std::size_t shards, double least) {
  RouteRule route;
  route.Shards.resize(shards, "s");
  route.MinShardShare = least;
  route.Objective = 300ms;
  route.Timeout = 1500ms;
  return route;
}

TEST(HedgePolicy, HedgesWithinTheObjective) {
  const RouteRule route = sharded(10, 0.89);
  EXPECT_EQ(planHedge(route, 28ms).HedgeDelay, Duration(70ms));
  EXPECT_EQ(planHedge(route, 1ms).HedgeDelay, Duration(45ms));
  EXPECT_EQ(planHedge(route, 1s).HedgeDelay, Duration(120ms));
}

TEST(HedgePolicy, TheLeastNumberOfShardsIsRoundedUpExactly) {
  EXPECT_EQ(minShards(sharded(10, 0.89)), 9U);
  EXPECT_EQ(minShards(sharded(10, 0.9)), 9U);
  EXPECT_EQ(minShards(sharded(10, 0.75)), 8U);
  EXPECT_EQ(minShards(sharded(15, 0.89)), 14U);
  EXPECT_EQ(minShards(sharded(10, 1)), 10U);
  EXPECT_EQ(minShards(sharded(10, 0)), 1U);
}

TEST(HedgePolicy, WaitsForAllShardsUntilJustBeforeTheObjective) {
  const RouteRule route = sharded(10, 0.89);
  EXPECT_EQ(decideCompletion(route, {10, 9, 0}, 100ms),
            CompletionDecision::Wait);
  EXPECT_EQ(decideCompletion(route, {10, 9, 0}, 271ms),
            CompletionDecision::Answer);
  EXPECT_EQ(decideCompletion(route, {10, 8, 0}, 270ms),
            CompletionDecision::Wait);
  EXPECT_EQ(decideCompletion(route, {10, 10, 0}, 1ms),
            CompletionDecision::Answer);
  EXPECT_EQ(decideCompletion(route, {10, 9, 1}, 1ms),
            CompletionDecision::Answer);
}

TEST(HedgePolicy, GivesUpAtOnceWhenTheLeastShareCannotBeReached) {
  EXPECT_EQ(decideCompletion(sharded(10, 0.89), {10, 3, 2}, 1ms),
            CompletionDecision::Fail);
}

TEST(TopRecords, RecordsAreSortedInDescendingByteOrder) {
  const std::string low(16, 'a');
  const std::string high(16, '\xf0');
  const std::string mid(16, 'b');
  const std::string first = low + high + "rest";
  const std::string second = mid + mid;
  EXPECT_EQ(greatestRecords({first, second}, 3), high + mid + mid);
  EXPECT_EQ(greatestRecords({first, second}, 9), high + mid + mid + low);
  EXPECT_EQ(greatestRecords({}, 3), "");
}

TEST(RemovalGracePeriod, ARemovalAfterAStoreOutageIsHeldBack) {
  RemovalGracePeriod lapsed(2200ms);
  EXPECT_TRUE(lapsed.onRemoved("a", Begin));
  lapsed.onStoreReachable(Begin);
  EXPECT_FALSE(lapsed.onRemoved("a", Begin + 100ms));
  EXPECT_FALSE(lapsed.onRemoved("b", Begin + 200ms));
  lapsed.onPut("b");
  EXPECT_TRUE(lapsed.takeDue(Begin + 2s).empty());
  EXPECT_EQ(lapsed.takeDue(Begin + 2200ms), std::vector<std::string>{"a"});
  EXPECT_FALSE(lapsed.hasHeld());
  EXPECT_TRUE(lapsed.onRemoved("b", Begin + 3s));
}

TEST(WeightedRoundRobin, SharesMatchTheWeightsOverFewRequests) {
  WeightedRoundRobin turns;
  const std::vector<double> weights{70, 20, 10, 0};
  std::vector<double> taken(weights.size());
  for (int n = 1; n <= 50; ++n) {
    ++taken[turns.next(weights)];
    for (std::size_t i = 0; i < weights.size(); ++i)
      EXPECT_LT(std::abs(taken[i] - n * weights[i] / 100), 1.01);
  }
  EXPECT_EQ(taken[3], 0);
}

/// Guards against hosts that all send their first requests to the same part:
/// each of 122 hosts gets two or three of 300 requests.
TEST(WeightedRoundRobin, SharesHoldOverManyHostsWithFewRequestsEach) {
  const std::vector<double> weights{0.8, 0.15, 0.05};
  std::vector<double> taken(weights.size());
  std::vector<WeightedRoundRobin> hosts(122);
  for (std::size_t n = 0; n < 300; ++n) {
    const std::size_t host = n % hosts.size();
    ++taken[hosts[host].next(weights, (static_cast<double>(host) + 0.5) / 122)];
  }
  for (std::size_t i = 0; i < weights.size(); ++i)
    EXPECT_NEAR(taken[i] / 300, weights[i], 0.05) << i;
}

TEST(RelayPolicy, ShardsOfAnotherDomainAreRelayedThroughItsHosts) {
  ShardDomains shards(12);
  for (std::size_t i = 0; i < 6; ++i)
    shards[i] = {"a", "b"};
  for (std::size_t i = 6; i < 12; ++i)
    shards[i] = {"b"};
  EXPECT_EQ(planRelays("a", shards), (RelayPlan{{"b", {6, 7, 8, 9, 10, 11}}}));
  EXPECT_TRUE(planRelays("b", shards).empty());
}

TEST(RelayPolicy, FewOrRemoteShardsAreNotRelayed) {
  ShardDomains shards(12, {"a"});
  shards[0] = {"b"};
  shards[1] = {};
  EXPECT_TRUE(planRelays("a", shards).empty());
}

TEST(RemovalGracePeriod, ManySimultaneousRemovalsAreHeldBack) {
  RemovalGracePeriod lapsed(2200ms);
  lapsed.onRemovalBatch(20, 90, Begin);
  EXPECT_TRUE(lapsed.onRemoved("a", Begin));
  lapsed.onRemovalBatch(3, 3, Begin);
  EXPECT_TRUE(lapsed.onRemoved("a", Begin));
  lapsed.onRemovalBatch(40, 90, Begin);
  EXPECT_FALSE(lapsed.onRemoved("a", Begin));
  EXPECT_EQ(lapsed.takeDue(Begin + 2200ms).size(), 1U);
}

/// Guards against one host that gets the requests of a whole failure domain.
TEST(ForwardDomain, TheLastHostsOfADomainDoNotGetItsWholeLoad) {
  const std::vector<ForwardDomain> domains{
      {LeafDistance::SameDomain, 1, 13, false},
      {LeafDistance::SameRegion, 14, 0, false},
      {LeafDistance::Remote, 28, 0, false}};
  std::vector<int> chosen(3);
  for (double draw = 0; draw < 1; draw += 0.01)
    ++chosen[*chooseForwardDomain(domains, draw)];
  EXPECT_LE(chosen[0], 8);
  EXPECT_GE(chosen[1], 92);
  EXPECT_EQ(chosen[2], 0);
}

TEST(ForwardDomain, TheNearestDomainIsChosenWhileItHasTheHosts) {
  std::vector<ForwardDomain> domains{{LeafDistance::Remote, 28, 0, false},
                                     {LeafDistance::SameDomain, 8, 14, false},
                                     {LeafDistance::SameRegion, 14, 0, false}};
  EXPECT_EQ(chooseForwardDomain(domains, 0.9), 1U);
  domains[1].Tried = true;
  EXPECT_EQ(chooseForwardDomain(domains, 0.9), 2U);
  domains[2].Tried = true;
  EXPECT_EQ(chooseForwardDomain(domains, 0.9), 0U);
}

TEST(ForwardDomain, ATriedDomainIsBetterThanNone) {
  EXPECT_EQ(chooseForwardDomain({}, 0.5), std::nullopt);
  EXPECT_EQ(chooseForwardDomain({{LeafDistance::SameDomain, 0, 5, false}}, 0.5),
            std::nullopt);
  EXPECT_EQ(chooseForwardDomain({{LeafDistance::SameDomain, 2, 5, true}}, 0.5),
            0U);
}

} // namespace
