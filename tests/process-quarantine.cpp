#include "NodeDeployment.h"

#include <gtest/gtest.h>

#include "standins/RawLeaf.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using savorytrestle::testing::eventually;

namespace {

constexpr int TooManyRequests = 429;

/// Leaves that reset the connection on one kind of request, as in a crash, and
/// two hosts that share their crash records.
class QuarantineTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (const char *id : {"i-1", "i-2"})
      addLeaf(id);
    Cluster.putConfig(testConfig(3, {"plain"}));
    FirstHost = &Cluster.addNode();
    SecondHost = &Cluster.addNode();
  }

  void addLeaf(const std::string &id) {
    Cluster.runOnStandInThread([&] {
      Leaves.push_back(std::make_unique<RawLeaf>(
          Cluster.Io,
          [this](const std::string &head) { return answer(head); }));
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

  RawAnswer answer(const std::string &head) {
    RawAnswer answer;
    if (head.find("/read/deadly") != std::string::npos) {
      ++Crashes;
      answer.Reset = true;
    } else if (LinksReset) {
      answer.Reset = true;
    } else {
      answer.Bytes = leafAnswer("fine", "Savorytrestle-Server-Stamp: s\r\n");
    }
    return answer;
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
    EXPECT_EQ(sendRequest(*FirstHost, "/read/deadly"), 502) << FirstHost->log();
  EXPECT_EQ(sendRequest(*FirstHost, "/read/deadly"), TooManyRequests)
      << FirstHost->log();
  // The second host has not received the request; it reads the crash records
  // from the store.
  EXPECT_TRUE(eventually([&] {
    return SecondHost->log().find("event=crashes_heard") != std::string::npos;
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
    sendRequest(*FirstHost, "/read/deadly");
    EXPECT_EQ(sendRequest(*FirstHost, "/read/usual"), 200) << FirstHost->log();
  }
}

} // namespace
