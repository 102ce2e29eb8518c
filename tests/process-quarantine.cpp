#include "NodeDeployment.h"

#include <gtest/gtest.h>

#include "savorytrestle/core/Fingerprint.h"
#include "standins/RawLeaf.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using savorytrestle::testing::eventually;

namespace {

constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

/// Leaves that end on one kind of request, and two hosts that tell each other.
class QuarantineTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int i = 0; i < 2; ++i)
      addLeaf();
    Cluster.putConfig(testConfig(3, {"plain"}));
    FirstHost = &Cluster.addNode();
    SecondHost = &Cluster.addNode();
  }

  ~QuarantineTest() override {
    // Ends the thread that runs the leaves before they are destroyed.
    Cluster.stop();
  }

  void addLeaf() {
    Cluster.runOnStandInThread([&] {
      const std::string id = "i-" + std::to_string(Leaves.size());
      Leaves.push_back(std::make_unique<RawLeaf>(
          Cluster.Io,
          [this, id](const std::string &head) { return answer(id, head); }));
      Cluster.Store->put(
          "servers/" + id,
          nlohmann::json{{"service", "plain"},
                         {"address", Leaves.back()->addressText()},
                         {"zone", "a"},
                         {"version", "v1"},
                         {"maxConcurrency", 5},
                         {"state", "ready"},
                         {"warmupLeftMs", 0},
                         {"sequence", 1}}
              .dump());
      return 0;
    });
  }

  RawAnswer answer(const std::string &id, const std::string &head) {
    RawAnswer answer;
    if (head.find("/read/deadly") != std::string::npos) {
      ++Crashes;
      answer.Crash = true;
      Cluster.Store->remove("servers/" + id);
    } else if (LinksReset) {
      answer.Reset = true;
    } else {
      answer.Bytes = leafAnswer("fine", "Savorytrestle-Server-Stamp: s\r\n");
    }
    return answer;
  }

  /// Sends a request that ends leaves, to two leaves that live.
  int sendDeadly(const NodeProcess &node) {
    // Ends are rare: the host's links to leaves work.
    for (int i = 0; i < 2; ++i)
      addLeaf();
    eventually([&] { return sendRequest(node, "/read/usual") == 200; });
    int status = 0;
    eventually([&] {
      const int before = crashes();
      status = sendRequest(node, "/read/deadly");
      // Another run of it is being judged: it hasn't run, and may come again.
      EXPECT_TRUE(status != Unavailable || crashes() == before);
      return status != Unavailable;
    });
    return status;
  }

  int crashes() {
    return Cluster.runOnStandInThread([&] { return Crashes; });
  }

  int sendRequest(const NodeProcess &node, const std::string &path) {
    return NodeDeployment::sendRequest(node, path,
                                       "r" + std::to_string(++SentRequests))
        .Status;
  }

  NodeDeployment Cluster;
  std::vector<std::unique_ptr<RawLeaf>> Leaves;
  NodeProcess *FirstHost = nullptr;
  NodeProcess *SecondHost = nullptr;
  int Crashes = 0;
  /// Whether all connections are reset, as by a fault of the network.
  bool LinksReset = false;
  int SentRequests = 0;
};

TEST_F(QuarantineTest, ARequestThatCrashesLeavesIsQuarantinedOnAllHosts) {
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(sendDeadly(*FirstHost), 502) << FirstHost->log();
  EXPECT_EQ(sendRequest(*FirstHost, "/read/deadly"), TooManyRequests)
      << FirstHost->log();
  // The second host has not received the request; it reads the crash records
  // from the store.
  EXPECT_TRUE(eventually([&] {
    return SecondHost->log().find("quarantined=1") != std::string::npos;
  }));
  const int before = crashes();
  EXPECT_EQ(sendRequest(*SecondHost, "/read/deadly"), TooManyRequests)
      << SecondHost->log();
  EXPECT_EQ(crashes(), before);
}

/// Guards against requests that all hosts refuse since one host's links broke.
TEST_F(QuarantineTest, RequestsAreServedOnceLinksThatBrokeAreBack) {
  const auto setLinksReset = [&](bool reset) {
    Cluster.runOnStandInThread([&] {
      LinksReset = reset;
      return 0;
    });
  };
  setLinksReset(true);
  for (int i = 0; i < 5; ++i)
    for (const char *path : {"/read/usual", "/read/other"})
      sendRequest(*FirstHost, path);
  // As long as an exchange of records takes.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  setLinksReset(false);
  for (const NodeProcess *host : {FirstHost, SecondHost})
    EXPECT_TRUE(eventually([&] {
      const int status = sendRequest(*host, "/read/usual");
      EXPECT_NE(status, TooManyRequests);
      return status == 200;
    }));
}

TEST_F(QuarantineTest, OtherRequestsAreServedDuringAQuarantine) {
  for (int i = 0; i < 5; ++i) {
    sendDeadly(*FirstHost);
    addLeaf();
    eventually([&] { return sendRequest(*FirstHost, "/read/usual") == 200; });
    EXPECT_EQ(sendRequest(*FirstHost, "/read/usual"), 200) << FirstHost->log();
  }
}

/// Guards against hosts of two versions that don't tell each other.
TEST_F(QuarantineTest, HostsOfTwoVersionsTellEachOther) {
  const auto fingerprint =
      core::makeFingerprint("a.example", "/read/usual", "");
  const auto putEarlierHost = [&](int records) {
    nlohmann::json entry{{"failure_domain", "a"},
                         {"callers", "127.0.0.1:9"},
                         {"crashes", nlohmann::json::array()}};
    for (int i = 1; i <= records; ++i)
      entry["crashes"].push_back(nlohmann::json{{"high", fingerprint.High},
                                                {"low", fingerprint.Low},
                                                {"event", "broke"},
                                                {"run", i},
                                                {"age_ms", 100}});
    Cluster.runOnStandInThread([&] {
      Cluster.Store->put("hosts/earlier", entry.dump());
      return 0;
    });
  };
  for (int i = 0; i <= 3; ++i) {
    putEarlierHost(i);
    // Longer than the news takes to the host.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }
  EXPECT_EQ(sendRequest(*FirstHost, "/read/usual"), TooManyRequests)
      << FirstHost->log();
  for (int i = 0; i < 3; ++i) {
    addLeaf();
    addLeaf();
    eventually([&] { return sendRequest(*FirstHost, "/read/other") == 200; });
    sendRequest(*FirstHost, "/read/deadly");
  }
  EXPECT_TRUE(eventually([&] {
    const auto entry = Cluster.runOnStandInThread(
        [&] { return Cluster.Store->value("hosts/" + FirstHost->Id); });
    return entry.find("\"event\":\"broke\"") != std::string::npos;
  }));
}

} // namespace
