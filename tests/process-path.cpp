#include "PathFixture.h"

#include <csignal>
#include <thread>

#include <gtest/gtest.h>

using namespace savorytrestle::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

using PathTest = savorytrestle::testing::PathTest;

TEST_F(PathTest, ASearchCoversEveryShardOfOneVersion) {
  startLeaves();
  const auto &host = startHost();
  const auto reply = search(host);
  ASSERT_EQ(reply.Status, 200);
  EXPECT_EQ(reply.Body["index_version"], 7);
  EXPECT_EQ(reply.Body["coverage"]["shards_answered"], 3);
  EXPECT_EQ(reply.Body["coverage"]["shards_total"], 3);
  EXPECT_EQ(reply.Body["rows"].size(), 6U);
}

TEST_F(PathTest, AWriteRunsOnce) {
  startLeaves();
  const auto &host = startHost();
  const auto reply =
      host.call("/v1/preisaufsicht/melden", {{"studio", 17}}, 1000ms);
  ASSERT_EQ(reply.Status, 200) << reply.Body;
  EXPECT_EQ(reply.Body["run"], "ran");
  EXPECT_EQ(writeLeaf().control()["writes"].size(), 1U);
}

TEST_F(PathTest, InvalidRequestsAreNotExecuted) {
  startLeaves();
  const auto &host = startHost();
  const auto searchesBefore = leaf(0).control()["searches"];
  const auto post = [&](const std::string &path, const json &body,
                        const std::map<std::string, std::string> &headers) {
    return sendJson("POST", "http://" + host.CallerAddress + path, body,
                    headers);
  };
  const std::string path = "/v1/preisaufsicht/suche";
  EXPECT_EQ(post(path, json::object(), {}).Status, 400);
  EXPECT_EQ(post(path, json::object(), {{"Deadline-Ms", "0"}}).Status, 400);
  EXPECT_EQ(post(path, "not json", {{"Deadline-Ms", "500"}}).Status, 400);
  EXPECT_EQ(post("/v1/nobody/suche", json::object(), {{"Deadline-Ms", "500"}})
                .Body["error"]["code"],
            "unknown_workspace");
  EXPECT_EQ(
      post("/v1/preisaufsicht/none", json::object(), {{"Deadline-Ms", "500"}})
          .Body["error"]["code"],
      "unknown_route");
  const auto large = post(path, json{{"x", std::string(100000, 'x')}},
                          {{"Deadline-Ms", "500"}});
  EXPECT_EQ(large.Body["error"]["run"], "not_run");
  EXPECT_EQ(leaf(0).control()["searches"], searchesBefore);
}

TEST_F(PathTest, SigtermFinishesRunningRequestsAndExitsZero) {
  startLeaves();
  auto &host = startHost();
  for (const auto &leaf : Cluster.Leaves)
    leaf->control({{"service_ms", 300}});
  JsonReply reply;
  std::thread caller([&] { reply = search(host); });
  std::this_thread::sleep_for(100ms);
  host.Child.signal(SIGTERM);
  caller.join();
  EXPECT_EQ(reply.Status, 200);
  EXPECT_EQ(reply.Body["coverage"]["shards_answered"], 3);
  EXPECT_EQ(host.Child.wait(), 0);
}

} // namespace
