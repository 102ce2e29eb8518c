#ifndef SAVORYTRESTLE_CORE_BLOB_DELTA_H
#define SAVORYTRESTLE_CORE_BLOB_DELTA_H

/// @file
/// @brief What changed between two revisions of a value made of parts.
///
/// A payload has parts when it is a JSON object written without blanks and with
/// sorted keys. Each member is a part, but for those that are objects, whose
/// own members are parts.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/VersionedBlob.h"

namespace savorytrestle::core {

/// @brief Leads from one revision to a later one.
struct BlobDelta {
  /// Revision it applies to.
  std::uint64_t Base = 0;
  /// Revision it leads to.
  std::uint64_t Revision = 0;
  /// Checksum of the whole later payload.
  std::uint64_t Checksum = 0;
  /// New texts of the parts that changed or were added.
  nlohmann::json Changed = nlohmann::json::object();
  /// Names of the parts that are gone.
  std::vector<std::string> Removed;
};

/// @brief Applies a delta.
/// @param base the revision the receiver has
/// @param delta the delta
/// @return the later revision, or nothing when the base is another one or the
///   result does not have the delta's checksum; O(payload)
std::optional<VersionedBlob> applyDelta(const VersionedBlob &base,
                                        const BlobDelta &delta);

/// @brief Remembers at which revision each part changed last.
class PartHistory {
public:
  /// @brief Takes the revision now in force.
  /// @param blob the value; one that is no newer is passed over
  void record(const VersionedBlob &blob);

  /// @brief Revision recorded last.
  /// @return the revision; 0 before the first
  std::uint64_t revision() const { return Revision; }

  /// @brief What changed since an earlier revision.
  /// @param base the receiver's revision
  /// @return the delta to the revision recorded last; nothing when the base is
  ///   older than what is remembered or the payload has no parts; O(parts)
  std::optional<BlobDelta> deltaSince(std::uint64_t base) const;

private:
  void restartAt(const VersionedBlob &blob);

  std::uint64_t Revision = 0;
  std::uint64_t Checksum = 0;
  /// Oldest revision that a delta can start from.
  std::uint64_t OldestBase = 0;
  nlohmann::json Parts;
  std::map<std::string, std::uint64_t> ChangedAt;
  std::map<std::string, std::uint64_t> RemovedAt;
};

} // namespace savorytrestle::core

#endif
