#include "entry/CrashTracker.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::entry;
using namespace std::chrono_literals;

namespace {

CallerRequest request(const std::string &target, const std::string &id,
                      const std::string &body = "") {
  CallerRequest request;
  request.set(boost::beast::http::field::host, "a.example");
  request.set("Request-Id", id);
  request.target(target);
  request.body() = body;
  return request;
}

/// A day on which time goes by as the test says.
class CrashTrackerTest : public ::testing::Test {
protected:
  CrashTrackerTest() {
    Tracker.onRecords([this](const auto &records) {
      SentRecords.insert(SentRecords.end(), records.begin(), records.end());
    });
  }

  void broke(const std::string &runId) {
    Tracker.onRunEnd({Print, runId, false, true}, Now);
  }
  void answered() { Tracker.onRunEnd({Print, "ok", true, false}, Now); }
  bool refused() { return Tracker.quarantinedFor(Print, Now).has_value(); }

  core::TimePoint Now{1h};
  const core::Fingerprint Print = fingerprintOf(request("/x", "r"));
  CrashTracker Tracker;
  std::vector<core::QuarantineRecord> SentRecords;
};

TEST_F(CrashTrackerTest, TheThirdBrokenRunIsTheLast) {
  for (const char *run : {"r1", "r2", "r3"}) {
    EXPECT_FALSE(refused());
    broke(run);
  }
  EXPECT_TRUE(refused());
  EXPECT_EQ(SentRecords.size(), 3U);
}

TEST_F(CrashTrackerTest, OneRunCountsOnce) {
  for (int i = 0; i < 5; ++i)
    broke("same run, told by several hosts");
  EXPECT_FALSE(refused());
}

TEST_F(CrashTrackerTest, AnAnswerClearsIt) {
  broke("r1");
  broke("r2");
  Now += 1s;
  answered();
  Now += 1s;
  broke("r3");
  EXPECT_FALSE(refused());
}

TEST_F(CrashTrackerTest, ARunThatWasAnsweredInPartIsNotBlamed) {
  for (const char *run : {"r1", "r2", "r3", "r4"})
    Tracker.onRunEnd({Print, run, true, true}, Now);
  EXPECT_FALSE(refused());
}

TEST_F(CrashTrackerTest, OtherHostsCountItToo) {
  CrashTracker other;
  for (const char *run : {"r1", "r2", "r3"})
    broke(run);
  other.merge(SentRecords, Now);
  other.merge(SentRecords, Now);
  EXPECT_TRUE(other.quarantinedFor(Print, Now).has_value());
}

TEST_F(CrashTrackerTest, ItIsForgottenInTime) {
  for (const char *run : {"r1", "r2", "r3"})
    broke(run);
  const auto wait = Tracker.quarantinedFor(Print, Now);
  ASSERT_TRUE(wait);
  Now += *wait;
  EXPECT_FALSE(refused());
}

TEST(Fingerprint, IsThatOfTheContentAlone) {
  const auto print = fingerprintOf(request("/x", "r1", "body"));
  EXPECT_EQ(print, fingerprintOf(request("/x", "r2", "body")));
  EXPECT_FALSE(print == fingerprintOf(request("/y", "r1", "body")));
  EXPECT_FALSE(print == fingerprintOf(request("/x", "r1", "other")));
}

} // namespace
