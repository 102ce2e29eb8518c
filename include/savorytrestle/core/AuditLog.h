#ifndef SAVORYTRESTLE_CORE_AUDIT_LOG_H
#define SAVORYTRESTLE_CORE_AUDIT_LOG_H

/// @file
/// @brief The audit trail of settings changes.

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief One value that a change replaced.
struct AuditItem {
  std::string Path;
  /// Empty when the node itself was added or removed.
  std::string Key;
  /// Null when there was none; a removed node's overrides.
  nlohmann::json Old;
  /// Null when removed.
  nlohmann::json New;
};

/// @brief One accepted change.
struct AuditEntry {
  /// Revision that the change made.
  std::uint64_t Revision = 0;
  /// Revision that its operator had seen.
  std::uint64_t FromRevision = 0;
  WallTime RequestedAt;
  std::string Actor;
  std::string ChangeId;
  std::vector<AuditItem> Items;
};

/// @brief Writes an entry as JSON.
/// @param entry the entry
/// @return an object
nlohmann::json toJson(const AuditEntry &entry);

/// @brief Reads what @ref toJson wrote.
/// @param item the object
/// @return the entry, or InvalidSettings
Result<AuditEntry> auditEntryFromJson(const nlohmann::json &item);

/// @brief Writes JSON on one line; bytes that are no UTF-8 are replaced.
/// @param value the value
/// @return its text
std::string dumpJson(const nlohmann::json &value);

} // namespace savorytrestle::core

#endif
