#include "registry/CrashFeed.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::core;

namespace {

TEST(CrashRunItem, KeyAndValueHoldTheRun) {
  const FatalRun run{{0xabc, ~0ULL}, 17, 3, 5, {1, ~0ULL}};
  const auto key = registry::crashRunKey(run);
  EXPECT_EQ(key, "crashes/0000000000000abcffffffffffffffff/0000000000000011-3");
  const auto read =
      registry::decodeCrashRun(key, registry::encodeCrashRun(run));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->RequestFingerprint, run.RequestFingerprint);
  EXPECT_EQ(read->Id, run.Id);
  EXPECT_EQ(read->FirstRound, 3U);
  EXPECT_EQ(read->LastRound, 5U);
  EXPECT_EQ(read->Services, run.Services);
}

TEST(CrashRunItem, MalformedItemsAreErrors) {
  const std::string key =
      "crashes/0000000000000abcffffffffffffffff/0000000000000011-3";
  const std::string value = R"({"last_round": 3})";
  EXPECT_TRUE(registry::decodeCrashRun(key, value));
  for (const char *bad :
       {"crashes/", "crashes/1", "crashes/0000000000000abcffffffffffffffff",
        "crashes/0000000000000abcffffffffffffffff/",
        "crashes/0000000000000abcffffffffffffffff/11",
        "crashes/0000000000000abcfffffffffffffffg/11-1",
        "crashes/0000000000000abcffffffffffffffff/11-x",
        "crashes/0000000000000abcffffffffffffffff/11-99999999999"})
    EXPECT_FALSE(registry::decodeCrashRun(bad, value)) << bad;
  for (const char *bad :
       {"", "[]", "{}", R"({"last_round": -1})", R"({"last_round": 2})",
        R"({"last_round": 3, "services": [1,2,3,4,5]})",
        R"({"last_round": 1e99})", R"({"last_round": 3, "services": "x"})"})
    EXPECT_FALSE(registry::decodeCrashRun(key, bad)) << bad;
}

} // namespace
