#include "platform/ServingConfigCodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace savorytrestle;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json route(const std::string &name, const std::string &prefix) {
  return {
      {"name", name},         {"host", "a.example"}, {"pathPrefix", prefix},
      {"type", "idempotent"}, {"timeoutMs", 800},    {"targetLatencyMs", 150},
      {"priority", 2},        {"service", "s"},      {"maxAttempts", 2}};
}

json config(std::vector<json> routes) {
  return {{"version", 7},
          {"routes", std::move(routes)},
          {"services", {{{"name", "s"}, {"maxConnections", 41}}}},
          {"limits", {{"maxHeaderBytes", 100}, {"idleTimeoutMs", 1500}}}};
}

TEST(ServingConfig, TheLongestMatchingPrefixOfTheHostIsUsed) {
  const auto decoded = platform::decodeServingConfig(
      config({route("short", "/a/"), route("long", "/a/b/")}).dump());
  ASSERT_TRUE(decoded) << decoded.error().Message;
  EXPECT_EQ(decoded->findRoute("a.example", "/a/b/c")->Name, "long");
  EXPECT_EQ(decoded->findRoute("a.example", "/a/c")->Name, "short");
  EXPECT_EQ(decoded->findRoute("a.example", "/c/"), nullptr);
  EXPECT_EQ(decoded->findRoute("a.example", "/a"), nullptr);
  EXPECT_EQ(decoded->findRoute("b.example", "/a/"), nullptr);
}

TEST(ServingConfig, AllFieldsAreDecoded) {
  json sharded = route("r", "/a/");
  sharded.erase("service");
  sharded["type"] = "non_idempotent";
  sharded["fanoutServices"] = {"x", "y"};
  sharded["topK"] = 5;
  sharded["minShardShare"] = 0.75;
  const auto decoded = platform::decodeServingConfig(config({sharded}).dump());
  ASSERT_TRUE(decoded) << decoded.error().Message;
  const core::RouteRule &rule = decoded->Routes.front();
  EXPECT_FALSE(rule.Idempotent);
  EXPECT_TRUE(rule.sharded());
  EXPECT_EQ(rule.Timeout, 800ms);
  EXPECT_EQ(rule.Objective, 150ms);
  EXPECT_EQ(rule.TopRecords, 5U);
  EXPECT_DOUBLE_EQ(rule.MinShardShare, 0.75);
  EXPECT_EQ(decoded->Services.front().MaxConnections, 41);
  EXPECT_EQ(decoded->Limits.IdleTimeout, 1500ms);
}

TEST(ServingConfig, WeightsOfASplitAreKept) {
  json split = route("r", "/a/");
  split.erase("service");
  split["trafficSplit"] = {{{"service", "x"}, {"weight", 3}},
                           {{"service", "y"}, {"weight", 1}}};
  const auto decoded = platform::decodeServingConfig(config({split}).dump());
  ASSERT_TRUE(decoded);
  const auto &targets = decoded->Routes.front().Targets;
  ASSERT_EQ(targets.size(), 2U);
  EXPECT_DOUBLE_EQ(targets[0].Weight, 3);
}

TEST(ServingConfig, MalformedInputIsAnError) {
  EXPECT_FALSE(platform::decodeServingConfig(""));
  EXPECT_FALSE(platform::decodeServingConfig("[]"));
  EXPECT_FALSE(platform::decodeServingConfig("{\"version\":\"x\"}"));
  json broken = config({route("r", "/a/")});
  broken["routes"][0].erase("host");
  EXPECT_FALSE(platform::decodeServingConfig(broken.dump()));
}

json entry() {
  return {{"service", "s"},   {"address", "10.0.0.1:80"},
          {"zone", "z"},      {"maxConcurrency", 5},
          {"state", "ready"}, {"warmupLeftMs", 1200},
          {"sequence", 4},    {"born", 1767000000123}};
}

TEST(LeafEntry, IsDecoded) {
  const auto leaf = platform::decodeLeafEntry("i-1", entry().dump());
  ASSERT_TRUE(leaf) << leaf.error().Message;
  EXPECT_EQ(leaf->Id, "i-1");
  EXPECT_EQ(leaf->FailureDomain, "z");
  EXPECT_EQ(leaf->Slots, 5);
  EXPECT_EQ(leaf->WarmUpLeft, 1200ms);
  EXPECT_EQ(leaf->StartedAt, 1767000000123);
  EXPECT_FALSE(leaf->Draining);
}

TEST(LeafEntry, AMalformedEntryIsAnError) {
  for (const char *key :
       {"service", "address", "zone", "maxConcurrency", "state"}) {
    json broken = entry();
    broken.erase(key);
    EXPECT_FALSE(platform::decodeLeafEntry("i", broken.dump())) << key;
    broken[key] = json::array();
    EXPECT_FALSE(platform::decodeLeafEntry("i", broken.dump())) << key;
  }
  json odd = entry();
  odd["state"] = "sleeping";
  EXPECT_FALSE(platform::decodeLeafEntry("i", odd.dump()));
  odd = entry();
  odd["address"] = "nowhere";
  EXPECT_FALSE(platform::decodeLeafEntry("i", odd.dump()));
  EXPECT_FALSE(platform::decodeLeafEntry("i", "\xff\xfe"));
}

/// Guards against an odd entry of another writer that is taken for a leaf.
TEST(LeafEntry, OddEntriesNameNoLeaf) {
  const json good{{"service", "s"},   {"address", "10.0.0.1:80"},
                  {"zone", "z"},      {"maxConcurrency", 5},
                  {"state", "ready"}, {"warmupLeftMs", 0},
                  {"sequence", 4},    {"born", 1765000000000}};
  ASSERT_TRUE(platform::decodeLeafEntry("i", good.dump()));
  const std::vector<std::pair<const char *, const char *>> odd = {
      {"maxConcurrency", "4294967301"},
      {"maxConcurrency", "1e300"},
      {"maxConcurrency", "1e999"},
      {"maxConcurrency", "0"},
      {"maxConcurrency", "\"5\""},
      {"warmupLeftMs", "1e300"},
      {"warmupLeftMs", "-1e300"},
      {"born", "1e300"},
      {"born", "18446744073709551616"},
      {"address", "\"10.0.0.1:0\""},
      {"address", "\"10.0.0.1:65536\""},
      {"address", "\"10.0.0.1:-1\""},
      {"address", "\"10.0.0.1:99999999999\""},
      {"address", "\":80\""},
      {"state", "\"gone\""},
      {"service", "7"}};
  for (const auto &[field, value] : odd) {
    json entry = good;
    entry.erase(field);
    std::string text = entry.dump();
    text.pop_back();
    text += std::string(",\"") + field + "\":" + value + "}";
    EXPECT_FALSE(platform::decodeLeafEntry("i", text)) << text;
  }
}

} // namespace
