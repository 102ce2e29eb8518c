#include "NodeDeployment.h"

#include <algorithm>
#include <csignal>

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using savorytrestle::testing::eventually;

namespace {

/// Two hosts. The first reads another copy of the store, in which the leaves
/// have addresses where nobody listens: it reaches the store, the callers and
/// the other host, but no leaf.
class LeafCutTest : public ::testing::Test {
protected:
  static constexpr int Shards = 4;

  void SetUp() override {
    std::vector<std::string> shards;
    for (int i = 0; i < Shards; ++i) {
      shards.push_back("s" + std::to_string(i));
      Cluster.addLeaf("i-" + shards.back(), shards.back(), "a");
    }
    for (int i = 0; i < 3; ++i)
      Cluster.addLeaf("i-plain-" + std::to_string(i), "plain", "a");
    auto config = testConfig(3, shards);
    auto thrice = config["routes"][1];
    thrice["name"] = "thrice";
    thrice["pathPrefix"] = "/thrice/";
    thrice["maxAttempts"] = 3;
    config["routes"].push_back(thrice);
    Cluster.putConfig(config);
    const auto address = "127.0.0.1:" + std::to_string(nonEphemeralPort());
    Cluster.runOnStandInThread([&] {
      CutStore = std::make_unique<MetadataStore>(Cluster.Io);
      EXPECT_TRUE(CutStore->open(address).has_value());
      CutStore->put("op/config", config.dump());
      return 0;
    });
    cutLeaves();
    Connected = &Cluster.addNode(true, "a");
    Cut = &Cluster.addNode(true, "a", address);
    introduce(*Connected, *CutStore);
    introduce(*Cut, *Cluster.Store);
    for (const NodeProcess *host : {Connected, Cut})
      ASSERT_TRUE(eventually(
          [&] { return host->log().find("hosts=2") != std::string::npos; }));
  }

  void TearDown() override { Cluster.stop(); }

  /// Writes the leaves' entries for the cut host.
  void cutLeaves() {
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves) {
        auto entry = nlohmann::json::parse(leaf->entry());
        entry["address"] = "127.0.0.1:1";
        CutStore->put(leaf->key(), entry.dump());
      }
      return 0;
    });
  }

  void healLeaves() {
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        CutStore->put(leaf->key(), leaf->entry());
      return 0;
    });
  }

  /// Writes a host's entry to a copy of the store.
  void introduce(const NodeProcess &host, MetadataStore &store) {
    Cluster.runOnStandInThread([&] {
      store.put("hosts/" + host.Id,
                nlohmann::json{{"failure_domain", "a"},
                               {"callers", host.CallerAddress},
                               {"peers", host.PeerAddress}}
                    .dump());
      return 0;
    });
  }

  CallerReply send(const std::string &path, const std::string &method = "GET") {
    return NodeDeployment::sendRequest(*Cut, path,
                                       "r" + std::to_string(++LastRequest), 5s,
                                       method, method == "POST" ? "new" : "");
  }

  /// Requests until the cut host has noticed that it reaches no leaf.
  bool noticeCut() {
    return eventually([&] {
      send("/read/x");
      return Cut->log().find("event=leaves_lost") != std::string::npos;
    });
  }

  /// The same through other routes than those of the service "plain".
  bool searchUntilLost() {
    return eventually([&] {
      NodeDeployment::sendRequest(*Cut, "/search/x", "other", 300ms);
      return Cut->log().find("event=leaves_lost") != std::string::npos;
    });
  }

  /// Heals the leaves and earns some retries at the service "plain".
  void healWithRetries() {
    healLeaves();
    ASSERT_TRUE(eventually([&] {
      return Cut->log().find("event=leaf_entry leaf=i-plain-0 service=plain "
                             "address=" +
                             plainAddress()) != std::string::npos;
    }));
    for (int i = 0; i < 30; ++i)
      ASSERT_EQ(send("/read/x").Status, 200);
  }

  void neverAnswerPlain() {
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        leaf->Behavior.NeverAnswer = leaf->Service == "plain";
      return 0;
    });
  }

  /// Most runs of a request on a leaf.
  int mostRuns() {
    return Cluster.runOnStandInThread([&] {
      int most = 0;
      for (const auto &leaf : Cluster.Leaves)
        for (const auto &[request, runs] : leaf->RunsByRequest)
          most = std::max(most, runs);
      return most;
    });
  }

  /// Runs of a request on all leaves.
  int totalRuns(const std::string &id) {
    return Cluster.runOnStandInThread([&] {
      int runs = 0;
      for (const auto &leaf : Cluster.Leaves)
        if (const auto it = leaf->RunsByRequest.find(id);
            it != leaf->RunsByRequest.end())
          runs += it->second;
      return runs;
    });
  }

  /// Address of the first leaf of the service "plain".
  std::string plainAddress() {
    return Cluster.runOnStandInThread(
        [&] { return Cluster.Leaves[Shards]->address(); });
  }

  NodeDeployment Cluster;
  std::unique_ptr<MetadataStore> CutStore;
  NodeProcess *Connected = nullptr;
  NodeProcess *Cut = nullptr;
  int LastRequest = 0;
};

/// Guards against refusing callers whom another host could serve.
TEST_F(LeafCutTest, CallersOfAHostWithoutLeavesAreServedThroughAnotherHost) {
  ASSERT_TRUE(noticeCut());
  for (int i = 0; i < 10; ++i) {
    const auto read = send("/read/x");
    EXPECT_EQ(read.Status, 200) << read.Body;
    EXPECT_EQ(read.Headers.count("savorytrestle-server-stamp"), 1U);
    const auto search = send("/search/x");
    EXPECT_EQ(search.Status, 200) << search.Body;
    EXPECT_EQ(search.Headers.at("savorytrestle-missing-parts"), "0");
    const auto file = send("/file/x", "POST");
    EXPECT_EQ(file.Status, 200) << file.Body;
    EXPECT_EQ(file.Body, "new");
  }
  EXPECT_EQ(mostRuns(), 1);
}

TEST_F(LeafCutTest, AHostServesItsCallersItselfOnceItReachesLeavesAgain) {
  ASSERT_TRUE(noticeCut());
  ASSERT_EQ(send("/read/x").Status, 200);
  healLeaves();
  ASSERT_TRUE(eventually([&] {
    return Cut->log().find("event=leaves_regained") != std::string::npos;
  }));
  Connected->Child.kill();
  EXPECT_EQ(send("/read/x").Status, 200);
  EXPECT_EQ(send("/search/x").Status, 200);
}

/// Guards against requests that wait although no host can serve them.
TEST_F(LeafCutTest, RequestsAreRefusedAtOnceWhenTheOtherHostIsGone) {
  ASSERT_TRUE(noticeCut());
  Connected->Child.kill();
  for (int i = 0; i < 5; ++i) {
    const auto before = std::chrono::steady_clock::now();
    const auto reply = send("/read/x");
    EXPECT_EQ(reply.Status, 503);
    EXPECT_EQ(reply.Headers.count("retry-after"), 1U);
    EXPECT_LT(std::chrono::steady_clock::now() - before, 400ms);
  }
}

/// Guards against the loss of a request that the other host was running.
TEST_F(LeafCutTest, AWriteWhoseForwardIsLostIsNeverSentAgain) {
  ASSERT_TRUE(noticeCut());
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      leaf->Behavior.ExecutionTime = 1s;
    return 0;
  });
  CallerReply reply;
  const std::string id = "r" + std::to_string(LastRequest + 1);
  std::thread caller([&] { reply = send("/file/x", "POST"); });
  EXPECT_TRUE(eventually([&] {
    return Cluster.runOnStandInThread([&] {
      return std::any_of(
          Cluster.Leaves.begin(), Cluster.Leaves.end(),
          [&](const auto &leaf) { return leaf->RunsByRequest.count(id) > 0; });
    });
  }));
  Connected->Child.kill();
  caller.join();
  EXPECT_TRUE(reply.Status == 502 || reply.Status == 504) << reply.Status;
  EXPECT_EQ(mostRuns(), 1);
}

/// Guards against a leaf's own answer that is taken for the refusal of the host
/// that passes it on.
TEST_F(LeafCutTest, AWriteThatALeafFailedIsNotForwardedAgain) {
  ASSERT_TRUE(noticeCut());
  Cluster.runOnStandInThread([&] {
    for (const auto &leaf : Cluster.Leaves)
      leaf->Behavior.FailUnsigned = true;
    return 0;
  });
  EXPECT_EQ(send("/file/x", "POST").Status, 502);
  EXPECT_EQ(mostRuns(), 1);
  EXPECT_EQ(totalRuns("r" + std::to_string(LastRequest)), 1);
}

/// Guards against a request that runs on more leaves than its route allows,
/// since it is forwarded after it was sent to some.
TEST_F(LeafCutTest, AForwardKeepsToTheLeavesThatTheRouteAllows) {
  healWithRetries();
  neverAnswerPlain();
  const std::string id = "r" + std::to_string(LastRequest + 1);
  CallerReply reply;
  std::thread caller([&] { reply = send("/read/x"); });
  EXPECT_TRUE(eventually([&] { return totalRuns(id) == 2; }));
  cutLeaves();
  EXPECT_TRUE(searchUntilLost());
  caller.join();
  EXPECT_EQ(reply.Status, 504);
  // The route's maxAttempts.
  EXPECT_EQ(totalRuns(id), 2);
}

/// Guards against a refusal that says "not run" of a request that a leaf got
/// before the cut.
TEST_F(LeafCutTest, ARequestThatReachedALeafIsNotRefusedWhenItsForwardIs) {
  healWithRetries();
  neverAnswerPlain();
  const std::string id = "r" + std::to_string(LastRequest + 1);
  CallerReply reply;
  std::thread caller([&] { reply = send("/thrice/x"); });
  EXPECT_TRUE(eventually([&] { return totalRuns(id) == 2; }));
  Connected->Child.kill();
  cutLeaves();
  EXPECT_TRUE(searchUntilLost());
  caller.join();
  EXPECT_TRUE(reply.Status == 502 || reply.Status == 504) << reply.Status;
}

} // namespace
