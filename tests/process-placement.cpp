#include "NodeDeployment.h"

#include <algorithm>
#include <atomic>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Time after which a change in the store must be in force on every host.
constexpr std::chrono::milliseconds ApplyTime{1500};
/// Requests a second that a cold leaf takes, and the most in any one second.
constexpr int ColdRate = 20;
constexpr std::size_t MostInOneSecond = ColdRate * 1.5 + 5;

/// Hosts in three failure domains, a and b in the west and c in the east, and
/// leaves of each service in all of them.
class PlacementTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (const char *domain : {"a", "b", "c"})
      for (const char *service : {"s0", "s1", "plain"})
        Cluster.addLeaf(std::string("i-") + service + domain, service, domain);
    Cluster.putConfig(config(3, {}, {}));
    for (const char *domain : {"a", "a", "b", "c"})
      Hosts.push_back(&Cluster.addNode(true, domain));
    for (const NodeProcess *host : Hosts)
      ASSERT_TRUE(eventually([&] { return logged(*host, "hosts=4"); }));
  }

  void TearDown() override {
    Stop = true;
    for (std::thread &caller : Callers)
      caller.join();
  }

  /// @param read home regions of the route "read"
  /// @param search those of the sharded route
  static nlohmann::json config(int version,
                               const std::vector<std::string> &read,
                               const std::vector<std::string> &search) {
    auto config = testConfig(version, {"s0", "s1"});
    for (auto &route : config["routes"])
      route["allowedRegions"] = route["name"] == "search" ? search : read;
    for (auto &service : config["services"]) {
      service["warmupS"] = 4;
      service["warmupPerS"] = ColdRate;
    }
    return config;
  }

  static bool logged(const NodeProcess &host, const std::string &text) {
    return host.log().find(text) != std::string::npos;
  }

  bool allLogged(const std::string &text) {
    return std::all_of(Hosts.begin(), Hosts.end(), [&](const auto *host) {
      return eventually([&] { return logged(*host, text); });
    });
  }

  template <typename F> auto onStandIns(F f) {
    return Cluster.runOnStandInThread(std::move(f));
  }

  PlatformLeaf &leaf(const std::string &id) {
    return **std::find_if(Cluster.Leaves.begin(), Cluster.Leaves.end(),
                          [&](const auto &it) { return it->Id == id; });
  }

  CallerReply send(const NodeProcess &host, bool search) {
    return NodeDeployment::sendRequest(host, search ? "/search/x" : "/read/x",
                                       "r" + std::to_string(++LastRequest));
  }

  /// Sends requests to all hosts until the end of the test.
  void startLoad() {
    auto hosts = Hosts;
    // The hosts of domain b send most to its leaves: more than cold ones take.
    hosts.insert(hosts.end(), 3, Hosts[2]);
    for (const NodeProcess *host : hosts)
      Callers.emplace_back([this, host] {
        for (int i = 0; !Stop; ++i) {
          ++(send(*host, i % 2 == 0).Status == 200 ? Served : Failed);
          std::this_thread::sleep_for(5ms);
        }
      });
  }

  /// Times of arrivals at the leaves of a failure domain.
  std::vector<SteadyClock::time_point>
  arrivals(const std::string &domain, const std::string &service = "") {
    return onStandIns([&] {
      std::vector<SteadyClock::time_point> times;
      for (const auto &leaf : Cluster.Leaves)
        if (leaf->FailureDomain == domain &&
            (service.empty() || leaf->Service == service))
          for (const auto &arrival : leaf->Arrivals)
            times.push_back(arrival.At);
      std::sort(times.begin(), times.end());
      return times;
    });
  }

  std::size_t arrivalsSince(const std::string &domain,
                            SteadyClock::time_point since) {
    const auto times = arrivals(domain);
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(),
                      [since](const auto at) { return at >= since; }));
  }

  NodeDeployment Cluster;
  std::vector<NodeProcess *> Hosts;
  std::vector<std::thread> Callers;
  std::atomic<bool> Stop{false};
  std::atomic<int> LastRequest{0};
  std::atomic<int> Served{0};
  std::atomic<int> Failed{0};
};

/// Guards against requests that leave their home regions by a hedge, a retry or
/// for want of leaves there.
TEST_F(PlacementTest, RequestsStayInTheirHomeRegions) {
  Cluster.putConfig(config(4, {"east"}, {"west"}));
  ASSERT_TRUE(allLogged("config_in_force version=4"));
  onStandIns([&] {
    leaf("i-plainc").Behavior.Shed = true;
    leaf("i-s0a").Behavior.Fail = true;
    leaf("i-s1b").Behavior.ExecutionTime = 300ms;
    return 0;
  });
  int served = 0;
  for (int i = 0; i < 15; ++i)
    for (const NodeProcess *host : Hosts) {
      const auto refused = send(*host, false);
      EXPECT_EQ(refused.Status, 503);
      served += send(*host, true).Status == 200 ? 1 : 0;
    }
  EXPECT_GT(served, 50);
  EXPECT_GT(arrivals("c", "plain").size(), 0U);
  EXPECT_EQ(arrivals("a", "plain").size() + arrivals("b", "plain").size(), 0U);
  EXPECT_EQ(arrivals("c").size(), arrivals("c", "plain").size());
  // Without any leaf at home a request is refused at once.
  onStandIns([&] {
    Cluster.Store->remove(leaf("i-plainc").key());
    return 0;
  });
  ASSERT_TRUE(allLogged("event=leaf_gone leaf=i-plainc"));
  const auto before = SteadyClock::now();
  const auto refused = send(*Hosts[0], false);
  EXPECT_LT(SteadyClock::now() - before, 200ms);
  EXPECT_EQ(refused.Status, 503);
  EXPECT_EQ(refused.Headers.count("retry-after"), 1U);
  EXPECT_EQ(arrivals("a", "plain").size() + arrivals("b", "plain").size(), 0U);
}

/// Guards against requests to leaves of an evacuated domain, also after the
/// store has come back without its key, and against the full load on its
/// leaves, which may be cold, after the end.
TEST_F(PlacementTest, AnEvacuatedDomainGetsNothingUntilItIsRevoked) {
  startLoad();
  ASSERT_TRUE(eventually([&] { return arrivals("b").size() > 50; }));
  onStandIns([&] {
    Cluster.Store->takeCopy();
    Cluster.Store->put("op/evacuate/b", "not JSON");
    Cluster.Store->put("op/evacuate/elsewhere", "{}");
    return 0;
  });
  std::this_thread::sleep_for(ApplyTime);
  const auto inForce = SteadyClock::now();
  EXPECT_TRUE(allLogged("event=evacuation_begun failure_domain=b known=1"));
  EXPECT_TRUE(
      allLogged("event=evacuation_begun failure_domain=elsewhere known=0"));
  for (const NodeProcess *host : Hosts)
    EXPECT_NE(NodeDeployment::get(host->MetricsAddress, "/metrics", {})
                  .Body.find("savorytrestle_evacuated_domains 1"),
              std::string::npos);
  const int failedBefore = Failed;
  onStandIns([&] {
    Cluster.Store->setFault(StoreFault::Busy);
    Cluster.Store->dropConnections();
    return 0;
  });
  std::this_thread::sleep_for(500ms);
  onStandIns([&] {
    Cluster.Store->restoreCopy();
    Cluster.Store->setFault(StoreFault::None);
    return 0;
  });
  EXPECT_TRUE(allLogged("event=store_era_rose era=2"));
  // A host that starts now finds no key in the store.
  Hosts.push_back(&Cluster.addNode(true, "b"));
  std::this_thread::sleep_for(1s);
  for (int i = 0; i < 20; ++i)
    send(*Hosts.back(), i % 2 == 0);
  std::this_thread::sleep_for(1s);
  EXPECT_EQ(arrivalsSince("b", inForce), 0U);
  EXPECT_GT(arrivalsSince("a", inForce), 50U);
  EXPECT_EQ(Failed, failedBefore);
  // Only a removal in the new era ends it.
  const auto revoked = SteadyClock::now();
  onStandIns([&] {
    Cluster.Store->put("op/evacuate/b", "{}");
    Cluster.Store->remove("op/evacuate/b");
    return 0;
  });
  EXPECT_TRUE(allLogged("event=evacuation_ended failure_domain=b"));
  std::this_thread::sleep_for(3s);
  const auto returned = arrivals("b", "plain");
  const auto first =
      std::lower_bound(returned.begin(), returned.end(), revoked);
  // They are drawn at 1.7 a second, host and leaf: none in 3 s at any of three
  // leaves is less likely than one in a million, with one host alone.
  EXPECT_GT(arrivalsSince("b", revoked), 0U);
  for (auto it = first; it != returned.end(); ++it)
    EXPECT_LE(std::count_if(it, returned.end(),
                            [&](const auto at) { return at - *it < 1s; }),
              MostInOneSecond);
  // It gets its usual load after the warm-up.
  std::this_thread::sleep_for(2s);
  const auto warm = SteadyClock::now();
  EXPECT_TRUE(eventually([&] { return arrivalsSince("b", warm) > 100; }));
}

} // namespace
