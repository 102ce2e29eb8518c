#include "savorytrestle/core/ClaimDocument.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;

namespace {

constexpr WallTime BaseTime{std::chrono::hours(500000)};

ClaimRequest makeRequest(const std::string &attempt,
                         SendNumber send = UnknownSend,
                         const std::string &body = "filing") {
  return {parseWriteKey("meldestelle", makeUuidV7(BaseTime, 1, 1)).value(),
          requestDigest("file", body), attempt, send};
}

WriteOutcome ran(const std::string &body) {
  return {RunState::Ran, body, true, ""};
}

/// The document as another host reads it from the store.
ClaimDocument reparsed(const ClaimDocument &document) {
  return ClaimDocument::parse(document.dump()).value();
}

class ClaimDocumentTest : public testing::Test {
protected:
  ClaimDecision claim(const ClaimRequest &request) {
    return Document.claim(request, Limits).Decision;
  }

  WriteLimits Limits;
  ClaimDocument Document;
};

TEST_F(ClaimDocumentTest, GrantsAKeyToOnlyOneAttempt) {
  EXPECT_EQ(claim(makeRequest("a")), ClaimDecision::Granted);
  Document = reparsed(Document);
  EXPECT_EQ(claim(makeRequest("b")), ClaimDecision::InProgress);
  EXPECT_EQ(claim(makeRequest("a")), ClaimDecision::Granted);
  EXPECT_FALSE(Document.isModified());
}

TEST_F(ClaimDocumentTest, ResendGetsTheFirstOutcome) {
  claim(makeRequest("a"));
  EXPECT_TRUE(Document.recordOutcome(makeRequest("a"), ran("ok"), Limits));
  EXPECT_TRUE(Document.recordOutcome(makeRequest("a"), ran("other"), Limits));
  Document = reparsed(Document);
  const auto result = Document.claim(makeRequest("b"), Limits);
  EXPECT_EQ(result.Decision, ClaimDecision::Finished);
  EXPECT_EQ(result.Outcome.Run, RunState::Ran);
  EXPECT_EQ(result.Outcome.Body, "ok");
}

TEST_F(ClaimDocumentTest, UnknownOutcomeIsFinal) {
  claim(makeRequest("a"));
  EXPECT_TRUE(Document.recordOutcome(makeRequest("a"), WriteOutcome{}, Limits));
  Document = reparsed(Document);
  const auto result = Document.claim(makeRequest("b"), Limits);
  EXPECT_EQ(result.Decision, ClaimDecision::Finished);
  EXPECT_EQ(result.Outcome.Run, RunState::Unknown);
  EXPECT_FALSE(Document.releaseClaim(makeRequest("a")));
}

TEST_F(ClaimDocumentTest, ReleasesAClaimOnlyForItsAttempt) {
  claim(makeRequest("a"));
  EXPECT_FALSE(Document.releaseClaim(makeRequest("b")));
  EXPECT_TRUE(Document.releaseClaim(makeRequest("a")));
  Document = reparsed(Document);
  EXPECT_FALSE(Document.recordOutcome(makeRequest("a"), ran("late"), Limits));
  EXPECT_EQ(claim(makeRequest("a")), ClaimDecision::Closed);
  EXPECT_EQ(claim(makeRequest("b")), ClaimDecision::Granted);
}

TEST_F(ClaimDocumentTest, DoesNotGrantSendsAlreadyAnsweredNotRun) {
  claim(makeRequest("second", 2));
  EXPECT_TRUE(Document.releaseClaim(makeRequest("second", 2)));
  Document = reparsed(Document);
  EXPECT_EQ(claim(makeRequest("first", 1)), ClaimDecision::Closed);
  EXPECT_EQ(claim(makeRequest("duplicate", 2)), ClaimDecision::Closed);
  EXPECT_EQ(claim(makeRequest("third", 3)), ClaimDecision::Granted);
}

TEST_F(ClaimDocumentTest, ReleaseOfAnAbsentKeyRejectsALaterClaim) {
  EXPECT_TRUE(Document.releaseClaim(makeRequest("a", 1)));
  EXPECT_TRUE(Document.isModified());
  EXPECT_EQ(claim(makeRequest("a", 1)), ClaimDecision::Closed);
}

TEST_F(ClaimDocumentTest, RefusesAKeyUsedForAnotherRequest) {
  claim(makeRequest("a"));
  EXPECT_EQ(claim(makeRequest("b", UnknownSend, "other filing")),
            ClaimDecision::KeyReused);
}

TEST_F(ClaimDocumentTest, KeepsOnlyTheDigestOfALongOrNonUtf8Body) {
  for (const auto &body : {std::string(Limits.MaxKeptBodyBytes + 1, 'x'),
                           std::string("\xff\xfe")}) {
    ClaimDocument document;
    document.claim(makeRequest("a"), Limits);
    document.recordOutcome(makeRequest("a"), ran(body), Limits);
    const auto outcome =
        reparsed(document).claim(makeRequest("b"), Limits).Outcome;
    EXPECT_EQ(outcome.Run, RunState::Ran);
    EXPECT_FALSE(outcome.BodyKept);
    EXPECT_EQ(outcome.BodyDigest, requestDigest("", body));
  }
}

TEST_F(ClaimDocumentTest, RefusesClaimsBeforeTheStoresValueSizeLimit) {
  constexpr std::size_t StoreValueBytes = 1 << 20;
  Limits.MaxKeptBodyBytes = 1024;
  for (std::uint64_t i = 0; i < 20000; ++i) {
    auto request = makeRequest("host-1/0123456789abcdef/" + std::to_string(i));
    request.Key =
        parseWriteKey("meldestelle", makeUuidV7(BaseTime, 1, i)).value();
    if (Document.claim(request, Limits).Decision == ClaimDecision::Full)
      break;
    Document.recordOutcome(request, ran(std::string(1024, 'x')), Limits);
  }
  auto late = makeRequest("late");
  late.Key = parseWriteKey("meldestelle", makeUuidV7(BaseTime, 2, 7)).value();
  EXPECT_EQ(claim(late), ClaimDecision::Full);
  EXPECT_LT(Document.dump().size(), StoreValueBytes);
  EXPECT_EQ(reparsed(Document).sizeBytes(), Document.sizeBytes());
}

TEST_F(ClaimDocumentTest, RejectsAMalformedDocument) {
  EXPECT_FALSE(ClaimDocument::parse("[]"));
  EXPECT_FALSE(ClaimDocument::parse("{"));
  EXPECT_FALSE(ClaimDocument::parse(R"({"w/k": {"state": "claimed"}})"));
  EXPECT_TRUE(ClaimDocument::parse("{}"));
}

} // namespace
