#include "NodeDeployment.h"

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;

namespace {

/// Seven hosts in three failure domains; those of domain a follow one of them.
/// Requests come all the time. The store comes back from a copy while a new
/// configuration and the drain of a leaf are not in it.
class StoreEraNodeTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (const char *domain : {"a", "b", "c"})
      for (const char *service : {"s0", "s1", "plain", "moved"})
        Cluster.addLeaf(std::string("i-") + service + domain, service, domain);
    Cluster.putConfig(config(3, "plain"));
    for (const char *domain : {"a", "a", "a", "a", "a", "b", "c"})
      Cluster.addNode(true, domain);
    ASSERT_TRUE(eventually([&] { return hostEntries() == Hosts; }));
  }

  static constexpr std::size_t Hosts = 7;

  /// The route "read" goes to the given service.
  static nlohmann::json config(int version, const std::string &service) {
    auto config = testConfig(version, {"s0", "s1"});
    config["services"].push_back({{"name", "moved"},
                                  {"healthCheckPath", "/health"},
                                  {"maxConnections", 41},
                                  {"protocol", "h1"},
                                  {"tls", false}});
    for (auto &route : config["routes"])
      if (route["name"] == "read")
        route["service"] = service;
    return config;
  }

  template <typename F> auto onStandIns(F f) {
    return Cluster.runOnStandInThread(std::move(f));
  }

  std::size_t hostEntries() {
    return onStandIns([&] { return Cluster.Store->count("hosts/"); });
  }

  PlatformLeaf &leaf(const std::string &id) {
    return **std::find_if(Cluster.Leaves.begin(), Cluster.Leaves.end(),
                          [&](const auto &it) { return it->Id == id; });
  }

  bool allLogged(const std::string &text) {
    return std::all_of(Cluster.Nodes.begin(), Cluster.Nodes.end(),
                       [&](const auto &node) {
                         return eventually([&] {
                           return node->log().find(text) != std::string::npos;
                         });
                       });
  }

  /// Arrivals at all leaves of a service since a time.
  std::size_t arrivalsSince(const std::string &service,
                            std::chrono::steady_clock::time_point since) {
    return onStandIns([&] {
      std::size_t n = 0;
      for (const auto &leaf : Cluster.Leaves)
        if (leaf->Service == service)
          n += static_cast<std::size_t>(
              std::count_if(leaf->Arrivals.begin(), leaf->Arrivals.end(),
                            [&](const auto &it) { return it.At >= since; }));
      return n;
    });
  }

  NodeDeployment Cluster;
};

TEST_F(StoreEraNodeTest, NothingGoesBackWhenTheStoreComesBackFromACopy) {
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::thread load([&] {
    for (int i = 0; !stop; ++i) {
      const auto &host = *Cluster.Nodes[static_cast<std::size_t>(i) % Hosts];
      const auto id = "r" + std::to_string(i);
      const int status =
          NodeDeployment::sendRequest(host, i % 2 ? "/read/x" : "/search/x", id)
              .Status;
      ++(status == 200 ? served : failed);
    }
  });
  onStandIns([&] {
    Cluster.Store->takeCopy();
    return 0;
  });
  Cluster.putConfig(config(7, "moved"));
  onStandIns([&] {
    const auto &drained = leaf("i-s0a");
    Cluster.Store->put(drained.key(), drained.entry(true));
    return 0;
  });
  EXPECT_TRUE(allLogged("config_in_force version=7"));
  EXPECT_TRUE(allLogged("leaf=i-s0a service=s0"));
  EXPECT_TRUE(allLogged("draining=1"));
  std::this_thread::sleep_for(300ms);
  const auto inForce = std::chrono::steady_clock::now();
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
  EXPECT_TRUE(eventually([&] { return hostEntries() == Hosts; }));
  // A host that starts before the operator has written the version again.
  NodeProcess &started = Cluster.addNode(true, "b");
  EXPECT_TRUE(eventually([&] {
    return started.log().find("config_in_force version=7") != std::string::npos;
  })) << started.log();
  std::this_thread::sleep_for(1s);
  stop = true;
  load.join();
  EXPECT_EQ(arrivalsSince("plain", inForce), 0U);
  EXPECT_EQ(onStandIns([&] {
              const auto &arrivals = leaf("i-s0a").Arrivals;
              return std::count_if(
                  arrivals.begin(), arrivals.end(),
                  [&](const auto &it) { return it.At >= inForce; });
            }),
            0);
  EXPECT_EQ(failed, 0);
  EXPECT_GT(served, 100);
  // Changes written in the new era reach all hosts.
  Cluster.putConfig(config(9, "plain"));
  EXPECT_TRUE(allLogged("config_in_force version=9"));
}

} // namespace
