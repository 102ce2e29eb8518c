#ifndef SAVORYTRESTLE_CORE_AUDIT_LOG_H
#define SAVORYTRESTLE_CORE_AUDIT_LOG_H

/// @file
/// @brief Audit log entries of settings changes.

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief One value that a change set, removed or replaced.
struct AuditItem {
  /// Path of the node.
  std::string Path;
  /// Empty when the node itself was added or removed.
  std::string Key;
  /// Value before the change; null when there was none. For a removed node,
  /// its overrides.
  nlohmann::json Old;
  /// Value after the change; null when the key or node was removed.
  nlohmann::json New;
};

/// @brief One accepted settings change.
struct AuditEntry {
  /// Revision that the change created.
  std::uint64_t Revision = 0;
  /// Revision on which the operator based the change.
  std::uint64_t FromRevision = 0;
  /// When the host received the change.
  WallTime RequestedAt;
  /// Operator that requested the change.
  std::string Actor;
  std::string ChangeId;
  std::vector<AuditItem> Items;
};

/// @brief Converts an audit entry to JSON.
/// @param entry the entry
/// @return a JSON object
nlohmann::json toJson(const AuditEntry &entry);

/// @brief Parses the output of @ref toJson.
/// @param item the JSON object
/// @return the entry, or InvalidSettings
Result<AuditEntry> auditEntryFromJson(const nlohmann::json &item);

/// @brief Serializes JSON on one line; replaces bytes that are not valid
/// UTF-8.
/// @param value the JSON value
/// @return the serialized text
std::string dumpJson(const nlohmann::json &value);

} // namespace savorytrestle::core

#endif
