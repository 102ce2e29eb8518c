#include "savorytrestle/core/ClaimDocument.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;

namespace {

constexpr WallTime Noon{std::chrono::hours(500000)};

ClaimRequest request(const std::string &attempt, SendNumber send = UnknownSend,
                     const std::string &body = "filing") {
  return {parseWriteKey("meldestelle", makeUuidV7(Noon, 1, 1)).value(),
          requestDigest("file", body), attempt, send};
}

WriteOutcome ran(const std::string &body) {
  return {RunState::Ran, body, true, ""};
}

/// What another host reads after the bucket was stored.
ClaimDocument stored(const ClaimDocument &bucket) {
  return ClaimDocument::parse(bucket.dump()).value();
}

class ClaimDocumentTest : public testing::Test {
protected:
  ClaimDecision claim(const ClaimRequest &wish) {
    return Bucket.claim(wish, Limits).Decision;
  }

  WriteLimits Limits;
  ClaimDocument Bucket;
};

TEST_F(ClaimDocumentTest, GrantsAKeyToOneAttemptOnly) {
  EXPECT_EQ(claim(request("a")), ClaimDecision::Granted);
  Bucket = stored(Bucket);
  EXPECT_EQ(claim(request("b")), ClaimDecision::InProgress);
  EXPECT_EQ(claim(request("a")), ClaimDecision::Granted);
  EXPECT_FALSE(Bucket.isModified());
}

TEST_F(ClaimDocumentTest, GivesTheFirstOutcomeToEveryResend) {
  claim(request("a"));
  EXPECT_TRUE(Bucket.recordOutcome(request("a"), ran("ok"), Limits));
  EXPECT_TRUE(Bucket.recordOutcome(request("a"), ran("other"), Limits));
  Bucket = stored(Bucket);
  const auto verdict = Bucket.claim(request("b"), Limits);
  EXPECT_EQ(verdict.Decision, ClaimDecision::Finished);
  EXPECT_EQ(verdict.Outcome.Run, RunState::Ran);
  EXPECT_EQ(verdict.Outcome.Body, "ok");
}

TEST_F(ClaimDocumentTest, KeepsAnUnknownOutcomeUnknown) {
  claim(request("a"));
  EXPECT_TRUE(Bucket.recordOutcome(request("a"), WriteOutcome{}, Limits));
  Bucket = stored(Bucket);
  const auto verdict = Bucket.claim(request("b"), Limits);
  EXPECT_EQ(verdict.Decision, ClaimDecision::Finished);
  EXPECT_EQ(verdict.Outcome.Run, RunState::Unknown);
  EXPECT_FALSE(Bucket.releaseClaim(request("a")));
}

TEST_F(ClaimDocumentTest, ReleasesOnlyTheHoldersClaim) {
  claim(request("a"));
  EXPECT_FALSE(Bucket.releaseClaim(request("b")));
  EXPECT_TRUE(Bucket.releaseClaim(request("a")));
  Bucket = stored(Bucket);
  EXPECT_FALSE(Bucket.recordOutcome(request("a"), ran("late"), Limits));
  EXPECT_EQ(claim(request("a")), ClaimDecision::Closed);
  EXPECT_EQ(claim(request("b")), ClaimDecision::Granted);
}

TEST_F(ClaimDocumentTest, NotRunStaysTrueAgainstOlderSends) {
  claim(request("second", 2));
  EXPECT_TRUE(Bucket.releaseClaim(request("second", 2)));
  Bucket = stored(Bucket);
  EXPECT_EQ(claim(request("first", 1)), ClaimDecision::Closed);
  EXPECT_EQ(claim(request("duplicate", 2)), ClaimDecision::Closed);
  EXPECT_EQ(claim(request("third", 3)), ClaimDecision::Granted);
}

TEST_F(ClaimDocumentTest, ReleaseOfAnAbsentKeyClosesIt) {
  EXPECT_TRUE(Bucket.releaseClaim(request("a", 1)));
  EXPECT_TRUE(Bucket.isModified());
  EXPECT_EQ(claim(request("a", 1)), ClaimDecision::Closed);
}

TEST_F(ClaimDocumentTest, RefusesAKeyOfAnotherRequest) {
  claim(request("a"));
  EXPECT_EQ(claim(request("b", UnknownSend, "other filing")),
            ClaimDecision::KeyReused);
}

TEST_F(ClaimDocumentTest, KeepsOnlyTheDigestOfWhatItCannotKeep) {
  for (const auto &body : {std::string(Limits.MaxKeptBodyBytes + 1, 'x'),
                           std::string("\xff\xfe")}) {
    ClaimDocument bucket;
    bucket.claim(request("a"), Limits);
    bucket.recordOutcome(request("a"), ran(body), Limits);
    const auto outcome = stored(bucket).claim(request("b"), Limits).Outcome;
    EXPECT_EQ(outcome.Run, RunState::Ran);
    EXPECT_FALSE(outcome.BodyKept);
    EXPECT_EQ(outcome.BodyDigest, requestDigest("", body));
  }
}

TEST_F(ClaimDocumentTest, StopsTakingKeysBeforeTheStoresValueBound) {
  constexpr std::size_t StoreValueBytes = 1 << 20;
  Limits.MaxKeptBodyBytes = 1024;
  for (std::uint64_t i = 0; i < 20000; ++i) {
    auto wish = request("host-1/0123456789abcdef/" + std::to_string(i));
    wish.Key = parseWriteKey("meldestelle", makeUuidV7(Noon, 1, i)).value();
    if (Bucket.claim(wish, Limits).Decision == ClaimDecision::Full)
      break;
    Bucket.recordOutcome(wish, ran(std::string(1024, 'x')), Limits);
  }
  auto late = request("late");
  late.Key = parseWriteKey("meldestelle", makeUuidV7(Noon, 2, 7)).value();
  EXPECT_EQ(claim(late), ClaimDecision::Full);
  EXPECT_LT(Bucket.dump().size(), StoreValueBytes);
  EXPECT_EQ(stored(Bucket).sizeBytes(), Bucket.sizeBytes());
}

TEST_F(ClaimDocumentTest, RefusesADocumentThatItCannotReadWhole) {
  EXPECT_FALSE(ClaimDocument::parse("[]"));
  EXPECT_FALSE(ClaimDocument::parse("{"));
  EXPECT_FALSE(ClaimDocument::parse(R"({"w/k": {"state": "claimed"}})"));
  EXPECT_TRUE(ClaimDocument::parse("{}"));
}

} // namespace
