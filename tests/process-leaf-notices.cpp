#include "NodeDeployment.h"

#include <csignal>
#include <thread>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;

namespace {

/// Two leaves of one service, the first in the failure domain of the host.
class LeafNoticeTest : public ::testing::Test {
protected:
  void SetUp() override {
    Near = &Cluster.addLeaf("i-near", "plain", "a");
    Far = &Cluster.addLeaf("i-far", "plain", "c");
    Cluster.addLeaf("i-shard", "s0", "a");
    Cluster.putConfig(testConfig(3, {"s0"}));
    Host = &Cluster.addNode();
  }

  template <typename F> auto onStandIns(F f) {
    return Cluster.runOnStandInThread(std::move(f));
  }

  void setBehavior(PlatformLeaf &leaf, const LeafBehavior &behavior) {
    onStandIns([&] {
      leaf.Behavior = behavior;
      return 0;
    });
  }

  std::size_t arrivals(PlatformLeaf &leaf) {
    return onStandIns([&] { return leaf.Arrivals.size(); });
  }

  /// Ids of the requests that came to a leaf, in their order.
  std::vector<std::string> arrivedIds(PlatformLeaf &leaf) {
    return onStandIns([&] {
      std::vector<std::string> ids;
      for (const auto &arrival : leaf.Arrivals)
        ids.push_back(arrival.RequestId);
      return ids;
    });
  }

  /// Sends a request that may be repeated; returns its answer.
  CallerReply read(const NodeProcess &host,
                   std::chrono::milliseconds deadline = 5s) {
    return NodeDeployment::sendRequest(
        host, "/read/x", "r" + std::to_string(++LastRequest), deadline);
  }

  /// Writes the leaf's entry again, as its next report does.
  void putEntry(const PlatformLeaf &leaf) {
    onStandIns([&] {
      Cluster.Store->put(leaf.key(), leaf.entry());
      return 0;
    });
  }

  bool logged(const NodeProcess &host, const std::string &text) {
    return eventually(
        [&] { return host.log().find(text) != std::string::npos; });
  }

  NodeDeployment Cluster;
  PlatformLeaf *Near = nullptr;
  PlatformLeaf *Far = nullptr;
  NodeProcess *Host = nullptr;
  int LastRequest = 0;
};

/// Guards against sending requests to a leaf that announced its shutdown in an
/// answer while its entry is still ready.
TEST_F(LeafNoticeTest, ALeafThatSaysItIsLeavingGetsNoFurtherRequests) {
  LeafBehavior leaving;
  leaving.Leaving = true;
  setBehavior(*Near, leaving);
  EXPECT_EQ(read(*Host).Status, 200);
  ASSERT_EQ(arrivals(*Near), 1U);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(read(*Host).Status, 200);
  // A report that still shows it as ready changes nothing, nor does a reload.
  putEntry(*Near);
  Host->Child.signal(SIGHUP);
  ASSERT_TRUE(logged(*Host, "event=reload"));
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(read(*Host).Status, 200);
  EXPECT_EQ(arrivals(*Near), 1U);
}

TEST_F(LeafNoticeTest, ALeafStaysLeftWhenItsEntryIsRemovedAndListedAgain) {
  LeafBehavior leaving;
  leaving.Leaving = true;
  setBehavior(*Near, leaving);
  EXPECT_EQ(read(*Host).Status, 200);
  onStandIns([&] {
    Cluster.Store->remove(Near->key());
    return 0;
  });
  ASSERT_TRUE(logged(*Host, "event=leaf_gone leaf=i-near"));
  putEntry(*Near);
  std::this_thread::sleep_for(1500ms);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(read(*Host).Status, 200);
  EXPECT_EQ(arrivals(*Near), 1U);
  // A new start of its process is another run.
  onStandIns([&] {
    auto entry = nlohmann::json::parse(Near->entry());
    entry["born"] = 1700000000000;
    Near->Behavior = {};
    Cluster.Store->put(Near->key(), entry.dump());
    return 0;
  });
  EXPECT_TRUE(eventually([&] {
    read(*Host);
    return arrivals(*Near) > 1;
  }));
}

TEST_F(LeafNoticeTest, OtherHostsLeaveTheLeafToo) {
  NodeProcess &other = Cluster.addNode();
  ASSERT_TRUE(logged(*Host, "hosts=2"));
  LeafBehavior leaving;
  leaving.Leaving = true;
  setBehavior(*Near, leaving);
  EXPECT_EQ(read(*Host).Status, 200);
  ASSERT_TRUE(logged(other, "event=leaf_leaving leaf=i-near"));
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(read(other).Status, 200);
  EXPECT_EQ(arrivedIds(*Near), std::vector<std::string>{"r1"})
      << Host->log() << "other host:\n"
      << other.log();
}

TEST_F(LeafNoticeTest, RequestsAreRefusedAtOnceWhenAllLeavesAreLeaving) {
  LeafBehavior leaving;
  leaving.Leaving = true;
  for (PlatformLeaf *leaf : {Near, Far}) {
    setBehavior(*leaf, leaving);
    EXPECT_EQ(read(*Host).Status, 200);
  }
  const auto before = std::chrono::steady_clock::now();
  const auto reply = read(*Host);
  EXPECT_EQ(reply.Status, 503);
  EXPECT_EQ(reply.Headers.count("retry-after"), 1U);
  EXPECT_LT(std::chrono::steady_clock::now() - before, 500ms);
  EXPECT_EQ(arrivals(*Near) + arrivals(*Far), 2U);
}

/// Guards against further requests to a leaf that asked for a pause.
TEST_F(LeafNoticeTest, ALeafThatTurnsARequestAwayIsLeftAloneForTheTimeItNames) {
  LeafBehavior full;
  full.RetryAfter = "1.5";
  setBehavior(*Near, full);
  EXPECT_EQ(read(*Host).Status, 200);
  const auto turnedAway = std::chrono::steady_clock::now();
  ASSERT_EQ(arrivals(*Near), 1U);
  while (std::chrono::steady_clock::now() - turnedAway < 1300ms) {
    EXPECT_EQ(read(*Host).Status, 200);
    EXPECT_EQ(arrivals(*Near), 1U);
  }
  setBehavior(*Near, {});
  EXPECT_TRUE(eventually([&] {
    read(*Host);
    return arrivals(*Near) > 3;
  }));
}

TEST_F(LeafNoticeTest, ValuesThatAreNoTimeAreIgnored) {
  LeafBehavior full;
  full.RetryAfter = "Fri, 04 Dec 2026 09:00:00 GMT";
  setBehavior(*Near, full);
  EXPECT_EQ(read(*Host).Status, 200);
  setBehavior(*Near, {});
  EXPECT_EQ(Host->log().find("event=leaf_paused"), std::string::npos);
}

TEST_F(LeafNoticeTest, RefusalsSayWhenTheFirstSilentLeafTakesRequestsAgain) {
  LeafBehavior full;
  full.RetryAfter = "3";
  setBehavior(*Near, full);
  full.RetryAfter = "1.2";
  setBehavior(*Far, full);
  EXPECT_EQ(read(*Host).Status, 503);
  const auto reply = read(*Host, 1900ms);
  ASSERT_EQ(reply.Status, 503);
  // At most a third of the time left.
  EXPECT_LE(std::stod(reply.Headers.at("retry-after")), 1.9 / 3);
  EXPECT_GT(std::stod(reply.Headers.at("retry-after")), 0.4);
  EXPECT_EQ(arrivals(*Near) + arrivals(*Far), 2U);
}

} // namespace
