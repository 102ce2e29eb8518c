#include "leaf/LeavingLeaves.h"
#include "registry/HostEntry.h"
#include "savorytrestle/core/DepartedLeaves.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace std::chrono_literals;
using core::LeafRun;

namespace {

const LeafRun DepartedRun{"i-1", "10.0.0.1:80", 1700000000000};

TEST(DepartedLeaves, ARunStaysDeparted) {
  core::DepartedLeaves departed;
  EXPECT_TRUE(departed.add(DepartedRun));
  EXPECT_FALSE(departed.add(DepartedRun));
  EXPECT_TRUE(departed.contains(DepartedRun));
}

TEST(DepartedLeaves, ANewStartOrAddressOfTheSameLeafHasNotDeparted) {
  core::DepartedLeaves departed;
  departed.add(DepartedRun);
  EXPECT_FALSE(departed.contains(
      {DepartedRun.Id, DepartedRun.Address, DepartedRun.StartedAt + 1}));
  EXPECT_FALSE(departed.contains(
      {DepartedRun.Id, "10.0.0.2:80", DepartedRun.StartedAt}));
  EXPECT_FALSE(
      departed.contains({"i-2", DepartedRun.Address, DepartedRun.StartedAt}));
}

TEST(DepartedLeaves, TheNumberOfRunsIsBounded) {
  core::DepartedLeaves departed;
  for (int i = 0; i < 20000; ++i)
    departed.add({"i-" + std::to_string(i), "", 0});
  EXPECT_EQ(departed.size(), 16384U);
  EXPECT_FALSE(departed.contains({"i-0", "", 0}));
  EXPECT_TRUE(departed.contains({"i-19999", "", 0}));
}

/// Load: 200 hosts find a leaf leaving in the same moment; a notice takes a
/// second to reach the others.
TEST(DepartedLeaves, FewHostsPublishADeparture) {
  int early = 0;
  for (int i = 0; i < 200; ++i)
    if (core::departureNoticeDelay(200, i / 200.0) < 2s)
      ++early;
  EXPECT_LE(early, 20);
  EXPECT_GE(core::departureNoticeDelay(7, 0), 1s);
}

TEST(LeavingLeaves, TheHeaderIsReadAsWritten) {
  const std::vector<LeafRun> runs = {DepartedRun, {"i-2", "10.0.0.2:80", 0}};
  EXPECT_EQ(leaf::parseLeavingLeaves(leaf::formatLeavingLeaves(runs)), runs);
  EXPECT_TRUE(leaf::parseLeavingLeaves("").empty());
}

TEST(LeavingLeaves, MalformedEntriesAreSkipped) {
  const auto runs =
      leaf::parseLeavingLeaves("i-1,i-2 a b,  ,i-3 10.0.0.3:80 5,\xff");
  ASSERT_EQ(runs.size(), 1U);
  EXPECT_EQ(runs.front().Id, "i-3");
}

TEST(HostEntry, CarriesTheLeavesThatAreLeaving) {
  registry::HostEntry entry{"h-1", "a", "1.2.3.4:5", ""};
  entry.LeavingLeaves = {DepartedRun};
  const auto now = core::WallTime(5s);
  const auto read = registry::decodeHostEntry(
      "h-1", registry::encodeHostEntry(entry, now), now);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->LeavingLeaves, entry.LeavingLeaves);
}

TEST(HostEntry, CarriesRateLimitsAndLostLeaves) {
  registry::HostEntry entry{"h-1", "a", "1.2.3.4:5", ""};
  entry.RateLimits = {{DepartedRun, 32.5}};
  entry.EndedRateLimits = {DepartedRun};
  entry.LeavesLost = true;
  const auto now = core::WallTime(5s);
  const auto read = registry::decodeHostEntry(
      "h-1", registry::encodeHostEntry(entry, now), now);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->RateLimits, entry.RateLimits);
  EXPECT_EQ(read->EndedRateLimits, entry.EndedRateLimits);
  EXPECT_TRUE(read->LeavesLost);
}

/// Guards against entries that grow without a bound.
TEST(HostEntry, BoundsTheNumberOfRateLimits) {
  registry::HostEntry entry{"h-1", "a", "1.2.3.4:5", ""};
  for (int i = 0; i < 1000; ++i)
    entry.RateLimits[{"i-" + std::to_string(i), "", 0}] = 1;
  const auto now = core::WallTime(5s);
  const auto read = registry::decodeHostEntry(
      "h-1", registry::encodeHostEntry(entry, now), now);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->RateLimits.size(), 256U);
}

} // namespace
