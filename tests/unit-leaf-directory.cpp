#include "leaf/LeafDirectory.h"

#include "leaf/LeafChoice.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace std::chrono_literals;

namespace {

core::ServingConfig configOf(const std::string &service, int connections) {
  core::ServingConfig config;
  config.Services.push_back({});
  config.Services.back().Name = service;
  config.Services.back().MaxConnections = connections;
  return config;
}

core::LeafEntry entry(const std::string &id, const std::string &domain) {
  core::LeafEntry leaf;
  leaf.Id = id;
  leaf.Service = "s";
  leaf.Address = "127.0.0.1:1";
  leaf.FailureDomain = domain;
  leaf.Slots = 5;
  return leaf;
}

/// Number of connections that this host may open to the leaf.
std::size_t connectionLimit(leaf::Leaf &leaf) {
  std::vector<std::shared_ptr<leaf::LeafConnection>> open;
  while (auto connection = leaf.acquireConnection())
    open.push_back(std::move(connection));
  return open.size();
}

/// During the joint start a host assumes at least 8 hosts. Without another
/// update of the shares afterwards, two hosts would keep the shares of eight
/// and leave most of a leaf's connections unused.
TEST(LeafDirectory, UpdatesConnectionSharesAfterTheJointStart) {
  boost::asio::io_context io;
  leaf::LeafDirectory leaves(io, {"a", {{"a", "w"}, {"b", "w"}}},
                             {0.2, 54, 10s});
  leaves.applyConfig(configOf("s", 40));
  leaves.putLeaf(entry("near", "a"));
  leaves.setHostCounts({{"a", 1}, {"b", 1}});
  auto &leaf = *leaves.service("s").Leaves.front();
  const std::size_t atFirst = connectionLimit(leaf);
  io.run(); // returns when the joint start is over
  EXPECT_GT(connectionLimit(leaf), atFirst);
}

/// Guards against a leaf that gets requests again during its silence, or more
/// than it named, since its entry lapsed for a moment.
TEST(LeafDirectory, WhatALeafNamedOutlivesItsEntry) {
  boost::asio::io_context io;
  leaf::LeafDirectory leaves(io, {"a", {{"a", "west"}}}, {0.2, 54, 10s});
  leaf::Service &service = leaves.service("s");
  core::LeafEntry run = entry("i-1", "a");
  run.StartedAt = 1700000000000;
  leaves.putLeaf(run);
  EXPECT_TRUE(leaf::reachable(service, 0));
  leaves.pauseLeaf(*service.Leaves.front(), 1min);
  leaves.applyRateLimit(*service.Leaves.front(), 20);
  leaves.removeLeaf("i-1");
  leaves.putLeaf(run);
  EXPECT_FALSE(leaf::reachable(service, 0));
  EXPECT_EQ(leaves.limitedLeafCount(), 1U);
  // Another run of the leaf has said nothing.
  run.StartedAt += 1;
  leaves.putLeaf(run);
  EXPECT_TRUE(leaf::reachable(service, 0));
  EXPECT_EQ(leaves.limitedLeafCount(), 0U);
}

class PeerChoiceTest : public ::testing::Test {
protected:
  /// Hosts h-a and h-b in this region, h-c in another.
  void setHosts(const std::set<std::string> &withoutLeaves) {
    Leaves.setPeers({entry("h-a", "a"), entry("h-b", "b"), entry("h-c", "c")},
                    withoutLeaves);
  }

  std::string choose(const std::vector<const leaf::Service *> &tried = {}) {
    const leaf::Service *const peers = Leaves.reachablePeers({}, tried);
    return peers ? peers->Name : "";
  }

  boost::asio::io_context Io;
  leaf::LeafDirectory Leaves{
      Io, {"a", {{"a", "west"}, {"b", "west"}, {"c", "east"}}}, {0.2, 54, 10s}};
};

TEST_F(PeerChoiceTest, TheNearestHostsComeFirst) {
  EXPECT_EQ(choose(), "");
  setHosts({});
  EXPECT_EQ(choose(), "/hosts/a");
  EXPECT_EQ(choose({&Leaves.peersOf("a")}), "/hosts/b");
  EXPECT_EQ(choose({&Leaves.peersOf("a"), &Leaves.peersOf("b")}), "/hosts/c");
}

TEST_F(PeerChoiceTest, ADomainIsTriedAgainIfThereIsNoOther) {
  setHosts({"h-b", "h-c"});
  EXPECT_EQ(choose({&Leaves.peersOf("a")}), "/hosts/a");
}

/// Guards against forwards to the other hosts of a failure domain that has lost
/// the leaves as a whole.
TEST_F(PeerChoiceTest, HostsThatReachNoLeafThemselvesAreLeftOut) {
  setHosts({"h-a", "h-b"});
  EXPECT_EQ(choose(), "/hosts/c");
  setHosts({"h-a", "h-b", "h-c"});
  EXPECT_EQ(choose(), "");
  setHosts({});
  EXPECT_EQ(choose(), "/hosts/a");
}

} // namespace
