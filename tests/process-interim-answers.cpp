#include "NodeDeployment.h"
#include "standins/RawLeaf.h"
#include "standins/ResponseHeads.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;

namespace {

constexpr int Shards = 8;
constexpr std::chrono::milliseconds RouteTimeout{2000};

/// Two hosts, eight shards in the failure domain of the second, and a plain
/// service. Leaves and store send interim responses before each answer; paths
/// that contain "/never" get nothing else.
class InterimAnswersTest : public ::testing::Test {
protected:
  void SetUp() override {
    std::vector<std::string> shards;
    shards.reserve(Shards);
    for (int i = 0; i < Shards; ++i)
      shards.push_back("t" + std::to_string(i));
    Cluster.runOnStandInThread([&] {
      Cluster.Store->setInterim(repeat("HTTP/1.1 102 Processing\r\n\r\n", 3));
      for (const std::string &shard : shards)
        addLeaf(shard, "b");
      addLeaf("plain", "a");
      return 0;
    });
    Cluster.putConfig(testConfig(3, shards));
    RelayHost = &Cluster.addNode(true, "b");
    CallingHost = &Cluster.addNode(true, "a");
    ASSERT_TRUE(NodeDeployment::ready(*CallingHost)) << CallingHost->log();
    ASSERT_TRUE(eventually([&] {
      return CallingHost->log().find("event=hosts_known") != std::string::npos;
    }));
  }

  // Ends the thread that runs the leaves before they are destroyed.
  ~InterimAnswersTest() override { Cluster.stop(); }

  void addLeaf(const std::string &service, const std::string &domain) {
    const std::string id = "i-" + service;
    Leaves.push_back(std::make_unique<RawLeaf>(
        Cluster.Io,
        [this, id](const std::string &head) { return answer(id, head); }));
    Cluster.Store->put("servers/" + id,
                       nlohmann::json{{"service", service},
                                      {"address", Leaves.back()->addressText()},
                                      {"zone", domain},
                                      {"version", "v1"},
                                      {"maxConcurrency", 3},
                                      {"state", "ready"},
                                      {"warmupLeftMs", 0},
                                      {"sequence", 1}}
                           .dump());
  }

  RawAnswer answer(const std::string &leaf, const std::string &head) {
    constexpr std::string_view IdHeader = "Savorytrestle-Request-Id: ";
    const auto from = head.find(IdHeader) + IdHeader.size();
    const std::string id = head.substr(from, head.find("\r\n", from) - from);
    ++Runs[leaf + " " + id];
    std::string interim;
    for (const std::string &response : interimResponses())
      interim += response;
    if (head.find("/never") != std::string::npos)
      return {interim};
    return {.Bytes = interim,
            .Rest =
                interim +
                leafAnswer(std::string(16, 'r'),
                           "Savorytrestle-Server-Stamp: s-" + leaf +
                               "\r\nSavorytrestle-Request-Id: " + id + "\r\n")};
  }

  int runs(const std::string &leaf, const std::string &id) {
    return Cluster.runOnStandInThread([&] { return Runs[leaf + " " + id]; });
  }

  NodeDeployment Cluster;
  std::vector<std::unique_ptr<RawLeaf>> Leaves;
  std::map<std::string, int> Runs;
  NodeProcess *RelayHost = nullptr;
  NodeProcess *CallingHost = nullptr;
};

/// Guards against interim responses that take the place of an answer, of a leaf
/// or of the store, whose configuration would not be in force then.
TEST_F(InterimAnswersTest, CallersGetTheFinalAnswers) {
  for (const NodeProcess *host : {CallingHost, RelayHost}) {
    const auto search =
        NodeDeployment::sendRequest(*host, "/search/x", "s" + host->Id);
    ASSERT_EQ(search.Status, 200) << host->log();
    EXPECT_EQ(search.Headers.at("savorytrestle-missing-parts"), "0");
    EXPECT_EQ(search.Body.size(), 64U);
    for (int i = 0; i < Shards; ++i)
      EXPECT_EQ(runs("i-t" + std::to_string(i), "s" + host->Id), 1);
    const auto filing = NodeDeployment::sendRequest(*host, "/file/x",
                                                    "f" + host->Id, 5s, "POST");
    EXPECT_EQ(filing.Status, 200) << host->log();
    EXPECT_EQ(filing.Headers.at("savorytrestle-server-stamp"), "s-i-plain");
    EXPECT_EQ(runs("i-plain", "f" + host->Id), 1);
  }
}

/// Guards against a request that may run once and that never gets an answer, or
/// is sent again.
TEST_F(InterimAnswersTest, AFilingWithoutAFinalAnswerTimesOutAndRunsOnce) {
  for (const std::string &id : {std::string("n1"), std::string("n2")}) {
    const auto start = std::chrono::steady_clock::now();
    const auto reply = NodeDeployment::sendRequest(*CallingHost, "/file/never",
                                                   id, 10s, "POST");
    EXPECT_EQ(reply.Status, 504) << CallingHost->log();
    EXPECT_LT(std::chrono::steady_clock::now() - start, RouteTimeout + 500ms);
    EXPECT_EQ(runs("i-plain", id), 1);
  }
  EXPECT_NE(CallingHost->log().find("interim responses (1xx)"),
            std::string::npos);
}

} // namespace
