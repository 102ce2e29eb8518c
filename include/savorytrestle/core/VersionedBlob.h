#ifndef SAVORYTRESTLE_CORE_VERSIONED_BLOB_H
#define SAVORYTRESTLE_CORE_VERSIONED_BLOB_H

/// @file
/// @brief A revisioned value that hosts pass on to each other.

#include <cstdint>
#include <string>

namespace savorytrestle::core {

/// @brief One revision of the whole settings tree, as it travels between hosts.
struct VersionedBlob {
  /// Grows by one with each accepted change; 0 is "none yet".
  std::uint64_t Revision = 0;
  /// XXH3 of Payload; a receiver that computes another one drops the blob.
  std::uint64_t Checksum = 0;
  std::string Payload;
};

/// @brief Makes a blob with its checksum.
/// @param revision revision of the payload
/// @param payload the value
/// @return the blob; O(payload)
VersionedBlob makeBlob(std::uint64_t revision, std::string payload);

/// @brief Whether the checksum fits the payload.
/// @param blob the blob
/// @return true when intact; O(payload)
bool isIntact(const VersionedBlob &blob);

} // namespace savorytrestle::core

#endif
