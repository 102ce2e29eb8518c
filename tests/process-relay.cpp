#include "NodeDeployment.h"
#include "support/LogRateLimiter.h"
#include "support/SocketOptions.h"

#include <csignal>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

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

/// Sends a search that claims to be a relay for one shard from an address that
/// no host has, and returns all that comes back.
std::string sendForgedRelay(const std::string &address, const std::string &id) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::socket socket(io, tcp::v4());
  socket.bind({boost::asio::ip::make_address("127.0.0.2"), 0});
  tcp::endpoint endpoint;
  EXPECT_TRUE(support::parseEndpoint(address, endpoint));
  socket.connect(endpoint);
  const std::string request = "GET /search/x HTTP/1.1\r\nHost: a.example\r\n"
                              "Connection: close\r\n"
                              "Relay-Config-Version: 3\r\nRelay-Shards: 0\r\n"
                              "Savorytrestle-Deadline-Ms: 2000\r\n"
                              "Savorytrestle-Request-Id: " +
                              id + "\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string reply;
  boost::system::error_code ec; // the end of the connection
  boost::asio::read(socket, boost::asio::dynamic_buffer(reply), ec);
  return reply;
}

/// Guards against callers that lift the least share of shards with the headers
/// that hosts use among each other.
TEST_F(RelayTest, RelayHeadersOfACallerAreIgnored) {
  const auto reply = sendForgedRelay(RelayHost->CallerAddress, "r1");
  EXPECT_NE(reply.find("Missing-Parts: 0"), std::string::npos) << reply;
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      EXPECT_EQ(leaf->RunsByRequest["r1"], 1) << leaf->Id;
    return 0;
  });
}

TEST_F(RelayTest, ARelayFromNoHostIsRefusedAndNotRun) {
  const auto reply = sendForgedRelay(RelayHost->PeerAddress, "r1");
  EXPECT_EQ(reply.substr(0, 12), "HTTP/1.1 503") << reply;
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      EXPECT_EQ(leaf->RunsByRequest.count("r1"), 0U) << leaf->Id;
    return 0;
  });
  EXPECT_TRUE(logged(*RelayHost, "event=host_request_refused"));
}

/// Guards against a flood of refused messages that fills the log.
TEST_F(RelayTest, RefusedMessagesOfOneSecondTakeABoundedNumberOfLogLines) {
  constexpr int Messages = 1000;
  const auto before = std::chrono::steady_clock::now();
  for (int i = 0; i < Messages; ++i)
    sendForgedRelay(RelayHost->PeerAddress, "r" + std::to_string(i));
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(
      std::chrono::steady_clock::now() - before);
  const std::string log = RelayHost->log();
  std::int64_t lines = 0;
  for (auto at = log.find("event=host_request_refused");
       at != std::string::npos;
       at = log.find("event=host_request_refused", at + 1))
    ++lines;
  EXPECT_LE(lines,
            support::LogRateLimiter::LinesPerSecond * (seconds.count() + 1));
}

} // namespace
