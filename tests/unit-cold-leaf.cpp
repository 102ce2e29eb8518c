#include "savorytrestle/core/placement/ColdLeaf.h"

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "serve/PlatformHostConfig.h"

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;
constexpr ColdBounds Bounds{1.5, 5};

TimePoint at(double seconds) {
  return Start + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(seconds));
}

/// Hosts that all have requests for one cold leaf, on a virtual clock. As in a
/// deployment, half of the rate is shared by the hosts of the leaf's domain (a
/// third of all) and a bit more than a third by the others.
class ColdFleet {
public:
  /// @param hosts number of hosts
  /// @param perSecond configured rate of cold leaves
  /// @param countedShare part of the hosts that every second host counts
  ColdFleet(std::size_t hosts, double perSecond, double countedShare, int seed)
      : Hosts(hosts), Random(static_cast<unsigned>(seed)) {
    const double near = std::max(1.0, static_cast<double>(hosts) / 3);
    const double far = std::max(1.0, static_cast<double>(hosts) - near);
    for (std::size_t i = 0; i < hosts; ++i) {
      const double counted = i % 2 == 0 ? 1 : countedShare;
      const bool isNear = static_cast<double>(i) < near;
      Hosts[i].setShare(isNear ? 0.5 / (near * counted)
                               : 0.35 / (far * counted));
      Hosts[i].setRule(coldLeafRule(60s, perSecond, Bounds), Start);
      Hosts[i].onStated(Start + 60s);
    }
  }

  /// Sends requests from all hosts up to a time in seconds.
  /// @param demand requests a second of all hosts
  void run(double end, double demand) {
    constexpr double Step = 0.001;
    std::uniform_real_distribution<> uniform(0, 1);
    std::poisson_distribution<int> arrivals(demand * Step);
    std::uniform_int_distribution<std::size_t> host(0, Hosts.size() - 1);
    for (; Now < end; Now += Step)
      for (int n = arrivals(Random); n > 0; --n) {
        ColdLeaf &leaf = Hosts[host(Random)];
        if (uniform(Random) < leaf.sendChance(at(Now))) {
          leaf.onSend(at(Now));
          Sent.push_back(Now);
        } else {
          leaf.onDrawLost(at(Now));
        }
      }
  }

  /// Most requests in any second.
  std::size_t mostInOneSecond() const {
    std::size_t most = 0;
    for (std::size_t first = 0, i = 0; i < Sent.size(); ++i) {
      while (Sent[i] - Sent[first] >= 1)
        ++first;
      most = std::max(most, i - first + 1);
    }
    return most;
  }

  std::size_t sent() const { return Sent.size(); }

private:
  std::vector<ColdLeaf> Hosts;
  std::mt19937 Random;
  double Now = 0;
  std::vector<double> Sent;
};

/// Guards against hosts whose sum exceeds the bound of a cold leaf in some
/// second: after idle time in which they save up requests, in the first second,
/// and while half of them miss a third of the hosts.
TEST(ColdLeaf, AllHostsTogetherStayWithinTheBoundInEachSecond) {
  for (const std::size_t hosts : {3, 7, 58, 122, 200})
    for (const double perSecond : {4.0, 10.0, 30.0})
      for (const double counted : {1.0, 0.67}) {
        const auto most =
            static_cast<std::size_t>(perSecond * Bounds.Overage + Bounds.Slack);
        std::size_t worst = 0;
        double sent = 0;
        for (int seed = 1; seed <= 8; ++seed) {
          ColdFleet fleet(hosts, perSecond, counted, seed);
          fleet.run(6, 20 * perSecond);
          fleet.run(8, 0);
          fleet.run(10, 60 * perSecond);
          fleet.run(13, 0);
          fleet.run(20, 5 * perSecond);
          worst = std::max(worst, fleet.mostInOneSecond());
          sent += static_cast<double>(fleet.sent()) / 8 / 15;
        }
        EXPECT_LE(worst, most) << hosts << " hosts, " << perSecond << "/s";
        // The leaf is not starved either.
        EXPECT_GE(sent, 0.05 * perSecond) << hosts << " hosts";
        RecordProperty(std::to_string(hosts) + "_" + std::to_string(perSecond) +
                           "_" + std::to_string(counted),
                       std::to_string(worst) + " of " + std::to_string(most) +
                           ", mean " + std::to_string(sent));
      }
}

/// Guards against a host that hasn't read the list of hosts yet and takes the
/// whole rate for itself.
TEST(ColdLeaf, HostsThatDoNotKnowTheOthersStayWithinTheBoundTogether) {
  EXPECT_LE(200 * coldLeafShare(1, false), 1);
  EXPECT_EQ(coldLeafShare(0.125, true), 0.125);
  EXPECT_LE(coldLeafShare(0.001, false), 0.001);
}

TEST(ColdLeaf, ALeafIsColdAsStatedAndAfterAnEvacuation) {
  ColdLeaf leaf;
  leaf.setRule(coldLeafRule(8s, 10, Bounds), Start);
  EXPECT_EQ(leaf.sendChance(Start), 1);
  leaf.onStated(Start + 3s);
  EXPECT_LT(leaf.sendChance(Start), 1);
  EXPECT_TRUE(leaf.isBound(Start + 2900ms));
  EXPECT_FALSE(leaf.isBound(Start + 3s));
  // It turns cold again at any moment.
  leaf.onStated(Start + 6s);
  EXPECT_TRUE(leaf.isBound(Start + 5s));
  // An older copy of the store doesn't make it warm.
  leaf.onStated(Start + 1s);
  EXPECT_TRUE(leaf.isBound(Start + 5s));
  leaf.onUnknownSince(Start + 10s);
  EXPECT_TRUE(leaf.isBound(Start + 17s));
  EXPECT_FALSE(leaf.isBound(Start + 18s));
}

/// Guards against requests just before a leaf turns cold that don't count in
/// the second after it.
TEST(ColdLeaf, RequestsToAWarmLeafUseUpWhatIsSavedForAColdOne) {
  ColdLeaf leaf;
  leaf.setRule(coldLeafRule(8s, 30, Bounds), Start);
  for (int i = 0; i < 40; ++i)
    leaf.onSend(Start + 5s);
  leaf.onStated(Start + 9s);
  EXPECT_EQ(leaf.sendChance(Start + 5s), 0);
}

/// Guards against bounds of the platform that are dropped or taken for others.
TEST(ColdLeaf, TheBoundsAreReadFromTheSettingsOfTheHost) {
  const auto parse = [](const std::string &bounds) {
    return savorytrestle::serve::parsePlatformHostConfig(
        "host: {id: h, failure_domain: a}\nlisten: {callers: '127.0.0.1:1', "
        "readiness: '127.0.0.1:2'}\nplatform: {store: '127.0.0.1:3'}\n"
        "bounds: {stop_grace: 4 s" +
            bounds + "}\n",
        "host.yaml");
  };
  const auto full =
      parse(", warmup_overage: 1.5, warmup_slack: 5, evacuation: 3 s");
  ASSERT_TRUE(full) << full.error().Message;
  EXPECT_EQ(full->Cold.Overage, 1.5);
  EXPECT_EQ(full->Cold.Slack, 5);
  EXPECT_EQ(full->EvacuationTime, 3s);
  const auto without = parse("");
  ASSERT_TRUE(without) << without.error().Message;
  EXPECT_EQ(coldLeafRule(8s, 10, without->Cold).MaxInOneSecond, 10);
  // The feed's waits are as before.
  EXPECT_GE(without->EvacuationTime, 10min);
  EXPECT_FALSE(parse(", warmup_overage: -1"));
  EXPECT_FALSE(parse(", warmup_slack: many"));
}

/// Earlier deployments configure no rate.
TEST(ColdLeaf, WithoutAConfiguredRateNothingIsBound) {
  ColdLeaf leaf;
  leaf.setRule(coldLeafRule(8s, 0, Bounds), Start);
  leaf.onStated(Start + 8s);
  leaf.onUnknownSince(Start);
  for (int i = 0; i < 100; ++i)
    leaf.onSend(Start);
  EXPECT_FALSE(leaf.isBound(Start));
  EXPECT_EQ(leaf.sendChance(Start), 1);
  EXPECT_EQ(leaf.nextSend(Start), Start);
}

} // namespace
