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

constexpr double Rate = 20;
constexpr std::chrono::seconds Window{5};
/// Most requests in a window, as the platform's rule has it.
constexpr std::size_t MostInWindow = (Rate * Window.count() + Rate) * 1.1 + 20;

/// Four hosts in two failure domains, a workspace of 20 requests a second and a
/// very small one.
class RatesTest : public ::testing::Test {
protected:
  void SetUp() override {
    Cluster.FleetStarts = true;
    Plain = &Cluster.addLeaf("i-plain", "plain", "a");
    Cluster.addLeaf("i-shard", "s0", "a");
    auto config = testConfig(3, {"s0"});
    config["tenants"] = {{{"name", "large"},
                          {"apiKeys", {"key-large"}},
                          {"ratePerS", Rate},
                          {"burstSize", Rate}},
                         {{"name", "small"},
                          {"apiKeys", {"key-small"}},
                          {"ratePerS", 0.5},
                          {"burstSize", 0.5}}};
    Cluster.putConfig(config);
    for (const char *domain : {"a", "a", "b", "c"})
      Hosts.push_back(&Cluster.addNode(true, domain));
    for (const NodeProcess *host : Hosts)
      ASSERT_TRUE(eventually(
          [&] { return host->log().find("hosts=4") != std::string::npos; }));
    std::this_thread::sleep_for(1500ms);
  }

  CallerReply request(const NodeProcess &host, const std::string &key) {
    return NodeDeployment::send(
        "GET", host.CallerAddress, "/read/x",
        {{"Host", "a.example"},
         {"Savorytrestle-Request-Id", "r" + std::to_string(++LastRequest)},
         {"Savorytrestle-Deadline-Ms", "2000"},
         {"Authorization", "Token " + key}},
        "");
  }

  /// Sends requests of the large workspace to hosts for some time.
  void press(const std::vector<NodeProcess *> &hosts,
             std::chrono::milliseconds time,
             std::chrono::milliseconds interval) {
    const auto end = SteadyClock::now() + time;
    std::vector<std::thread> callers;
    callers.reserve(hosts.size());
    for (const NodeProcess *host : hosts)
      callers.emplace_back([this, host, end, interval] {
        while (SteadyClock::now() < end) {
          const auto reply = request(*host, "key-large");
          Served += reply.Status == 200 ? 1 : 0;
          Refused += reply.Status == 429 ? 1 : 0;
          if (reply.Status == 429 && reply.Headers.count("retry-after") == 0)
            ++WithoutRetryAfter;
          std::this_thread::sleep_for(interval);
        }
      });
    for (std::thread &caller : callers)
      caller.join();
  }

  std::size_t mostInWindow() {
    const auto all =
        Cluster.runOnStandInThread([&] { return Plain->Arrivals; });
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      while (all[i].At - all[first].At > Window)
        ++first;
      most = std::max(most, i - first + 1);
    }
    return most;
  }

  NodeDeployment Cluster;
  PlatformLeaf *Plain = nullptr;
  std::vector<NodeProcess *> Hosts;
  std::atomic<int> LastRequest = 0;
  std::atomic<int> Served = 0;
  std::atomic<int> Refused = 0;
  std::atomic<int> WithoutRetryAfter = 0;
};

/// Guards against hosts that each give a workspace its whole limit, also after
/// one of them was killed and started again.
TEST_F(RatesTest, AllHostsTogetherKeepAWorkspacesLimit) {
  press(Hosts, 6s, 5ms);
  EXPECT_GT(mostInWindow(), Rate * Window.count() * 0.8);
  Hosts[0]->Child.signal(SIGKILL);
  Hosts[0]->Child.wait();
  Cluster.start(*Hosts[0]);
  press(Hosts, 7s, 5ms);
  EXPECT_LE(mostInWindow(), MostInWindow);
  EXPECT_GT(Refused, 100);
  EXPECT_EQ(WithoutRetryAfter, 0);
  std::printf("most in a window: %zu of %zu; served %d, refused %d\n",
              mostInWindow(), MostInWindow, Served.load(), Refused.load());
}

/// Guards against refusals of workspaces that stay below their limit, with a
/// rate far below one request a second too.
TEST_F(RatesTest, RequestsBelowTheLimitAreServed) {
  press({Hosts[1], Hosts[3]}, 6s, 200ms);
  EXPECT_GE(Served, 40);
  EXPECT_LE(Refused, 1);
  for (const NodeProcess *host : Hosts) {
    EXPECT_EQ(request(*host, "key-small").Status, 200);
    std::this_thread::sleep_for(1s);
  }
  const auto metrics =
      NodeDeployment::get(Hosts[1]->MetricsAddress, "/metrics", {}).Body;
  EXPECT_NE(metrics.find("savorytrestle_quota_admitted{workspace=\"large\"}"),
            std::string::npos);
}

/// Guards against messages that harm a controller.
TEST_F(RatesTest, MalformedMessagesAreRefused) {
  const auto post = [&](const std::string &body) {
    return NodeDeployment::send("POST", Hosts[0]->PeerAddress, "/rates", {},
                                body)
        .Status;
  };
  for (const char *body :
       {"", "{", "[]", R"({"reports":{}})", R"({"reports":[["",1,1]]})",
        R"({"reports":[["large","1",1]]})", R"({"reports":[["large",-1,1]]})",
        R"({"reports":[["large",1,1e99]]})", R"({"reports":[["large",1]]})"})
    EXPECT_EQ(post(body), 400) << body;
  EXPECT_EQ(post(R"({"reports":[["none",1,1]]})"), 200);
  EXPECT_EQ(post(R"({"verdicts":[["none",2,1]],"controller":"h"})"), 400);
  EXPECT_EQ(post(R"({"verdicts":[["none",1,1]],"controller":"h"})"), 200);
}

} // namespace
