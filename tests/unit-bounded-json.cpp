#include "support/BoundedJson.h"

#include <random>

#include <gtest/gtest.h>

#include "platform/ServingConfigCodec.h"
#include "platform/StoreProtocol.h"

using namespace savorytrestle;

namespace {

std::string nested(const char *open, const std::string &core, const char *close,
                   int levels) {
  std::string text;
  for (int i = 0; i < levels; ++i)
    text += open;
  text += core;
  for (int i = 0; i < levels; ++i)
    text += close;
  return text;
}

TEST(BoundedJson, AcceptsNestingUpToTheBound) {
  EXPECT_TRUE(support::parseBoundedJson(nested("[", "1", "]", 64)));
  EXPECT_TRUE(support::parseBoundedJson("{\"a\":[1,2,{\"b\":null}]}"));
}

TEST(BoundedJson, RejectsNestingBeyondTheBound) {
  EXPECT_FALSE(support::parseBoundedJson(nested("[", "1", "]", 66)));
  EXPECT_FALSE(support::parseBoundedJson(nested("{\"a\":", "1", "}", 2000)));
  EXPECT_FALSE(support::parseBoundedJson(nested("[", "", "", 1000000)));
  EXPECT_TRUE(support::parseJsonOrDiscarded(nested("{\"a\":", "1", "}", 2000))
                  .is_discarded());
}

TEST(BoundedJson, IntegersOutOfRangeAreErrors) {
  const auto read = [](const std::string &text) {
    return support::decodeJson<int>(text, [](const nlohmann::json &value) {
      return support::integerWithin<int>(value, 1, 100);
    });
  };
  EXPECT_EQ(read("1"), 1);
  EXPECT_EQ(read("100"), 100);
  EXPECT_EQ(read("99.9"), 99);
  for (const char *bad :
       {"0", "101", "-1", "4294967297", "18446744073709551616", "1e300",
        "-1e300", "101.5", "\"5\"", "null", "[]"})
    EXPECT_FALSE(read(bad)) << bad;
  const auto readLarge = [](const std::string &text) {
    return support::decodeJson<std::uint64_t>(
        text, [](const nlohmann::json &value) {
          return support::integerWithin<std::uint64_t>(value);
        });
  };
  EXPECT_EQ(readLarge("18446744073709551615"), ~0ULL);
  EXPECT_FALSE(readLarge("18446744073709551616"));
  EXPECT_FALSE(readLarge("-1"));
}

/// Applies one to four random changes to a message: truncates it, repeats a
/// part, overwrites a byte, inserts nesting or a number out of range.
std::string mutate(std::string text, std::minstd_rand &random) {
  const std::size_t changes = 1 + random() % 4;
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 5) {
    case 0:
      text.resize(at);
      break;
    case 1:
      text.insert(at, text.substr(0, random() % text.size()));
      break;
    case 2:
      text[at] = static_cast<char>(random() % 256);
      break;
    case 3:
      text.insert(at, nested("{\"a\":[", "", "", 1 + random() % 300));
      break;
    default:
      text.replace(at, 1, "-1e999");
      break;
    }
  }
  return text;
}

/// Every decoder of external bytes returns a value or an error; none crashes.
TEST(DecoderFuzz, NoDecoderCrashes) {
  const std::vector<std::string> seeds{
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","type":"idempotent","timeoutMs":8,"targetLatencyMs":1,"fanoutServices":["s"],"maxAttempts":2,"topK":5,"minShardShare":0.75}],"services":[{"name":"s","maxConnections":4}],"limits":{"maxHeaderBytes":1}})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","maxConcurrency":5,"state":"ready","warmupLeftMs":0,"sequence":4})",
      R"({"items":[{"key":"k","value":"bm9k","revision":4,"createdAt":4,"lease":7}],"hasMore":false,"at":5})",
      R"({"events":[{"key":"k","revision":4,"deleted":true}],"at":5})",
      R"({"lease":77120,"ttlMs":3000})"};
  std::minstd_rand random(20261203);
  for (int i = 0; i < 5000; ++i) {
    const std::string text = mutate(seeds[random() % seeds.size()], random);
    (void)platform::decodeServingConfig(text);
    (void)platform::decodeLeafEntry("i", text);
    (void)platform::decodeItem(text);
    (void)platform::decodeRange(text);
    (void)platform::decodeWatch(text);
    (void)platform::decodeLease(text);
  }
}

} // namespace
