#include "NodeDeployment.h"

#include <csignal>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using savorytrestle::testing::eventually;

namespace {

const std::vector<std::string> Shards = {"s0", "s1"};

/// Hosts of one failure domain. The first one (the reader) watches the store
/// and forwards its changes to the others.
class FeedTest : public ::testing::Test {
protected:
  static constexpr int Hosts = 6;

  void SetUp() override {
    for (const std::string &shard : Shards)
      Cluster.addLeaf("i-" + shard, shard);
    Cluster.addLeaf("i-plain", "plain");
    Cluster.putConfig(testConfig(3, Shards));
    for (int i = 0; i < Hosts; ++i)
      Cluster.addNode();
    for (std::size_t i = 1; i < Hosts; ++i)
      ASSERT_TRUE(logged(i, "event=feed_planned first=" + reader().PeerAddress))
          << Cluster.Nodes[i]->log();
  }

  NodeProcess &reader() { return *Cluster.Nodes.front(); }

  bool logged(std::size_t host, const std::string &text) {
    return eventually([&] {
      return Cluster.Nodes[host]->log().find(text) != std::string::npos;
    });
  }

  /// Writes a configuration version and expects it in force on all hosts but
  /// the reader.
  void expectVersionInForce(int version) {
    Cluster.putConfig(testConfig(version, Shards));
    const std::string line = absl::StrCat("config_in_force version=", version);
    for (std::size_t i = 1; i < Hosts; ++i)
      EXPECT_TRUE(logged(i, line)) << Cluster.Nodes[i]->log();
  }

  NodeDeployment Cluster;
};

TEST_F(FeedTest, AChangeReachesHostsThatDoNotReadTheStore) {
  expectVersionInForce(7);
  EXPECT_TRUE(logged(0, "config_in_force version=7"));
}

TEST_F(FeedTest, AKilledReaderIsReplaced) {
  reader().Child.kill();
  expectVersionInForce(7);
}

TEST_F(FeedTest, AStoppedReaderIsReplaced) {
  reader().Child.signal(SIGSTOP);
  expectVersionInForce(7);
  reader().Child.signal(SIGCONT);
  EXPECT_TRUE(logged(0, "config_in_force version=7"));
}

TEST_F(FeedTest, AHostThatStartsDuringAStoreOutageGetsItsStateFromPeers) {
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::Busy);
    return 0;
  });
  NodeProcess &last = *Cluster.Nodes.back();
  last.Child.kill();
  Cluster.start(last);
  EXPECT_TRUE(eventually([&] { return NodeDeployment::ready(last); }))
      << last.log();
  EXPECT_EQ(NodeDeployment::sendRequest(last, "/search/x", "r1").Status, 200);
}

} // namespace
