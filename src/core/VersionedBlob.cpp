#include "savorytrestle/core/VersionedBlob.h"

#include <utility>

#include <xxhash.h>

namespace savorytrestle::core {

VersionedBlob makeBlob(std::uint64_t revision, std::string payload) {
  const auto checksum = XXH3_64bits(payload.data(), payload.size());
  return {revision, checksum, std::move(payload)};
}

bool isIntact(const VersionedBlob &blob) {
  return XXH3_64bits(blob.Payload.data(), blob.Payload.size()) == blob.Checksum;
}

} // namespace savorytrestle::core
