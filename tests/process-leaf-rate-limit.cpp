#include "NodeDeployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Requests a second that the leaf names.
constexpr double Limit = 20;
constexpr std::chrono::seconds Window{4};
/// Most requests in a window, as the platform's rule has it.
constexpr std::size_t MostInWindow = 1.5 * Limit * Window.count() + 5;

/// Three hosts, of which two share the failure domain of the limited leaf.
class LeafRateLimitTest : public ::testing::Test {
protected:
  void SetUp() override {
    Limited = &Cluster.addLeaf("i-limited", "plain", "a");
    Cluster.addLeaf("i-other", "plain", "c");
    Cluster.addLeaf("i-shard", "s0", "a");
    Cluster.putConfig(testConfig(3, {"s0"}));
    for (const char *domain : {"a", "a", "c"})
      Hosts.push_back(&Cluster.addNode(true, domain));
    for (const NodeProcess *host : Hosts)
      ASSERT_TRUE(eventually(
          [&] { return host->log().find("hosts=3") != std::string::npos; }));
  }

  void nameLimit(const std::string &limit) {
    Cluster.runOnStandInThread([&] {
      Limited->Behavior.RateLimit = limit;
      return 0;
    });
  }

  std::vector<PlatformLeaf::Arrival> arrivals() {
    return Cluster.runOnStandInThread([&] { return Limited->Arrivals; });
  }

  /// Sends requests to all hosts, far more than the limit, for some time.
  void press(std::chrono::milliseconds time) {
    const auto end = SteadyClock::now() + time;
    std::vector<std::thread> callers;
    for (const NodeProcess *host : Hosts)
      callers.emplace_back([this, host, end] {
        while (SteadyClock::now() < end) {
          const auto reply = NodeDeployment::sendRequest(
              *host, "/read/x", "r" + std::to_string(++LastRequest));
          Served += reply.Status == 200 ? 1 : 0;
          Failed += reply.Status == 200 ? 0 : 1;
          std::this_thread::sleep_for(8ms);
        }
      });
    for (std::thread &caller : callers)
      caller.join();
  }

  /// Most arrivals at the limited leaf in any window that begins after a time.
  std::size_t mostInWindow(SteadyClock::time_point after) {
    const auto all = arrivals();
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (all[i].At < after) {
        first = i + 1;
        continue;
      }
      while (all[i].At - all[first].At > Window)
        ++first;
      most = std::max(most, i - first + 1);
    }
    return most;
  }

  NodeDeployment Cluster;
  PlatformLeaf *Limited = nullptr;
  std::vector<NodeProcess *> Hosts;
  std::atomic<int> LastRequest = 0;
  std::atomic<int> Served = 0;
  std::atomic<int> Failed = 0;
};

/// Guards against hosts that together send a leaf more than it names.
TEST_F(LeafRateLimitTest, AllHostsTogetherKeepTheLimitOfALeaf) {
  nameLimit(std::to_string(Limit));
  press(500ms);
  const auto known = SteadyClock::now();
  press(6s);
  EXPECT_LE(mostInWindow(known), MostInWindow);
  // It still gets a fair part of what it takes.
  EXPECT_GT(mostInWindow(known), Limit * Window.count() / 4);
  EXPECT_EQ(Failed, 0);
}

/// Guards against a restarted host that sends without a limit until the leaf
/// has answered it.
TEST_F(LeafRateLimitTest, ARestartedHostKnowsTheLimitBeforeItsFirstRequest) {
  nameLimit("1");
  press(500ms);
  std::this_thread::sleep_for(3s);
  for (NodeProcess *host : {Hosts[0], Hosts[1]}) {
    host->Child.signal(SIGKILL);
    host->Child.wait();
    Cluster.start(*host);
    ASSERT_TRUE(eventually([&] { return NodeDeployment::ready(*host); }));
    const std::size_t before = arrivals().size();
    for (int i = 0; i < 20; ++i)
      NodeDeployment::sendRequest(*host, "/read/x",
                                  "again" + std::to_string(++LastRequest));
    EXPECT_LE(arrivals().size() - before, 1U);
  }
}

TEST_F(LeafRateLimitTest, ALimitEndsWithTheFirstAnswerThatNamesNone) {
  nameLimit("5");
  press(500ms);
  nameLimit("");
  const std::size_t before = arrivals().size();
  EXPECT_TRUE(eventually([&] {
    press(200ms);
    return arrivals().size() - before > 50;
  }));
}

/// Guards against a limit that comes back from hosts which read it long ago.
TEST_F(LeafRateLimitTest, AHostThatSendsNothingLearnsThatALimitHasEnded) {
  nameLimit("5");
  press(500ms);
  const auto limited = [](const NodeProcess &host) {
    return NodeDeployment::get(host.MetricsAddress, "/metrics", {})
               .Body.find("savorytrestle_limited_leaves 1") !=
           std::string::npos;
  };
  for (const NodeProcess *host : Hosts)
    ASSERT_TRUE(eventually([&] {
      press(100ms);
      return limited(*host);
    }));
  std::this_thread::sleep_for(4s);
  nameLimit("");
  for (int i = 0; i < 40; ++i)
    NodeDeployment::sendRequest(*Hosts[0], "/read/x",
                                "ended" + std::to_string(++LastRequest));
  for (const NodeProcess *host : Hosts)
    EXPECT_TRUE(eventually([&] { return !limited(*host); })) << host->Id;
  std::this_thread::sleep_for(3s);
  for (const NodeProcess *host : Hosts)
    EXPECT_FALSE(limited(*host)) << host->Id;
}

TEST_F(LeafRateLimitTest, ValuesThatAreNoRateAreIgnored) {
  for (const char *limit : {"a few", "-1", "1e999", "nan", "inf", ""}) {
    nameLimit(limit);
    press(300ms);
    const std::size_t before = arrivals().size();
    press(300ms);
    EXPECT_GT(arrivals().size() - before, 10U) << limit;
  }
  EXPECT_EQ(Hosts[0]->log().find("event=leaf_rate_limit"), std::string::npos);
}

/// Guards against requests that wait although no leaf takes them.
TEST_F(LeafRateLimitTest,
       RequestsAreRefusedAtOnceWhenAllLeavesAreAtTheirLimit) {
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      leaf->Behavior.RateLimit = "1";
    return 0;
  });
  press(500ms);
  const auto before = SteadyClock::now();
  CallerReply reply;
  for (int i = 0; i < 20 && reply.Status != 503; ++i)
    reply = NodeDeployment::sendRequest(*Hosts[0], "/read/x",
                                        "r" + std::to_string(++LastRequest));
  EXPECT_EQ(reply.Status, 503);
  EXPECT_EQ(reply.Headers.count("retry-after"), 1U);
  EXPECT_LT(SteadyClock::now() - before, 1s);
}

} // namespace
