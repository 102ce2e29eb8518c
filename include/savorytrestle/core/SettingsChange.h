#ifndef SAVORYTRESTLE_CORE_SETTINGS_CHANGE_H
#define SAVORYTRESTLE_CORE_SETTINGS_CHANGE_H

/// @file
/// @brief Changes of the settings tree, and when two of them collide.

#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/AuditLog.h"
#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

/// @brief What an edit does.
enum class EditKind { Set, Unset, AddNode, RemoveNode };

/// @brief One step of a change.
struct SettingEdit {
  EditKind Kind = EditKind::Set;
  SettingsPath Path;
  /// Set and Unset only.
  std::string Key;
  /// Set only.
  std::optional<SettingValue> Value;
};

/// @brief A change that takes effect whole or not at all.
struct ChangeRequest {
  /// Names the change across resends.
  std::string ChangeId;
  /// Who asks.
  std::string Actor;
  WallTime RequestedAt;
  /// Revision that the operator saw; nothing means whichever is newest.
  std::optional<std::uint64_t> BaseRevision;
  /// Newest revision this host knows; a store that shows an older one is stale.
  std::uint64_t NewestKnownRevision = 0;
  /// Whether an earlier attempt with this id may have been made.
  bool MayBeResend = false;
  std::vector<SettingEdit> Edits;
  /// Identity of what was asked, when the edits were derived from it; empty
  /// when the edits are what was asked.
  std::string OriginalRequest;
};

/// @brief Applies edits in order.
/// @param tree changed in place; half changed after an error
/// @param edits the steps
/// @return what was replaced, or InvalidSettings
Result<std::vector<AuditItem>>
applyEdits(SettingsTree &tree, const std::vector<SettingEdit> &edits);

/// @brief Edits that turn one subtree into another.
/// @param before the tree as it is
/// @param after the tree wanted
/// @param scope subtree to compare; the rest is left alone
/// @return the edits; empty when equal
std::vector<SettingEdit> diffTrees(const SettingsTree &before,
                                   const SettingsTree &after,
                                   const SettingsPath &scope);

/// @brief Whether an edit touches what a change has replaced.
/// @param edit the edit
/// @param item a replaced value
/// @return true when both concern one key, or one of them removed a node that
///   the other uses
bool conflictsWith(const SettingEdit &edit, const AuditItem &item);

/// @brief Identity of what a change asks for, to notice a reused change id.
/// @param request the change
/// @return hexadecimal digits
std::string changeFingerprint(const ChangeRequest &request);

/// @brief Content hash that names immutable entries.
/// @param content the content
/// @return 32 hexadecimal digits
std::string contentHash(const std::string &content);

} // namespace savorytrestle::core

#endif
