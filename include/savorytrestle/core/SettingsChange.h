#ifndef SAVORYTRESTLE_CORE_SETTINGS_CHANGE_H
#define SAVORYTRESTLE_CORE_SETTINGS_CHANGE_H

/// @file
/// @brief Changes of the settings tree and conflicts between them.

#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/AuditLog.h"
#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

/// @brief Kind of an edit.
enum class EditKind { Set, Unset, AddNode, RemoveNode };

/// @brief One edit of a change.
struct SettingEdit {
  EditKind Kind = EditKind::Set;
  SettingsPath Path;
  /// Key to set or unset; empty for other kinds.
  std::string Key;
  /// Value to set; empty for other kinds.
  std::optional<SettingValue> Value;
};

/// @brief A change that is applied atomically.
struct ChangeRequest {
  /// Identifies the change; the same for all resends of it.
  std::string ChangeId;
  /// Operator that requests the change.
  std::string Actor;
  /// When the host received the change.
  WallTime RequestedAt;
  /// Revision on which the operator based the change; the newest if empty.
  std::optional<std::uint64_t> BaseRevision;
  /// Newest revision this host has seen; a store that returns an older one is
  /// stale.
  std::uint64_t NewestKnownRevision = 0;
  /// Whether an earlier request with this change id may have been sent.
  bool MayBeResend = false;
  std::vector<SettingEdit> Edits;
  /// The operator's request, if the edits were derived from it by comparison
  /// with the current tree; empty if the request consists of the edits.
  std::string OriginalRequest;
};

/// @brief Applies edits in order.
/// @param tree changed in place; partly changed after an error
/// @param edits the edits
/// @return the old and new value of each edit, or InvalidSettings
Result<std::vector<AuditItem>>
applyEdits(SettingsTree &tree, const std::vector<SettingEdit> &edits);

/// @brief Computes the edits that turn one subtree into another.
/// @param before the current tree
/// @param after the desired tree
/// @param scope root of the subtree to compare; other nodes are ignored
/// @return the edits; empty if the subtrees are equal
std::vector<SettingEdit> diffTrees(const SettingsTree &before,
                                   const SettingsTree &after,
                                   const SettingsPath &scope);

/// @brief Whether an edit conflicts with a value that an accepted change
/// replaced.
/// @param edit the edit
/// @param item the replaced value
/// @return true if both concern the same key, both add the same node, or one
///   removes a node at or above the node of the other
bool conflictsWith(const SettingEdit &edit, const AuditItem &item);

/// @brief Hash of the requested change, used to detect a change id that is
/// reused for another change.
/// @param request the change
/// @return 32 hexadecimal digits
std::string changeFingerprint(const ChangeRequest &request);

/// @brief Content hash that serves as name of an immutable store entry.
/// @param content the content
/// @return 32 hexadecimal digits
std::string contentHash(const std::string &content);

} // namespace savorytrestle::core

#endif
