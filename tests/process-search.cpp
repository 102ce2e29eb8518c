#include "PathFixture.h"

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>

using namespace savorytrestle::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

using SearchTest = savorytrestle::testing::PathTest;

/// Runs searches on several threads until it goes out of scope.
class BackgroundSearches {
public:
  BackgroundSearches(const std::vector<const HostProcess *> &hosts, int threads,
                     const std::function<void(const JsonReply &)> &check) {
    for (int n = 0; n < threads; ++n)
      Threads.emplace_back([this, hosts, n, check] {
        for (auto turn = static_cast<std::size_t>(n); !Stop; ++turn) {
          check(hosts[turn % hosts.size()]->call("/v1/preisaufsicht/suche",
                                                 {{"text", turn}}, 1000ms));
          ++Sent;
        }
      });
  }
  ~BackgroundSearches() {
    Stop = true;
    for (auto &thread : Threads)
      thread.join();
  }

  std::atomic<int> Sent{0};

private:
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Threads;
};

TEST_F(SearchTest, AnInvalidReplyIsNotCountedAsAnswered) {
  startLeaves();
  const auto &host = startHost();
  for (const char *fault :
       {"truncated", "crossed", "wrong_version", "empty", "garbage"}) {
    for (int n = 0; n < Replicas; ++n)
      leaf(n).control({{"reply_fault", fault}});
    const auto reply = search(host, {{"text", fault}}, 400ms);
    ASSERT_EQ(reply.Status, 200) << fault << reply.Body;
    EXPECT_EQ(reply.Body["coverage"]["shards_answered"], 2) << fault;
    EXPECT_EQ(reply.Body["coverage"]["shards_total"], 3) << fault;
    EXPECT_EQ(reply.Body["coverage"]["missing_shards"], json::array({0}));
    EXPECT_EQ(reply.Body["rows"].size(), 4U) << fault;
  }
}

TEST_F(SearchTest, OneLostReplicaPerGroupDoesNotReduceCoverage) {
  startLeaves();
  const auto &host = startHost();
  for (int group = 0; group < Groups; ++group)
    leaf(group * Replicas).Child.kill();
  int completeAnswers = 0;
  for (int n = 0; n < 50; ++n)
    completeAnswers +=
        shardsAnswered(search(host, {{"text", n}})) == Groups ? 1 : 0;
  EXPECT_EQ(completeAnswers, 50);
}

TEST_F(SearchTest, ALostGroupStaysInTheShardTotal) {
  startLeaves();
  const auto &host = startHost();
  for (int n = 0; n < Replicas; ++n)
    leaf(n).Child.kill();
  const auto reply = search(host, {{"text", "lost"}}, 400ms);
  ASSERT_EQ(reply.Status, 200);
  EXPECT_EQ(reply.Body["coverage"]["shards_total"], 3);
  EXPECT_EQ(reply.Body["coverage"]["missing_shards"], json::array({0}));
  EXPECT_EQ(reply.Body["coverage"]["missing_groups"], json::array({"g0"}));
  // Once the host has detected the loss, searches do not wait for these leaves.
  EXPECT_TRUE(eventually([&] {
    const auto start = std::chrono::steady_clock::now();
    search(host, {{"text", "gone"}}, 5000ms);
    return std::chrono::steady_clock::now() - start < 2500ms;
  }));
}

TEST_F(SearchTest, ADrainingLeafGetsNoNewWorkAfterThreeSeconds) {
  startLeaves();
  const auto &host = startHost();
  const BackgroundSearches load({&host}, 2, [](const JsonReply &) {});
  // The status endpoint still reports "ready".
  leaf(0).control({{"draining", true}, {"health_lies", true}});
  std::this_thread::sleep_for(3s);
  const int after = leaf(0).control()["searches"].get<int>();
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(leaf(0).control()["searches"], after);
}

TEST_F(SearchTest, ARepartitionUnderLoadDoesNotMixVersions) {
  startLeaves();
  const auto &host = startHost();
  std::atomic<int> mixed{0};
  std::atomic<int> wrongCoverage{0};
  std::atomic<int> newer{0};
  {
    const BackgroundSearches load({&host}, 3, [&](const JsonReply &reply) {
      if (reply.Status != 200)
        return;
      const int version = reply.Body["index_version"].get<int>();
      const auto &coverage = reply.Body["coverage"];
      newer += version == 8 ? 1 : 0;
      wrongCoverage +=
          coverage["shards_total"] != (version == 8 ? 2 : 3) ? 1 : 0;
      const auto rows = reply.Body["rows"];
      wrongCoverage +=
          rows.size() != 2 * coverage["shards_answered"].get<std::size_t>() ? 1
                                                                            : 0;
      for (const auto &row : rows)
        mixed += row["version"] != version ? 1 : 0;
    });
    std::this_thread::sleep_for(300ms);
    // Version 8 has two shards; the third group is unused.
    for (int n = 0; n < SearchLeaves; ++n) {
      const std::string old = "7:" + std::to_string(n / Replicas) + ":3";
      leaf(n).control(
          {{"indexes", old + ",8:" + std::to_string(n % 2) + ":2"}});
    }
    std::this_thread::sleep_for(1500ms);
    for (int n = 0; n < SearchLeaves; ++n)
      leaf(n).control({{"indexes", "8:" + std::to_string(n % 2) + ":2"}});
    std::this_thread::sleep_for(1500ms);
  }
  EXPECT_EQ(mixed, 0);
  EXPECT_EQ(wrongCoverage, 0);
  EXPECT_GT(newer, 0);
}

// As many hosts as the host slots are sized for, and a connection limit that
// gives each host one connection for searches, polls and cancellations
// together.
TEST_F(SearchTest, ConnectionsUnderLoadStayWithinTheLimitOfEachLeaf) {
  startLeaves({"--connections=8", "--service_ms=20"});
  const std::string cap = "        leaf_connections: 8\n";
  std::vector<const HostProcess *> hosts;
  hosts.reserve(7);
  for (int n = 0; n < 7; ++n)
    hosts.push_back(&startHost(cap, "          filen: {kind: write}\n"));
  std::atomic<int> answered{0};
  std::atomic<int> filed{0};
  {
    const BackgroundSearches load(hosts, 28, [&](const JsonReply &reply) {
      answered += shardsAnswered(reply) > 0 ? 1 : 0;
    });
    for (int n = 0; n < 60; ++n) {
      const auto &host = *hosts[static_cast<std::size_t>(n) % hosts.size()];
      const auto reply =
          host.call("/v1/preisaufsicht/filen", {{"n", n}}, 1000ms);
      filed += reply.Status == 200 ? 1 : 0;
      std::this_thread::sleep_for(50ms);
    }
  }
  EXPECT_GT(answered, 0);
  EXPECT_GT(filed, 0);
  for (int n = 0; n < SearchLeaves; ++n) {
    // One connection is opened by this test.
    EXPECT_LE(leaf(n).control()["most_connections"].get<int>(), 8 + 1)
        << leaf(n).Name;
  }
}

TEST_F(SearchTest, ARequestThatCrashesLeavesIsQuarantinedOnEveryHost) {
  startLeaves();
  std::vector<const HostProcess *> hosts;
  hosts.reserve(3);
  for (int n = 0; n < 3; ++n)
    hosts.push_back(&startHost());
  // Time for the hosts to discover each other.
  std::this_thread::sleep_for(3s);
  // Other requests continue meanwhile, each with a new query.
  const BackgroundSearches load(hosts, 3, [](const JsonReply &) {});
  const json fatal = {{"crash", true}};
  int quarantined = 0;
  for (int n = 0; n < 12; ++n) {
    const auto reply = search(*hosts[static_cast<std::size_t>(n) % 3], fatal);
    const auto error = reply.Body.value("error", json::object());
    quarantined += error.value("code", "") == "quarantined" ? 1 : 0;
    // Time for a caller to retry and for the hosts to exchange crash records.
    std::this_thread::sleep_for(200ms);
  }
  int crashed = 0;
  for (int n = 0; n < SearchLeaves; ++n)
    crashed += leaf(n).Child.ended() ? 1 : 0;
  EXPECT_LE(crashed, 2);
  EXPECT_GE(quarantined, 10);
  EXPECT_EQ(shardsAnswered(search(*hosts[0], {{"text", "innocent"}})), Groups);
}

TEST_F(SearchTest, RefusalsUnderOverloadCarryRetryAfter) {
  startLeaves({"--service_ms=50"});
  const auto &host = startHost();
  std::mutex lock;
  // Status and error of each other answer, with its number.
  std::map<std::string, int> untyped;
  {
    const BackgroundSearches load({&host}, 60, [&](const JsonReply &reply) {
      if (reply.Status == 200)
        return;
      const auto error = reply.Body.value("error", json::object());
      if (error.value("code", "") == "overloaded" &&
          error.value("run", "") == "not_run" &&
          reply.Headers.count("retry-after") > 0)
        return;
      const std::lock_guard guard(lock);
      ++untyped[std::to_string(reply.Status) + " " + error.dump()];
    });
    std::this_thread::sleep_for(2s);
  }
  EXPECT_EQ(untyped, (std::map<std::string, int>{}));
}

TEST_F(SearchTest, APausedHostDoesNotReduceCoverageOfOthers) {
  startLeaves();
  startHost();
  startHost();
  Cluster.Hosts[0]->Child.signal(SIGSTOP);
  int completeAnswers = 0;
  for (int n = 0; n < 20; ++n)
    completeAnswers +=
        shardsAnswered(search(*Cluster.Hosts[1], {{"text", n}})) == Groups ? 1
                                                                           : 0;
  Cluster.Hosts[0]->Child.signal(SIGCONT);
  EXPECT_EQ(completeAnswers, 20);
}

} // namespace
