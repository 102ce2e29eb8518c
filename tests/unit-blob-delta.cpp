#include "savorytrestle/core/BlobDelta.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using nlohmann::json;

namespace {

VersionedBlob blob(std::uint64_t revision, const json &parts) {
  return makeBlob(revision, parts.dump());
}

TEST(BlobDelta, HoldsOnlyChangedAndRemovedParts) {
  PartHistory history;
  const auto first = blob(1, {{"a", "1"}, {"b", "1"}, {"c", "1"}});
  const auto last = blob(3, {{"a", "1"}, {"b", "2"}, {"d", "1"}});
  history.record(first);
  history.record(blob(2, {{"a", "1"}, {"b", "1"}}));
  history.record(last);
  const auto delta = history.deltaSince(1);
  ASSERT_TRUE(delta);
  EXPECT_EQ(delta->Changed, json({{"b", "2"}, {"d", "1"}}));
  EXPECT_EQ(delta->Removed, std::vector<std::string>{"c"});
  EXPECT_EQ(applyDelta(first, *delta)->Payload, last.Payload);
}

TEST(BlobDelta, AppliesAfterRandomChanges) {
  std::uint64_t seed = 7;
  const auto next = [&seed] { return seed = seed * 6364136223846793005U + 1; };
  PartHistory history;
  std::vector<VersionedBlob> versions;
  json parts = json::object();
  for (std::uint64_t revision = 1; revision <= 200; ++revision) {
    const auto name = "p" + std::to_string((next() >> 33) % 20);
    if ((next() >> 33) % 3 == 0)
      parts.erase(name);
    else
      parts[name] = revision;
    versions.push_back(blob(revision, parts));
    // The sender skips some revisions.
    if ((next() >> 33) % 3 != 0)
      history.record(versions.back());
    if (const auto delta =
            history.deltaSince(versions[revision / 2].Revision)) {
      const auto result = applyDelta(versions[revision / 2], *delta);
      ASSERT_TRUE(result);
      EXPECT_EQ(result->Payload, versions[history.revision() - 1].Payload);
    }
  }
}

TEST(BlobDelta, InnerMembersAreParts) {
  PartHistory history;
  const auto first = blob(1, {{"revision", 1},
                              {"empty", json::object()},
                              {"nodes", {{"a/x", {{"k", 1}}}, {"b", 1}}}});
  const auto last = blob(2, {{"revision", 2},
                             {"empty", {{"z", 1}}},
                             {"nodes", {{"a/x", {{"j", 1}}}, {"b", 1}}}});
  history.record(first);
  history.record(last);
  const auto delta = history.deltaSince(1);
  ASSERT_TRUE(delta);
  EXPECT_EQ(delta->Changed.size(), 3U) << delta->Changed;
  EXPECT_EQ(applyDelta(first, *delta)->Payload, last.Payload);
}

TEST(BlobDelta, IsNotAppliedToAnotherBase) {
  PartHistory history;
  history.record(blob(1, {{"a", "1"}, {"b", "1"}}));
  history.record(blob(2, {{"a", "2"}, {"b", "1"}}));
  const auto delta = history.deltaSince(1);
  ASSERT_TRUE(delta);
  EXPECT_FALSE(applyDelta(blob(3, {{"a", "1"}, {"b", "1"}}), *delta));
  EXPECT_FALSE(applyDelta(blob(1, {{"a", "1"}, {"b", "9"}}), *delta))
      << "the checksum was not compared";
}

TEST(BlobDelta, IsUnavailableForABaseBeforeTheHistoryOrWithoutParts) {
  PartHistory history;
  history.record(blob(5, {{"a", "1"}}));
  EXPECT_FALSE(history.deltaSince(4));
  EXPECT_FALSE(history.deltaSince(0));
  EXPECT_TRUE(history.deltaSince(5));
  history.record(makeBlob(6, "no json"));
  EXPECT_FALSE(history.deltaSince(5));
}

} // namespace
