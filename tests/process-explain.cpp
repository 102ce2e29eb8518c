#include "NodeDeployment.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace savorytrestle::tests;
using nlohmann::json;
using savorytrestle::testing::Process;

namespace {

// Guards against an explanation that sends or counts a request.
TEST(Explain, StatesTheLeafWithoutSendingOrCountingARequest) {
  NodeDeployment cluster;
  auto &leaf = cluster.addLeaf("i-plain", "plain", "a");
  cluster.putConfig(testConfig(3, {"s0"}));
  const auto &node = cluster.addNode();
  const auto counts = [&] {
    const auto text =
        NodeDeployment::get(node.MetricsAddress, "/metrics", {}).Body;
    return text.substr(0, text.find("savorytrestle_config_version"));
  };
  const auto before = counts();
  EXPECT_NE(NodeDeployment::get(node.MetricsAddress, "/metrics", {})
                .Body.find("savorytrestle_leaves_without_load_report 1"),
            std::string::npos);
  const auto reply = NodeDeployment::get(
      node.MetricsAddress, "/explain?host=a.example&path=%2Fread%2Fx", {});
  ASSERT_EQ(reply.Status, 200);
  const auto explained = json::parse(reply.Body);
  EXPECT_EQ(explained["config_version"], 3);
  EXPECT_EQ(explained["services"].at(0).value("chosen", ""), "i-plain");
  const std::string out = (cluster.Folder / "explain.txt").string();
  Process command({"savorytrestle", "explain",
                   "--status=" + node.MetricsAddress,
                   "--request_host=a.example", "--request_path=/read/x"},
                  out);
  EXPECT_EQ(command.wait(), 0);
  std::ifstream file(out);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  EXPECT_NE(text.find("* i-plain"), std::string::npos) << text;
  EXPECT_EQ(counts(), before);
  EXPECT_TRUE(
      cluster.runOnStandInThread([&] { return leaf.Arrivals.empty(); }));
}

} // namespace
