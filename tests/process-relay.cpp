#include "NodeDeployment.h"

#include <csignal>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using savorytrestle::testing::eventually;

namespace {

/// Eight shards whose leaves are all in failure domain b.
class RelayTest : public ::testing::Test {
protected:
  void SetUp() override {
    std::vector<std::string> shards;
    for (int i = 0; i < 8; ++i) {
      shards.push_back("t" + std::to_string(i));
      Cluster.addLeaf("i-" + shards.back(), shards.back(), "b");
    }
    Cluster.putConfig(testConfig(3, shards));
    RelayHost = &Cluster.addNode(true, "b");
    CallingHost = &Cluster.addNode(true, "a");
    ASSERT_TRUE(logged(*CallingHost, "event=hosts_known"));
  }

  /// Sends a search to the host of domain a; the answer must cover all shards.
  void expectAllShards(const std::string &id) {
    const auto reply =
        NodeDeployment::sendRequest(*CallingHost, "/search/x", id);
    ASSERT_EQ(reply.Status, 200) << CallingHost->log();
    EXPECT_EQ(reply.Headers.at("savorytrestle-missing-parts"), "0");
    const std::string stamps = reply.Headers.at("savorytrestle-part-stamps");
    EXPECT_EQ(std::count(stamps.begin(), stamps.end(), ','), 7);
    EXPECT_EQ(reply.Body.substr(0, 3), "3t7");
  }

  bool logged(const NodeProcess &node, const std::string &text) {
    return eventually(
        [&] { return node.log().find(text) != std::string::npos; });
  }

  NodeDeployment Cluster;
  NodeProcess *RelayHost = nullptr;
  NodeProcess *CallingHost = nullptr;
};

TEST_F(RelayTest, ShardsOfAnotherDomainAreSearchedThroughAHostThere) {
  expectAllShards("r1");
  EXPECT_TRUE(logged(*RelayHost, "request=r1"));
  EXPECT_TRUE(logged(*CallingHost, "event=relay_planned"));
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      EXPECT_EQ(leaf->RunsByRequest["r1"], 1) << leaf->Id;
    return 0;
  });
}

TEST_F(RelayTest, LeavesAreCalledDirectlyWhenTheRelayHostIsGone) {
  RelayHost->Child.kill();
  expectAllShards("r1");
  EXPECT_TRUE(logged(*CallingHost, "event=relay_refused request=r1"));
}

TEST_F(RelayTest, TheAnswerIsCompleteWhenTheRelayHostHasAnotherVersion) {
  RelayHost->Child.signal(SIGSTOP);
  Cluster.putConfig(Cluster.runOnStandInThread([] {
    return testConfig(9, {"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7"});
  }));
  ASSERT_TRUE(logged(*CallingHost, "version=9"));
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::Silent);
    return 0;
  });
  RelayHost->Child.signal(SIGCONT);
  // The answer covers all shards, whichever version the relay host uses.
  expectAllShards("r1");
}

} // namespace
