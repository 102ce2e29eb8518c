#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_MANIFEST_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_MANIFEST_H

/// @file
/// @brief The one mutable entry of the settings in the store, and the immutable
/// entries that it names.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/SettingsChange.h"

namespace savorytrestle::operators {

/// @brief Key of the manifest; the one to watch.
inline constexpr const char *ManifestKey = "settings/manifest";

/// @brief Largest immutable entry written, in bytes; the store holds 1 MB.
inline constexpr std::size_t MaxEntryBytes = 950'000;

/// @brief Bytes of audit entries that stay in the manifest itself.
inline constexpr std::size_t MaxInlineAuditBytes = 65'536;

/// @brief Changes whose ids are remembered for resends.
inline constexpr std::size_t MaxRecentChanges = 512;

/// @brief Audit values over this many bytes become entries of their own.
inline constexpr std::size_t MaxInlineValueBytes = 2048;

/// @brief Audit pages kept; older ones are deleted.
inline constexpr std::uint64_t MaxAuditPages = 1000;

/// @brief Revisions for which a replaced part stays, for readers that still
/// hold the manifest that names it.
inline constexpr std::uint64_t RetiredPartRevisions = 64;

/// @brief Stands for the revision of a change that was refused for good.
inline constexpr std::uint64_t RefusedRevision = 0;

/// @brief An accepted or refused change, remembered for resends.
struct RecentChange {
  std::string ChangeId;
  /// Revision that it made, or RefusedRevision.
  std::uint64_t Revision = 0;
  /// Fingerprint of its edits.
  std::string Fingerprint;
};

/// @brief Newest page of older audit entries; each page names the one before.
struct AuditPageLink {
  std::uint64_t Number = 0;
  /// Empty when there is no page.
  std::string Key;
};

/// @brief One page of audit entries.
struct AuditPage {
  AuditPageLink Previous;
  std::vector<core::AuditEntry> Entries;
};

/// @brief A part of the tree that a later one has replaced.
struct RetiredPart {
  std::string Key;
  /// Revision that replaced it.
  std::uint64_t Revision = 0;
};

/// @brief What the manifest holds.
struct SettingsManifest {
  std::uint64_t Revision = 0;
  /// Key of the immutable entry that holds each workspace's nodes.
  std::map<std::string, std::string> Nodes;
  /// Newest last.
  std::vector<core::AuditEntry> Audit;
  AuditPageLink NewestPage;
  /// Newest last.
  std::vector<RecentChange> Recent;
  /// Newest last.
  std::vector<RetiredPart> Retired;
};

/// @brief An immutable entry, named by its content.
struct ImmutableEntry {
  std::string Key;
  std::string Value;
};

/// @brief A manifest ready to be swapped in, and what it refers to.
struct PreparedManifest {
  SettingsManifest Manifest;
  std::vector<ImmutableEntry> Entries;
  /// Keys to delete once it is in the store.
  std::vector<std::string> ExpiredKeys;
};

/// @brief Writes a manifest as JSON.
/// @param manifest the manifest
/// @return its text
std::string serialize(const SettingsManifest &manifest);

/// @brief Reads what @ref serialize wrote.
/// @param text the JSON
/// @return the manifest, or InvalidSettings
core::Result<SettingsManifest> parseManifest(const std::string &text);

/// @brief Reads a page.
/// @param text the JSON
/// @return the page, or InvalidSettings
core::Result<AuditPage> parseAuditPage(const std::string &text);

/// @brief Reads a part of the tree.
/// @param text the JSON
/// @return overrides by path; null when it can't be read
nlohmann::json parsePart(const std::string &text);

/// @brief The change with an id, if it is still remembered.
/// @param manifest where to look
/// @param changeId the id
/// @return the change, or null; O(recent)
const RecentChange *findRecentChange(const SettingsManifest &manifest,
                                     const std::string &changeId);

/// @brief Remembers a change, forgetting the oldest when there are too many.
/// @param manifest changed in place
/// @param change the change
void addRecentChange(SettingsManifest &manifest, RecentChange change);

/// @brief Makes the manifest that follows another one.
/// @param before the manifest that the store holds
/// @param tree the whole tree after the change
/// @param entry the change's audit entry
/// @param fingerprint of its edits
/// @return the manifest and its entries, or InvalidSettings when one of them
///   outgrows the store
core::Result<PreparedManifest> makeNextManifest(const SettingsManifest &before,
                                                const core::SettingsTree &tree,
                                                core::AuditEntry entry,
                                                const std::string &fingerprint);

} // namespace savorytrestle::operators

#endif
