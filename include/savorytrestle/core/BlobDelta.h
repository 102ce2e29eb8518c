#ifndef SAVORYTRESTLE_CORE_BLOB_DELTA_H
#define SAVORYTRESTLE_CORE_BLOB_DELTA_H

/// @file
/// @brief Differences between two revisions of a payload, by part.
///
/// A payload has parts if it is a JSON object, written without whitespace and
/// with sorted keys. Each of its members is a part; a member that is a
/// non-empty object is divided further, so that each of its own members is a
/// part.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/VersionedBlob.h"

namespace savorytrestle::core {

/// @brief Changes that lead from one revision of a payload to a later one.
struct BlobDelta {
  /// Revision it applies to.
  std::uint64_t Base = 0;
  /// Revision it leads to.
  std::uint64_t Revision = 0;
  /// Checksum of the whole later payload.
  std::uint64_t Checksum = 0;
  /// New values of the parts that changed or were added.
  nlohmann::json Changed = nlohmann::json::object();
  /// Names of the removed parts.
  std::vector<std::string> Removed;
};

/// @brief Applies a delta.
/// @param base the revision the receiver has
/// @param delta the delta
/// @return the later revision, or nothing if the base has another revision or
///   the result has another checksum than the delta states; O(payload)
std::optional<VersionedBlob> applyDelta(const VersionedBlob &base,
                                        const BlobDelta &delta);

/// @brief Records the revision at which each part last changed.
class PartHistory {
public:
  /// @brief Records the revision now in force.
  /// @param blob the value; ignored unless newer than the last recorded one
  void record(const VersionedBlob &blob);

  /// @brief Revision recorded last.
  /// @return the revision; 0 before the first
  std::uint64_t revision() const { return Revision; }

  /// @brief Makes the delta from an earlier revision to the last recorded one.
  /// @param base the receiver's revision
  /// @return the delta; nothing if the base is older than the history or newer
  ///   than the last recorded revision, or the payload has no parts; O(parts)
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
