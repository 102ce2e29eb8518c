#include "savorytrestle/core/FeedPolicy.h"
#include "savorytrestle/core/balance/LeafReports.h"
#include "savorytrestle/core/balance/LeafScore.h"

#include <random>
#include <vector>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin = TimePoint{} + 1h;
constexpr Duration UsualLatency = 28ms;

TEST(LeafReports, OneHostAloneSaysNothing) {
  LeafReports reports;
  reports.add("h-1", "i-1", {20, 1}, Begin);
  EXPECT_TRUE(reports.merge(Begin).empty());
  reports.add("h-2", "i-1", {1, 0}, Begin);
  const auto merged = reports.merge(Begin);
  ASSERT_EQ(merged.count("i-1"), 1U);
  EXPECT_EQ(merged.at("i-1").Report.Slowness, 1);
  EXPECT_EQ(merged.at("i-1").Report.FailureRate, 0);
}

TEST(LeafReports, TheMedianOfTheHostsCounts) {
  LeafReports reports;
  reports.add("h-1", "i-1", {9, 0}, Begin);
  reports.add("h-2", "i-1", {8, 0.5}, Begin + 100ms);
  reports.add("h-3", "i-1", {1, 0}, Begin + 200ms);
  const auto merged = reports.merge(Begin + 300ms);
  EXPECT_EQ(merged.at("i-1").Report.Slowness, 8);
  EXPECT_EQ(merged.at("i-1").Age, Duration(100ms));
}

/// A grey leaf fails two in five requests; a host has one or two a report. The
/// median of such reports is "no failure", which would end the hosts' own
/// memory of failures.
TEST(LeafReports, ALeafThatFailsAPartOfItsRequestsIsReported) {
  LeafReports reports;
  for (int i = 0; i < 10; ++i)
    reports.add("h-" + std::to_string(i), "i-1", {1, i < 4 ? 1.0 : 0.0}, Begin);
  const auto merged = reports.merge(Begin);
  ASSERT_TRUE(merged.at("i-1").Report.FailureRate);
  EXPECT_NEAR(*merged.at("i-1").Report.FailureRate, 0.33, 0.01);
}

/// Requests that are out tell nothing about failures.
TEST(LeafReports, ReportsWithoutEndedRequestsKeepTheMemoryOfFailures) {
  LeafReports reports;
  reports.add("h-1", "i-1", {5, std::nullopt}, Begin + 1s);
  reports.add("h-2", "i-1", {5, std::nullopt}, Begin + 1s);
  const auto merged = reports.merge(Begin + 1s);
  EXPECT_FALSE(merged.at("i-1").Report.FailureRate);
  LeafScore failing(LeafDistance::SameDomain, 3);
  failing.onFailure(Begin);
  LeafScore sound(LeafDistance::SameDomain, 3);
  for (LeafScore *score : {&failing, &sound})
    score->onReport(merged.at("i-1").Report, Begin + 1s);
  EXPECT_GT(failing.cost(Begin + 1s, UsualLatency),
            sound.cost(Begin + 1s, UsualLatency));
}

TEST(LeafReports, OldReportsAreDropped) {
  LeafReports reports;
  reports.add("h-1", "i-1", {9, 0}, Begin);
  reports.add("h-2", "i-1", {9, 0}, Begin);
  EXPECT_FALSE(reports.merge(Begin + 2s).empty());
  EXPECT_TRUE(reports.merge(Begin + 4s).empty());
  // One that is newer by far stands alone.
  reports.add("h-1", "i-2", {9, 0}, Begin);
  reports.add("h-2", "i-2", {1, 0}, Begin + 2s);
  EXPECT_TRUE(reports.merge(Begin + 2s).empty());
}

TEST(LeafScore, ReportsItsSamplesOnce) {
  LeafScore score(LeafDistance::SameDomain, 3);
  EXPECT_FALSE(score.takeReport(Begin));
  score.onAnswer(Begin, 4 * UsualLatency, UsualLatency);
  score.onAnswer(Begin, 2 * UsualLatency, UsualLatency);
  score.onFailure(Begin);
  score.onFailure(Begin);
  const auto report = score.takeReport(Begin);
  ASSERT_TRUE(report);
  EXPECT_DOUBLE_EQ(report->Slowness, 3);
  EXPECT_DOUBLE_EQ(report->FailureRate.value(), 0.5);
  EXPECT_FALSE(score.takeReport(Begin));
}

TEST(LeafScore, ReportsARequestThatIsOutForLong) {
  LeafScore score(LeafDistance::SameDomain, 3);
  score.onSend(Begin, UsualLatency);
  EXPECT_FALSE(score.takeReport(Begin + UsualLatency));
  const auto report = score.takeReport(Begin + 5 * UsualLatency);
  ASSERT_TRUE(report);
  EXPECT_DOUBLE_EQ(report->Slowness, 5);
}

TEST(LeafScore, OwnSamplesGoBeforeReportsUnlessTheyAreOlder) {
  LeafScore score(LeafDistance::SameDomain, 3);
  score.onAnswer(Begin, UsualLatency, UsualLatency);
  const auto calm = score.cost(Begin, UsualLatency);
  score.onReport({10, 0}, Begin + 100ms);
  EXPECT_EQ(score.cost(Begin + 100ms, UsualLatency), calm);
  score.onReport({10, 0}, Begin + 400ms);
  EXPECT_GT(score.cost(Begin + 400ms, UsualLatency), 5 * calm);
  score.onAnswer(Begin + 500ms, UsualLatency, UsualLatency);
  EXPECT_LT(score.cost(Begin + 500ms, UsualLatency), 2 * calm);
  // A report also ends the memory of a slow phase.
  for (int i = 0; i < 5; ++i)
    score.onAnswer(Begin + 600ms, 10 * UsualLatency, UsualLatency);
  EXPECT_GT(score.cost(Begin + 900ms, UsualLatency), 5 * calm);
  score.onReport({1, 0}, Begin + 950ms);
  EXPECT_LT(score.cost(Begin + 950ms, UsualLatency), 2 * calm);
}

TEST(FeedPlan, TheFirstHostsOfADomainCollectReports) {
  std::vector<FeedHost> hosts;
  for (const char *id : {"h-5", "h-3", "h-2", "h-4"})
    hosts.push_back({id, "a"});
  hosts.push_back({"g-1", "b"});
  EXPECT_TRUE(planCollectors({"h-5", "a"}, hosts).empty());
  hosts.push_back({"h-6", "a"});
  EXPECT_EQ(planCollectors({"h-5", "a"}, hosts),
            (std::vector<std::string>{"h-2", "h-3"}));
  EXPECT_TRUE(planCollectors({"g-1", "b"}, hosts).empty());
}

/// Load: the three leaves of a shard serve 32 hosts of a domain, each of which
/// sends it 1.5 requests a second; one leaf turns slow by ten. Counts the
/// requests that go to the slow leaf within five seconds, with the policy that
/// each host uses alone and with reports every 300 ms.
class SlowLeafLoad {
public:
  explicit SlowLeafLoad(bool exchange) : Exchanges(exchange) {
    for (int i = 0; i < Hosts; ++i)
      Scores.emplace_back(Leaves, LeafScore(LeafDistance::SameDomain, 3));
  }

  int slowRequests() {
    int slow = 0;
    TimePoint nextReport = Begin;
    std::uniform_int_distribution<int> host(0, Hosts - 1);
    for (TimePoint now = Begin; now < Begin + 5s; now += 1000ms / 48) {
      if (Exchanges && now >= nextReport) {
        exchange(now);
        nextReport = now + 300ms;
      }
      auto &scores = Scores[static_cast<std::size_t>(host(Random))];
      const auto leaf = choose(scores, now);
      slow += leaf == 0 ? 1 : 0;
      scores[leaf].onAnswer(now, (leaf == 0 ? 10 : 1) * UsualLatency,
                            UsualLatency);
    }
    return slow;
  }

private:
  static constexpr int Hosts = 32;
  static constexpr std::size_t Leaves = 3;

  std::size_t choose(const std::vector<LeafScore> &scores, TimePoint now) {
    std::uniform_real_distribution<double> jitter(1, 1.2);
    std::size_t best = 0;
    double bestCost = 0;
    for (std::size_t i = 0; i < Leaves; ++i) {
      const double cost =
          jitter(Random) *
          static_cast<double>(scores[i].cost(now, UsualLatency).count());
      if (i == 0 || cost < bestCost) {
        best = i;
        bestCost = cost;
      }
    }
    return best;
  }

  void exchange(TimePoint now) {
    for (std::size_t h = 0; h < Scores.size(); ++h)
      for (std::size_t i = 0; i < Leaves; ++i)
        if (const auto report = Scores[h][i].takeReport(now))
          Reports.add(std::to_string(h), std::to_string(i), *report, now);
    for (const auto &[leaf, merged] : Reports.merge(now))
      for (auto &scores : Scores)
        scores[std::stoul(leaf)].onReport(merged.Report, now - merged.Age);
  }

  bool Exchanges;
  std::vector<std::vector<LeafScore>> Scores;
  LeafReports Reports;
  std::minstd_rand Random{11};
};

TEST(LeafReports, HostsLeaveASlowLeafTogether) {
  const int alone = SlowLeafLoad(false).slowRequests();
  const int together = SlowLeafLoad(true).slowRequests();
  // 240 requests; each host alone has to find the slow leaf itself.
  EXPECT_GT(alone, 10);
  EXPECT_LE(together, alone / 2);
}

} // namespace
