#include "savorytrestle/core/WriteKey.h"

#include <cctype>
#include <cstdio>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t VariantPosition = 19;

bool isHyphenPosition(std::size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

bool isUuidV7(std::string_view text) {
  if (text.size() != UuidLength)
    return false;
  for (std::size_t i = 0; i < UuidLength; ++i)
    if (isHyphenPosition(i)
            ? text[i] != '-'
            : std::isxdigit(static_cast<unsigned char>(text[i])) == 0)
      return false;
  return text[VersionPosition] == '7' &&
         std::string_view("89abAB").find(text[VariantPosition]) !=
             std::string_view::npos;
}

std::int64_t windowNumber(WallTime time, const WriteLimits &limits) {
  return time.time_since_epoch() / limits.WindowLength;
}

std::string toHex(XXH128_hash_t hash) {
  char buf[33];
  std::snprintf(buf, sizeof buf, "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return buf;
}

} // namespace

std::string windowPrefix(std::int64_t window) {
  return "claims/" + std::to_string(window) + "/";
}

std::string ClaimDocumentName::path() const {
  return windowPrefix(Window) + std::to_string(Bucket);
}

Result<WriteKey> parseWriteKey(std::string_view workspace,
                               std::string_view text) {
  if (!isUuidV7(text))
    return makeError(ErrorCode::BadRequest,
                     "Idempotency-Key is not a UUID of version 7");
  std::string uuid;
  for (const char c : text)
    uuid += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  const auto timestamp =
      std::stoull(uuid.substr(0, 8) + uuid.substr(9, 4), nullptr, 16);
  return WriteKey{std::string(workspace), std::move(uuid),
                  WallTime(std::chrono::milliseconds(
                      static_cast<std::int64_t>(timestamp)))};
}

std::string makeUuidV7(WallTime createdAt, std::uint64_t randomHigh,
                       std::uint64_t randomLow) {
  const auto timestamp =
      static_cast<unsigned long long>(createdAt.time_since_epoch().count());
  const unsigned long long low = randomLow;
  char buf[UuidLength + 1];
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                (timestamp >> 16) & 0xffffffff, timestamp & 0xffff,
                static_cast<unsigned long long>(randomHigh) & 0xfff,
                0x8000 | ((low >> 48) & 0x3fff), low & 0xffffffffffff);
  return buf;
}

Result<void> checkKeyAge(const WriteKey &key, WallTime now,
                         const WriteLimits &limits) {
  if (key.CreatedAt > now + limits.MaxClockSkew)
    return makeError(ErrorCode::BadRequest,
                     "Idempotency-Key has a timestamp in the future");
  if (now - key.CreatedAt < limits.Retention)
    return {};
  // The claim may have been deleted, so it is unknown whether the write ran.
  return tl::unexpected<Error>(
      Error{ErrorCode::NotFound,
            "Idempotency-Key is older than the retention period",
            RunState::Unknown,
            {}});
}

ClaimDocumentName claimDocumentName(const WriteKey &key,
                                    const WriteLimits &limits) {
  const std::string name = key.entryName();
  const auto hash = XXH3_64bits(name.data(), name.size());
  return {windowNumber(key.CreatedAt, limits),
          static_cast<std::uint32_t>(hash % limits.BucketsPerWindow)};
}

std::int64_t newestExpiredWindow(WallTime now, const WriteLimits &limits) {
  // A host whose clock is behind by the skew still accepts a key that is
  // expired here, hence the skew. The window of the resulting time may contain
  // keys that are not expired yet, hence the window before it.
  return windowNumber(now - limits.Retention - limits.MaxClockSkew, limits) - 1;
}

std::string requestDigest(std::string_view route, std::string_view body) {
  std::string text(route);
  text += '\0';
  text += body;
  return toHex(XXH3_128bits(text.data(), text.size()));
}

} // namespace savorytrestle::core
