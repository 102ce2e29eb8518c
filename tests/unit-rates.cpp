#include "savorytrestle/core/rates/RateBook.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

constexpr RateBound Bound{5s, 0.1, 20};

/// Hosts that report every 100 ms over links of 2 to 20 ms, in virtual time.
/// Requests of one workspace come to random hosts.
class Fleet {
public:
  Fleet(std::size_t hosts, RateQuota quota, unsigned seed)
      : Random(seed), Quota(quota) {
    for (std::size_t i = 0; i < hosts; ++i)
      Ids.push_back("host-" + std::to_string(i));
    for (const std::string &id : Ids)
      Books.push_back(start(id, true));
    Cut.resize(hosts);
  }

  /// Plays requests at a rate; returns the part that was admitted.
  double play(double perSecond, Duration time) {
    const TimePoint end = Now + time;
    std::exponential_distribution<double> gap(perSecond);
    int sent = 0;
    int admitted = 0;
    TimePoint next = Now;
    while (Now < end) {
      if (next <= Now) {
        ++sent;
        const auto host = pick();
        if (Books[host].admit("w", draw(), Now)) {
          ++admitted;
          Admitted.push_back(Now);
        }
        next += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap(Random)));
        continue;
      }
      if (!Events.empty() && Events.begin()->first <= Now) {
        const auto event = std::move(Events.begin()->second);
        Events.erase(Events.begin());
        event();
        continue;
      }
      if (Now >= NextFlush) {
        flush();
        NextFlush = Now + 100ms;
      }
      Now = std::min(
          {next, NextFlush, end, Events.empty() ? end : Events.begin()->first});
    }
    return sent == 0 ? 1 : static_cast<double>(admitted) / sent;
  }

  void setQuota(const RateQuota &quota) {
    Quota = quota;
    for (RateBook &book : Books)
      book.setLimits({{"w", quota}}, Now);
  }

  /// Cuts a third of the hosts off from the others.
  void cutThird(bool cut) {
    for (std::size_t i = 0; i < Cut.size(); i += 3)
      Cut[i] = cut;
  }

  void restart(std::size_t host) { Books[host] = start(Ids[host], false); }

  std::size_t controller() const {
    const auto id = chooseControllers("w", Ids).front();
    return static_cast<std::size_t>(std::find(Ids.begin(), Ids.end(), id) -
                                    Ids.begin());
  }

  /// Most admitted requests in a window.
  double mostInWindow() const {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const TimePoint at : Admitted) {
      window.push_back(at);
      while (at - window.front() >= Bound.Window)
        window.pop_front();
      most = std::max(most, window.size());
    }
    return static_cast<double>(most);
  }

  static double limit(const RateQuota &quota) {
    return (quota.Rate * 5 + quota.Burst) * (1 + Bound.Overage) + Bound.Slack;
  }

private:
  RateBook start(const std::string &id, bool withFleet) {
    RateBook book(id, Bound);
    book.setHosts(Ids, withFleet, Now);
    book.setLimits({{"w", Quota}}, Now);
    return book;
  }

  std::size_t pick() {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Ids.size() - 1)(Random);
  }
  double draw() { return std::uniform_real_distribution<>()(Random); }
  Duration delay() {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<>(2, 20)(Random));
  }

  void flush() {
    for (std::size_t from = 0; from < Books.size(); ++from)
      if (const auto notices = Books[from].takeNotices(Now); !notices.empty())
        for (std::size_t to = 0; to < Books.size(); ++to)
          if (Cut[from] == Cut[to])
            Events.emplace(Now + delay(), [this, from, to, notices] {
              Books[to].onNotices(Ids[from], notices, Now);
            });
    for (std::size_t from = 0; from < Books.size(); ++from)
      for (const RateReports &sent : Books[from].takeReports(Now)) {
        const auto to = static_cast<std::size_t>(
            std::find(Ids.begin(), Ids.end(), sent.Controller) - Ids.begin());
        if (Cut[from] != Cut[to]) {
          Events.emplace(Now + 300ms, [this, from, sent] {
            Books[from].onReply(sent, nullptr, Now);
          });
          continue;
        }
        Events.emplace(Now + delay(), [this, from, to, sent] {
          const auto verdicts = Books[to].record(sent.Reports, Now);
          Events.emplace(Now + delay(), [this, from, sent, verdicts] {
            Books[from].onReply(sent, &verdicts, Now);
          });
        });
      }
  }

  std::minstd_rand Random;
  RateQuota Quota;
  TimePoint Now = TimePoint{} + 1h;
  TimePoint NextFlush = Now;
  std::vector<std::string> Ids;
  std::vector<RateBook> Books;
  std::vector<bool> Cut;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<TimePoint> Admitted;
};

class RateFleetTest : public ::testing::TestWithParam<std::size_t> {};

// Guards against refusals of workspaces that stay below their limit, also when
// each host sees them seldom.
TEST_P(RateFleetTest, RequestsBelowTheLimitAreAdmitted) {
  for (const double rate : {0.5, 5.0, 44.0, 71.0}) {
    Fleet fleet(GetParam(), {rate, rate}, 1);
    EXPECT_GE(fleet.play(rate / 1.6, 40s), 0.97) << rate;
  }
}

// Guards against hosts that together exceed a limit, while a workspace sends up
// to five times its limit, the limit falls, and its controller starts again.
TEST_P(RateFleetTest, TheBoundHoldsUnderPressure) {
  for (unsigned seed = 1; seed <= 3; ++seed)
    for (const double rate : {5.0, 19.0, 44.0, 71.0}) {
      Fleet fleet(GetParam(), {rate, rate}, seed);
      fleet.play(rate / 1.6, 6s);
      fleet.play(rate * 4.7, 8s);
      fleet.restart(fleet.controller());
      fleet.play(rate * 4.7, 8s);
      EXPECT_LE(fleet.mostInWindow(), Fleet::limit({rate, rate}))
          << rate << " seed " << seed;
    }
}

// Guards against callers who get less than the limit while they press.
TEST_P(RateFleetTest, PressureLeavesMostOfTheLimitInUse) {
  Fleet fleet(GetParam(), {44, 44}, 1);
  fleet.play(44 / 1.6, 5s);
  EXPECT_GE(fleet.play(200, 10s) * 200, 0.85 * 44);
}

// Guards against refusals while a third of the hosts can't reach the others.
TEST_P(RateFleetTest, HostsThatAreCutOffGoOnAsBefore) {
  Fleet fleet(GetParam(), {44, 44}, 1);
  fleet.play(44 / 1.6, 10s);
  fleet.cutThird(true);
  EXPECT_GE(fleet.play(44 / 1.6, 8s), 0.9);
  fleet.cutThird(false);
  EXPECT_GE(fleet.play(44 / 1.6, 10s), 0.97);
  EXPECT_LE(fleet.mostInWindow(), Fleet::limit({44, 44}));
}

INSTANTIATE_TEST_SUITE_P(Hosts, RateFleetTest,
                         ::testing::Values(3, 7, 58, 200));

// Guards against seconds of refusals for a small workspace whose controller has
// just started.
TEST(RateController, ASmallWorkspaceIsServedByANewController) {
  const TimePoint begin = TimePoint{} + 1h;
  RateController controller;
  controller.setQuota({0.5, 0.5}, 10, begin);
  EXPECT_DOUBLE_EQ(controller.record({"w", 1, 1}, begin).AdmitShare, 1);
  EXPECT_DOUBLE_EQ(controller.record({"w", 1, 1}, begin + 2s).AdmitShare, 1);
}

// Guards against a bucket that stays full when the limit falls.
TEST(RateController, ALowerLimitTakesEffectAtOnce) {
  const TimePoint begin = TimePoint{} + 1h;
  RateController controller;
  controller.setQuota({100, 100}, 0, begin);
  controller.fill();
  controller.setQuota({10, 10}, 0, begin);
  EXPECT_LE(controller.saved(), 10);
  const auto verdict = controller.record({"w", 30, 30}, begin);
  EXPECT_EQ(verdict.AdmitShare, 0);
  EXPECT_GE(verdict.Wait, 2s);
}

} // namespace
