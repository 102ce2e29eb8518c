#ifndef SAVORYTRESTLE_CORE_WRITE_KEY_H
#define SAVORYTRESTLE_CORE_WRITE_KEY_H

/// @file
/// @brief Idempotency keys of writes: format, age check and the name of the
/// store document that holds a key's claim.

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Retention of keys and distribution of their claims over documents.
///
/// WindowLength and BucketsPerWindow must be the same on all hosts.
struct WriteLimits {
  /// Age from which a key is refused and its claim may be deleted.
  std::chrono::milliseconds Retention{std::chrono::hours(1)};
  /// Largest difference between the wall clocks of any two hosts or callers.
  std::chrono::milliseconds MaxClockSkew{5000};
  /// Length of a window. Keys created within one window share documents, which
  /// are deleted as a whole.
  std::chrono::milliseconds WindowLength{std::chrono::minutes(1)};
  /// Number of documents per window.
  std::uint32_t BucketsPerWindow = 8;
  /// Largest reply body that is stored with the outcome.
  std::uint32_t MaxKeptBodyBytes = 1024;
  /// Document size from which no further reply bodies are stored.
  std::uint32_t MaxDocumentBytesForBodies = 256 << 10;
  /// Document size from which further claims are refused.
  std::uint32_t MaxDocumentBytesForClaims = 512 << 10;
};

/// @brief A caller's idempotency key: a UUIDv7 within a workspace.
struct WriteKey {
  std::string Workspace;
  /// The UUID in lower case.
  std::string Uuid;
  /// Creation time according to the caller: the first 48 bits of the UUID.
  WallTime CreatedAt;

  /// @brief Name of the key's entry in its document.
  /// @return "workspace/uuid"
  std::string entryName() const { return Workspace + "/" + Uuid; }
};

/// @brief Name of the only document that may hold a key's claim.
struct ClaimDocumentName {
  /// Number of the window, counted from the epoch.
  std::int64_t Window = 0;
  /// Number of the document within its window.
  std::uint32_t Bucket = 0;

  /// @brief Key of the document in the store.
  /// @return "claims/WINDOW/BUCKET"
  std::string path() const;

  bool operator==(const ClaimDocumentName &) const = default;
  bool operator<(const ClaimDocumentName &other) const {
    return std::tie(Window, Bucket) < std::tie(other.Window, other.Bucket);
  }
};

/// @brief Common prefix of the store keys of a window's documents.
/// @param window the window number
/// @return "claims/WINDOW/"
std::string windowPrefix(std::int64_t window);

/// @brief Parses a key.
/// @param workspace the caller's workspace
/// @param text value of the Idempotency-Key header
/// @return the key, or BadRequest if the text is not a UUIDv7
Result<WriteKey> parseWriteKey(std::string_view workspace,
                               std::string_view text);

/// @brief Makes a UUIDv7, for callers and tests.
/// @param createdAt creation time
/// @param randomHigh random number; the low 12 bits are used
/// @param randomLow random number; the low 62 bits are used
/// @return the UUID in lower case
std::string makeUuidV7(WallTime createdAt, std::uint64_t randomHigh,
                       std::uint64_t randomLow);

/// @brief Checks that a key is within the retention period, in which its claim
/// is kept.
/// @param key the key
/// @param now this host's wall clock
/// @param limits retention and clock skew
/// @return nothing; BadRequest if the key's creation time is in the future by
///   more than the clock skew; NotFound with run state Unknown once the
///   retention period is over
Result<void> checkKeyAge(const WriteKey &key, WallTime now,
                         const WriteLimits &limits);

/// @brief Name of the document that holds a key's claim.
/// @param key the key
/// @param limits window length and buckets per window
/// @return the document's name
ClaimDocumentName claimDocumentName(const WriteKey &key,
                                    const WriteLimits &limits);

/// @brief Newest window whose keys are expired on every host.
/// @param now this host's wall clock
/// @param limits retention, clock skew and window length
/// @return the window number; documents of this window and older ones may be
///   deleted
std::int64_t newestExpiredWindow(WallTime now, const WriteLimits &limits);

/// @brief Digest of a write, used to tell a resend from a reused key.
/// @param route the write route
/// @param body the request body
/// @return 32 hexadecimal digits
std::string requestDigest(std::string_view route, std::string_view body);

} // namespace savorytrestle::core

#endif
