#ifndef SAVORYTRESTLE_CORE_WRITE_KEY_H
#define SAVORYTRESTLE_CORE_WRITE_KEY_H

/// @file
/// @brief Idempotency keys of writes: their form, their age and the store
/// document that holds a key's claim.

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief How long keys live and how their claims are spread over documents.
///
/// Every host must use the same Window and Buckets.
struct WriteLimits {
  /// Age at which a key is refused and its claim may be deleted.
  std::chrono::milliseconds Retention{std::chrono::hours(1)};
  /// Largest difference between the wall clocks of any two machines.
  std::chrono::milliseconds MaxClockSkew{5000};
  /// Keys minted within one window share documents, which expire whole.
  std::chrono::milliseconds WindowLength{std::chrono::minutes(1)};
  /// Documents of one window.
  std::uint32_t BucketsPerWindow = 8;
  /// A reply body up to this many bytes is kept with the outcome.
  std::uint32_t MaxKeptBodyBytes = 1024;
  /// Document size from which no further reply bodies are kept.
  std::uint32_t MaxDocumentBytesForBodies = 256 << 10;
  /// Document size from which no further claims are taken.
  std::uint32_t MaxDocumentBytesForClaims = 512 << 10;
};

/// @brief A caller's idempotency key: a UUIDv7 within a workspace.
struct WriteKey {
  std::string Workspace;
  /// The UUID in lower case.
  std::string Uuid;
  /// When the caller made it, by the UUID's first 48 bits.
  WallTime CreatedAt;

  /// @brief Name of the key's entry in its document.
  /// @return "workspace/uuid"
  std::string entryName() const { return Workspace + "/" + Uuid; }
};

/// @brief Name of the one document that may hold a key's claim.
struct ClaimDocumentName {
  /// Window number since the epoch.
  std::int64_t Window = 0;
  std::uint32_t Bucket = 0;

  /// @brief Key of the document in the store.
  /// @return "claims/WINDOW/BUCKET"
  std::string path() const;

  bool operator==(const ClaimDocumentName &) const = default;
  bool operator<(const ClaimDocumentName &other) const {
    return std::tie(Window, Bucket) < std::tie(other.Window, other.Bucket);
  }
};

/// @brief Store prefix of all documents of a window.
/// @param window the window number
/// @return "claims/WINDOW/"
std::string windowPrefix(std::int64_t window);

/// @brief Reads a key.
/// @param workspace the caller's workspace
/// @param text the Idempotency-Key header
/// @return the key, or BadRequest unless the text is a UUIDv7
Result<WriteKey> parseWriteKey(std::string_view workspace,
                               std::string_view text);

/// @brief Makes a UUIDv7, for callers and tests.
/// @param createdAt its time stamp
/// @param randomHigh 12 bits of it are used
/// @param randomLow 62 bits of it are used
/// @return the UUID in lower case
std::string makeUuidV7(WallTime createdAt, std::uint64_t randomHigh,
                       std::uint64_t randomLow);

/// @brief Checks that a key is young enough for its claim to be still kept.
/// @param key the key
/// @param now this host's wall clock
/// @param limits retention and clock skew
/// @return nothing; BadRequest for a key from the future; NotFound with run
///   state unknown for one whose retention is over
Result<void> checkKeyAge(const WriteKey &key, WallTime now,
                         const WriteLimits &limits);

/// @brief Names the document of a key.
/// @param key the key
/// @param limits window and bucket count
/// @return the document's name
ClaimDocumentName claimDocumentName(const WriteKey &key,
                                    const WriteLimits &limits);

/// @brief Latest window of which no host takes keys any more.
/// @param now this host's wall clock
/// @param limits retention, clock skew and window
/// @return the window number; its documents may be deleted
std::int64_t newestExpiredWindow(WallTime now, const WriteLimits &limits);

/// @brief Digest that tells a resend from a reused key.
/// @param route the write route
/// @param body the request body
/// @return 32 hexadecimal digits
std::string requestDigest(std::string_view route, std::string_view body);

} // namespace savorytrestle::core

#endif
