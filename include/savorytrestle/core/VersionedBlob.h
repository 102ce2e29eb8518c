#ifndef SAVORYTRESTLE_CORE_VERSIONED_BLOB_H
#define SAVORYTRESTLE_CORE_VERSIONED_BLOB_H

/// @file
/// @brief A value with its revision and checksum, as hosts exchange it.

#include <cstdint>
#include <string>

namespace savorytrestle::core {

/// @brief One revision of the whole settings tree, as hosts exchange it.
struct VersionedBlob {
  /// Incremented by each accepted change; 0 before the first.
  std::uint64_t Revision = 0;
  /// XXH3 of Payload; a receiver drops a blob whose checksum does not match.
  std::uint64_t Checksum = 0;
  std::string Payload;
};

/// @brief Makes a blob with its checksum.
/// @param revision revision of the payload
/// @param payload the value
/// @return the blob; O(payload)
VersionedBlob makeBlob(std::uint64_t revision, std::string payload);

/// @brief Whether the checksum matches the payload.
/// @param blob the blob
/// @return true if it matches; O(payload)
bool isIntact(const VersionedBlob &blob);

} // namespace savorytrestle::core

#endif
