#include "NodeDeployment.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;

namespace {

/// One host, and a service with two leaves whose queues are full.
class AdmissionTest : public ::testing::Test {
protected:
  void startHost(const std::string &admission) {
    for (const char *id : {"i-1", "i-2"})
      Leaves.push_back(&Cluster.addLeaf(id, "plain"));
    Cluster.addLeaf("i-shard", "s0");
    Cluster.putConfig(testConfig(3, {"s0"}));
    Cluster.ExtraSettings = "admission: " + admission + "\n";
    Host = &Cluster.addNode();
    setFull(true);
  }

  void setFull(bool full) {
    Cluster.runOnStandInThread([&] {
      for (PlatformLeaf *leaf : Leaves) {
        leaf->Behavior.Shed = full;
        leaf->Behavior.Load = full ? "5,24,5" : "1,0,5";
      }
      return 0;
    });
  }

  std::size_t arrivals() {
    return Cluster.runOnStandInThread([&] {
      std::size_t count = 0;
      for (const PlatformLeaf *leaf : Leaves)
        count += leaf->Arrivals.size();
      return count;
    });
  }

  CallerReply send() {
    return NodeDeployment::sendRequest(*Host, "/read/x",
                                       "r" + std::to_string(++LastRequest));
  }

  /// Sends requests until a leaf has turned away one at each leaf.
  void learnThatAllAreFull() {
    for (int i = 0; i < 4; ++i)
      EXPECT_EQ(send().Status, 503);
  }

  NodeDeployment Cluster;
  std::vector<PlatformLeaf *> Leaves;
  NodeProcess *Host = nullptr;
  int LastRequest = 0;
};

/// Guards against requests that wait for leaves which can't take them, and
/// against refusals that outlast the reports.
TEST_F(AdmissionTest, FullQueuesAreKeptFromRequestsWhileReportsAreFresh) {
  startHost("load");
  learnThatAllAreFull();
  const std::size_t before = arrivals();
  const auto start = std::chrono::steady_clock::now();
  const auto reply = send();
  EXPECT_LT(std::chrono::steady_clock::now() - start, 100ms);
  EXPECT_EQ(reply.Status, 503);
  ASSERT_EQ(reply.Headers.count("retry-after"), 1U);
  EXPECT_GT(std::stod(reply.Headers.at("retry-after")), 0);
  EXPECT_EQ(arrivals(), before);
  EXPECT_TRUE(savorytrestle::testing::eventually([&] {
    return Host->log().find("event=load_refused") != std::string::npos;
  }));
  setFull(false);
  std::this_thread::sleep_for(400ms);
  EXPECT_EQ(send().Status, 200);
}

/// Guards against a change for deployments that don't ask for it.
TEST_F(AdmissionTest, WithoutTheSettingRequestsAreSentToFullLeaves) {
  startHost("off");
  learnThatAllAreFull();
  const std::size_t before = arrivals();
  EXPECT_EQ(send().Status, 503);
  EXPECT_GT(arrivals(), before);
}

} // namespace
