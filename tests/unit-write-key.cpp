#include "savorytrestle/core/WriteKey.h"

#include <set>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

constexpr WallTime BaseTime{std::chrono::hours(500000)};
const WriteLimits Limits;

WriteKey keyCreatedAt(WallTime createdAt, std::uint64_t random = 1) {
  return parseWriteKey("preisaufsicht", makeUuidV7(createdAt, 0, random))
      .value();
}

TEST(WriteKey, HoldsItsCreationTime) {
  const auto key = parseWriteKey("w", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  ASSERT_TRUE(key);
  EXPECT_EQ(key->CreatedAt.time_since_epoch(), 1645557742000ms);
  EXPECT_EQ(key->entryName(), "w/017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  EXPECT_EQ(keyCreatedAt(BaseTime).CreatedAt, BaseTime);
}

TEST(WriteKey, RejectsTextThatIsNotAUuidOfVersion7) {
  for (const auto *text :
       {"", "renewal-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e2x79b0-7cc3-98c4-dc0c0c07398f",
        "017f22g2-79b0-7cc3-98c4-dc0c0c07398f"})
    EXPECT_EQ(parseWriteKey("w", text).error().Code, ErrorCode::BadRequest);
}

TEST(WriteKey, IsRefusedAfterItsRetentionPeriod) {
  const auto key = keyCreatedAt(BaseTime);
  EXPECT_TRUE(checkKeyAge(key, BaseTime + Limits.Retention - 1ms, Limits));
  const auto late = checkKeyAge(key, BaseTime + Limits.Retention, Limits);
  ASSERT_FALSE(late);
  EXPECT_EQ(late.error().Run, RunState::Unknown);
}

TEST(WriteKey, MayBeAheadOfTheClockByAtMostTheSkew) {
  const auto key = keyCreatedAt(BaseTime);
  EXPECT_TRUE(checkKeyAge(key, BaseTime - Limits.MaxClockSkew, Limits));
  EXPECT_EQ(checkKeyAge(key, BaseTime - Limits.MaxClockSkew - 1ms, Limits)
                .error()
                .Code,
            ErrorCode::BadRequest);
}

// Guards against a host whose clock is ahead by the skew deleting the document
// of a key that a host with a slower clock still accepts.
TEST(WriteKey, DocumentIsKeptWhileAnyHostAcceptsTheKey) {
  for (auto age = 0ms; age <= 3 * Limits.WindowLength; age += 997ms) {
    const auto key = keyCreatedAt(BaseTime + age);
    const auto document = claimDocumentName(key, Limits);
    const auto lastAccepted = key.CreatedAt + Limits.Retention - 1ms;
    ASSERT_TRUE(checkKeyAge(key, lastAccepted, Limits));
    EXPECT_GT(document.Window,
              newestExpiredWindow(lastAccepted + Limits.MaxClockSkew, Limits));
  }
}

TEST(WriteKey, DocumentExpiresAfterRetentionAndClockSkew) {
  const auto document = claimDocumentName(keyCreatedAt(BaseTime), Limits);
  const auto end = BaseTime + Limits.Retention + Limits.MaxClockSkew;
  EXPECT_LE(document.Window,
            newestExpiredWindow(end + 2 * Limits.WindowLength, Limits));
}

TEST(WriteKey, EachKeyHasOneDocumentAndAllBucketsAreUsed) {
  std::set<ClaimDocumentName> documents;
  for (std::uint64_t random = 0; random < 400; ++random) {
    const auto key = keyCreatedAt(BaseTime, random);
    EXPECT_EQ(claimDocumentName(key, Limits), claimDocumentName(key, Limits));
    documents.insert(claimDocumentName(key, Limits));
  }
  EXPECT_EQ(documents.size(), Limits.BucketsPerWindow);
}

TEST(WriteKey, DigestSeparatesRouteFromBody) {
  EXPECT_NE(requestDigest("a", "bc"), requestDigest("ab", "c"));
  EXPECT_NE(requestDigest("a", "b"), requestDigest("a", "c"));
  EXPECT_EQ(requestDigest("a", "b").size(), 32U);
}

} // namespace
