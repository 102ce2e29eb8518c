#include "NodeDeployment.h"

#include <csignal>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "support/LogRateLimiter.h"
#include "support/SocketOptions.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;

namespace {

const std::vector<std::string> Shards = {"s0", "s1", "s2", "s3"};

class NodeTest : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Cluster.StoreOpen);
    for (const std::string &shard : Shards)
      for (const char *domain : {"a", "b"})
        Cluster.addLeaf("i-" + shard + domain, shard, domain);
    for (const char *domain : {"a", "b"})
      Cluster.addLeaf(std::string("i-plain") + domain, "plain", domain);
    Cluster.putConfig(testConfig(3, Shards));
  }

  /// Number of times that the leaves executed a request.
  int runs(const std::string &id) {
    return Cluster.runOnStandInThread([&] {
      int n = 0;
      for (const auto &leaf : Cluster.Leaves)
        if (const auto it = leaf->RunsByRequest.find(id);
            it != leaf->RunsByRequest.end())
          n += it->second;
      return n;
    });
  }

  void setBehavior(const std::string &service, const LeafBehavior &behavior) {
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        if (leaf->Service == service)
          leaf->Behavior = behavior;
      return 0;
    });
  }

  NodeDeployment Cluster;
};

TEST_F(NodeTest, ASearchReturnsTheGreatestRecordsOfAllShards) {
  const auto &node = Cluster.addNode();
  const auto reply = NodeDeployment::sendRequest(node, "/search/x", "r1");
  ASSERT_EQ(reply.Status, 200) << node.log();
  EXPECT_EQ(reply.Headers.at("savorytrestle-missing-parts"), "0");
  std::string expected;
  for (const char *record : {"3s3", "3s2", "3s1", "3s0"}) {
    std::string padded = record;
    padded.resize(16, '.');
    expected += padded;
  }
  EXPECT_EQ(reply.Body, expected);
  const std::string stamps = reply.Headers.at("savorytrestle-part-stamps");
  EXPECT_EQ(std::count(stamps.begin(), stamps.end(), ','), 3);
}

TEST_F(NodeTest, AFailedShardIsCountedAsMissing) {
  const auto &node = Cluster.addNode();
  LeafBehavior failing;
  failing.Fail = true;
  setBehavior("s1", failing);
  const auto reply = NodeDeployment::sendRequest(node, "/search/x", "r1");
  ASSERT_EQ(reply.Status, 200) << node.log();
  EXPECT_EQ(reply.Headers.at("savorytrestle-missing-parts"), "1");
  EXPECT_EQ(reply.Body.find("s1"), std::string::npos);
}

TEST_F(NodeTest, ASearchBelowTheMinimumShardShareFails) {
  const auto &node = Cluster.addNode();
  LeafBehavior failing;
  failing.Fail = true;
  for (const char *shard : {"s1", "s2", "s3"})
    setBehavior(shard, failing);
  EXPECT_EQ(NodeDeployment::sendRequest(node, "/search/x", "r1").Status, 502);
}

TEST_F(NodeTest, ARequestToAnUnresponsiveLeafIsHedged) {
  const auto &node = Cluster.addNode();
  LeafBehavior unresponsive;
  unresponsive.NeverAnswer = true;
  Cluster.runOnStandInThread([&] {
    Cluster.Leaves.front()->Behavior =
        unresponsive; // s0 in the failure domain of the host
    return 0;
  });
  const auto reply = NodeDeployment::sendRequest(node, "/search/x", "r1");
  ASSERT_EQ(reply.Status, 200) << node.log();
  EXPECT_EQ(reply.Headers.at("savorytrestle-missing-parts"), "0");
  // The attempt at the unresponsive leaf is cancelled.
  EXPECT_TRUE(eventually([&] {
    return Cluster.runOnStandInThread(
        [&] { return Cluster.Leaves.front()->AbortedRequests == 1; });
  }));
}

TEST_F(NodeTest, ANonIdempotentRequestIsNeverRetried) {
  const auto &node = Cluster.addNode();
  LeafBehavior failing;
  failing.Fail = true;
  setBehavior("plain", failing);
  const auto failed = NodeDeployment::sendRequest(node, "/file/x", "w1", 5s,
                                                  "POST", "price=4200");
  EXPECT_EQ(failed.Status, 500);
  EXPECT_EQ(runs("w1"), 1);
  LeafBehavior unresponsive;
  unresponsive.NeverAnswer = true;
  setBehavior("plain", unresponsive);
  EXPECT_EQ(
      NodeDeployment::sendRequest(node, "/file/x", "w2", 300ms, "POST", "a")
          .Status,
      504);
  EXPECT_EQ(runs("w2"), 1);
}

TEST_F(NodeTest, ARefusedRequestIsNotExecuted) {
  const auto &node = Cluster.addNode();
  LeafBehavior full;
  full.Shed = true;
  setBehavior("plain", full);
  const auto reply =
      NodeDeployment::sendRequest(node, "/file/x", "w1", 5s, "POST", "a");
  EXPECT_EQ(reply.Status, 503);
  EXPECT_EQ(reply.Headers.count("retry-after"), 1U);
  EXPECT_EQ(runs("w1"), 0);
}

TEST_F(NodeTest, BodiesAreForwardedUnchanged) {
  const auto &node = Cluster.addNode();
  std::string body(200000, '\0');
  for (std::size_t i = 0; i < body.size(); ++i)
    body[i] = static_cast<char>(i * 7);
  const auto reply =
      NodeDeployment::sendRequest(node, "/file/x", "w1", 5s, "POST", body);
  ASSERT_EQ(reply.Status, 200) << node.log();
  EXPECT_EQ(reply.Body, body);
}

TEST_F(NodeTest, ADrainingLeafGetsNoFurtherRequests) {
  const auto &node = Cluster.addNode();
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      if (leaf->Id == "i-plaina")
        Cluster.Store->put(leaf->key(), leaf->entry(true));
    return 0;
  });
  ASSERT_TRUE(eventually(
      [&] { return node.log().find("draining=1") != std::string::npos; }));
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(
        NodeDeployment::sendRequest(node, "/read/x", "r" + std::to_string(i))
            .Status,
        200);
  const auto atDraining = Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      if (leaf->Id == "i-plaina")
        return leaf->RunsByRequest.size();
    return std::size_t{99};
  });
  EXPECT_EQ(atDraining, 0U);
}

TEST_F(NodeTest, LeavesWhoseEntriesLapseTogetherAreKeptForAGracePeriod) {
  const auto &node = Cluster.addNode();
  ASSERT_EQ(NodeDeployment::sendRequest(node, "/search/x", "r1").Status, 200);
  // While the store is silent, the watch gets no events; afterwards it gets all
  // removals in one answer.
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::Silent);
    for (const auto &leaf : Cluster.Leaves)
      Cluster.Store->remove(leaf->key());
    Cluster.Store->setFault(StoreFault::None);
    Cluster.Store->put("servers/other", "{}");
    return 0;
  });
  ASSERT_TRUE(eventually([&] {
    return node.log().find("leaf_entry_skipped") != std::string::npos;
  }));
  EXPECT_EQ(NodeDeployment::sendRequest(node, "/search/x", "r2").Status, 200);
  // Leaves that do not return within the grace period are removed.
  EXPECT_TRUE(eventually([&] {
    return NodeDeployment::sendRequest(node, "/search/x", "r3").Status == 503;
  }));
}

TEST_F(NodeTest, ANewVersionIsInForceAndOlderOnesAreIgnored) {
  const auto &node = Cluster.addNode();
  Cluster.putConfig(testConfig(9, {"s0", "s1"}));
  const auto shardsOf = [&](const std::string &id) {
    const auto reply = NodeDeployment::sendRequest(node, "/search/x", id);
    const auto it = reply.Headers.find("savorytrestle-part-stamps");
    return it == reply.Headers.end()
               ? 0
               : std::count(it->second.begin(), it->second.end(), ',') + 1;
  };
  int n = 0;
  EXPECT_TRUE(
      eventually([&] { return shardsOf("a" + std::to_string(n++)) == 2; }));
  // An older version is ignored, also when it is read again after the
  // compaction.
  Cluster.putConfig(testConfig(5, Shards));
  Cluster.runOnStandInThread([&] {
    Cluster.Store->compact();
    return 0;
  });
  std::this_thread::sleep_for(1s);
  EXPECT_EQ(shardsOf("b"), 2);
}

TEST_F(NodeTest, ChangesInACompactedHistoryAreFound) {
  const auto &node = Cluster.addNode();
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::Busy);
    Cluster.Store->put("op/config", testConfig(9, {"s0"}).dump());
    Cluster.Store->compact();
    Cluster.Store->setFault(StoreFault::None);
    return 0;
  });
  EXPECT_TRUE(eventually(
      [&] { return node.log().find("version=9") != std::string::npos; }));
}

TEST_F(NodeTest, RequestsAreServedDuringAStoreOutage) {
  const auto &node = Cluster.addNode();
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::Busy);
    Cluster.Store->compact();
    return 0;
  });
  ASSERT_TRUE(eventually([&] {
    return node.log().find("event=store_lost") != std::string::npos;
  }));
  EXPECT_EQ(NodeDeployment::sendRequest(node, "/search/x", "r1").Status, 200);
  EXPECT_TRUE(NodeDeployment::ready(node));
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::None);
    return 0;
  });
  EXPECT_TRUE(eventually([&] {
    return node.log().find("event=store_regained") != std::string::npos;
  }));
}

TEST_F(NodeTest, AHostWithoutConfigurationReportsNotReady) {
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::Busy);
    return 0;
  });
  auto &node = Cluster.addNode(false);
  ASSERT_TRUE(eventually([&] {
    return NodeDeployment::get(node.ReadinessAddress, "/readiness", {})
               .Status == 503;
  }));
  const auto reply = NodeDeployment::sendRequest(node, "/search/x", "r1");
  EXPECT_EQ(reply.Status, 503);
  EXPECT_EQ(reply.Headers.count("retry-after"), 1U);
  Cluster.runOnStandInThread([&] {
    Cluster.Store->setFault(StoreFault::None);
    return 0;
  });
  EXPECT_TRUE(eventually([&] { return NodeDeployment::ready(node); }));
}

TEST_F(NodeTest, SigtermFinishesRunningRequests) {
  auto &node = Cluster.addNode();
  LeafBehavior slow;
  slow.ExecutionTime = 1500ms;
  setBehavior("plain", slow);
  auto running = std::async(std::launch::async, [&] {
    return NodeDeployment::sendRequest(node, "/read/x", "r1");
  });
  ASSERT_TRUE(eventually([&] { return runs("r1") == 1; }));
  node.Child.signal(SIGTERM);
  EXPECT_TRUE(eventually([&] { return !NodeDeployment::ready(node); }));
  EXPECT_EQ(running.get().Status, 200) << node.log();
  EXPECT_EQ(node.Child.wait(), 0);
  EXPECT_NE(node.log().find("event=stopped"), std::string::npos);
  // The host has ended its lease, which removes its entry.
  EXPECT_TRUE(eventually([&] {
    return Cluster.runOnStandInThread(
        [&] { return Cluster.Store->count("hosts/") == 0; });
  }));
}

/// Guards against requests that a planned stop cuts off without an answer.
TEST_F(NodeTest, RequestsThatOutlastAPlannedStopAreAnswered) {
  auto config = testConfig(4, Shards);
  for (auto &route : config["routes"])
    route["timeoutMs"] = 20000;
  Cluster.putConfig(config);
  auto &node = Cluster.addNode();
  LeafBehavior silent;
  silent.NeverAnswer = true;
  setBehavior("plain", silent);
  const auto send = [&](const std::string &id, const char *path,
                        const char *method) {
    return std::async(std::launch::async, [&node, id, path, method] {
      return NodeDeployment::sendRequest(node, path, id, 20s, method);
    });
  };
  auto read = send("r1", "/read/x", "GET");
  ASSERT_TRUE(eventually([&] { return runs("r1") > 0; }));
  node.Child.signal(SIGTERM);
  std::this_thread::sleep_for(1s);
  auto late = send("r2", "/file/x", "POST");
  EXPECT_EQ(read.get().Status, 502) << node.log();
  EXPECT_EQ(late.get().Status, 502) << node.log();
  EXPECT_EQ(runs("r2"), 1);
  EXPECT_EQ(node.Child.wait(), 0);
}

/// Guards against hosts that end, or follow the leaves no longer, since one
/// entry among them can't be read.
TEST_F(NodeTest, OddEntriesAmongTheLeavesLeaveTheOthersInUse) {
  auto &node = Cluster.addNode();
  const std::string fields =
      R"("service":"plain","zone":"a","version":"v1","state":"ready","sequence":1,)";
  const std::vector<std::string> odd = {
      std::string(200000, '['),
      "{" + fields + R"("address":"127.0.0.1:70000","maxConcurrency":5})",
      "{" + fields + R"("address":"127.0.0.1:0","maxConcurrency":5})",
      "{" + fields + R"("address":"127.0.0.1:9","maxConcurrency":1e999})",
      "{" + fields + R"("address":"127.0.0.1:9","maxConcurrency":1e300})",
      "{" + fields +
          R"("address":"127.0.0.1:9","maxConcurrency":5,"born":1e300})",
      std::string("\xff\xfe\x00\x01", 4),
      ""};
  Cluster.runOnStandInThread([&] {
    for (std::size_t i = 0; i < odd.size(); ++i)
      Cluster.Store->put("servers/i-odd" + std::to_string(i), odd[i]);
    return 0;
  });
  auto &second = Cluster.addNode();
  Cluster.putConfig(testConfig(5, Shards));
  for (NodeProcess *host : {&node, &second}) {
    EXPECT_TRUE(eventually([&] {
      return host->log().find("config_in_force version=5") != std::string::npos;
    }));
    EXPECT_FALSE(host->Child.ended());
  }
  const PlatformLeaf &added = Cluster.addLeaf("i-new", "plain");
  int sent = 0;
  for (NodeProcess *host : {&node, &second})
    EXPECT_TRUE(eventually([&] {
      const auto reply = NodeDeployment::sendRequest(
          *host, "/read/x", host->Id + std::to_string(++sent));
      EXPECT_EQ(reply.Status, 200);
      return reply.Headers.at("savorytrestle-server-stamp").find(added.Id) !=
             std::string::npos;
    }));
}

TEST_F(NodeTest, EachFailureIsLoggedWithItsRequestId) {
  const auto &node = Cluster.addNode();
  LeafBehavior full;
  full.Shed = true;
  setBehavior("plain", full);
  (void)NodeDeployment::sendRequest(node, "/read/x", "refused-1");
  LeafBehavior failing;
  failing.Fail = true;
  for (const char *shard : {"s1", "s2", "s3"})
    setBehavior(shard, failing);
  (void)NodeDeployment::sendRequest(node, "/search/x", "failed-1");
  (void)NodeDeployment::sendRequest(node, "/nowhere/x", "nowhere-1");
  for (const char *id : {"refused-1", "failed-1", "nowhere-1"})
    EXPECT_TRUE(eventually([&] {
      return node.log().find(std::string("request=") + id) != std::string::npos;
    })) << id;
  const auto metrics = NodeDeployment::get(node.MetricsAddress, "/metrics", {});
  EXPECT_NE(metrics.Body.find("savorytrestle_request_seconds_bucket"),
            std::string::npos);
  EXPECT_NE(metrics.Body.find("savorytrestle_config_version 3"),
            std::string::npos);
}

TEST_F(NodeTest, LogLinesAboutRefusalsAreRateLimited) {
  const auto &node = Cluster.addNode();
  const auto begin = std::chrono::steady_clock::now();
  constexpr int Requests = 3000;
  for (int i = 0; i < Requests; ++i)
    (void)NodeDeployment::sendRequest(node, "/nowhere/x",
                                      "f" + std::to_string(i));
  // A line of a later second reports the number of lines left out.
  std::this_thread::sleep_for(1100ms);
  (void)NodeDeployment::sendRequest(node, "/nowhere/x", "last");
  ASSERT_TRUE(eventually(
      [&] { return node.log().find("request=last ") != std::string::npos; }));
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - begin;
  const std::string log = node.log();
  int written = 0;
  for (auto at = log.find("request_turned_away"); at != std::string::npos;
       at = log.find("request_turned_away", at + 1))
    ++written;
  int suppressed = 0;
  const std::string counter = "log_lines_left_out lines=";
  for (auto at = log.find(counter); at != std::string::npos;
       at = log.find(counter, at + 1))
    suppressed += std::stoi(log.substr(at + counter.size()));
  EXPECT_LE(written,
            support::LogRateLimiter::LinesPerSecond * (elapsed.count() + 1));
  EXPECT_EQ(written + suppressed, Requests + 1);
}

TEST_F(NodeTest, ExpectContinueIsAnsweredWith100) {
  const auto &node = Cluster.addNode();
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  boost::asio::ip::tcp::endpoint address;
  ASSERT_TRUE(support::parseEndpoint(node.CallerAddress, address));
  socket.connect(address);
  const std::string head = "POST /file/x HTTP/1.1\r\nHost: a.example\r\n"
                           "Savorytrestle-Request-Id: w1\r\n"
                           "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  std::string answer;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer),
                          "\r\n\r\n");
  EXPECT_EQ(answer, "HTTP/1.1 100 Continue\r\n\r\n");
  answer.clear();
  boost::asio::write(socket, boost::asio::buffer(std::string("body")));
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer),
                          "\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

TEST_F(NodeTest, AFullLogPipeDoesNotBlockRequests) {
  auto &node = Cluster.addNode();
  node.Child.kill();
  // Standard output is a pipe that is never read.
  node.Child = savorytrestle::testing::Process(
      {"savorytrestle", "node", "--config=" + node.ConfigFile});
  ASSERT_TRUE(eventually([&] { return NodeDeployment::ready(node); }));
  int served = 0;
  for (int i = 0; i < 1500; ++i)
    served +=
        NodeDeployment::sendRequest(node, "/read/x", "r" + std::to_string(i))
            .Status == 200;
  EXPECT_EQ(served, 1500);
  node.Child.signal(SIGTERM);
  EXPECT_EQ(node.Child.wait(), 0);
}

TEST_F(NodeTest, SighupReloadsSettingsAndRefusesAnInvalidFile) {
  auto &node = Cluster.addNode();
  std::ifstream before(node.ConfigFile);
  std::string text{std::istreambuf_iterator<char>(before), {}};
  std::ofstream(node.ConfigFile) << text << "colour: red\n";
  node.Child.signal(SIGHUP);
  ASSERT_TRUE(eventually([&] {
    return node.log().find("event=reload_refused") != std::string::npos;
  }));
  text.replace(text.find("retry_extra: 54"), 15, "retry_extra: 21");
  std::ofstream(node.ConfigFile) << text;
  node.Child.signal(SIGHUP);
  EXPECT_TRUE(eventually([&] {
    return node.log().find("retry_extra=21") != std::string::npos;
  })) << node.log();
  EXPECT_EQ(NodeDeployment::sendRequest(node, "/read/x", "r1").Status, 200);
}

} // namespace
