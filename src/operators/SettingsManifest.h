#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_MANIFEST_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_MANIFEST_H

/// @file
/// @brief The manifest, the only mutable entry of the settings in the store,
/// and the immutable entries that it refers to.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/SettingsChange.h"

namespace savorytrestle::operators {

/// @brief Key of the manifest. It changes with each revision, so it is the only
/// key to watch.
inline constexpr const char *ManifestKey = "settings/manifest";

/// @brief Maximum size of an immutable entry in bytes; the store's limit for a
/// value is 1 MB.
inline constexpr std::size_t MaxEntryBytes = 950'000;

/// @brief Maximum size of the audit entries in the manifest itself, in bytes.
inline constexpr std::size_t MaxInlineAuditBytes = 65'536;

/// @brief Maximum number of changes whose ids are kept to detect resends.
inline constexpr std::size_t MaxRecentChanges = 512;

/// @brief Maximum size of a value in an audit entry, in bytes; larger values
/// are stored in entries of their own.
inline constexpr std::size_t MaxInlineValueBytes = 2048;

/// @brief Maximum number of audit pages; older ones are deleted.
inline constexpr std::uint64_t MaxAuditPages = 1000;

/// @brief Number of revisions for which a replaced part is kept, because
/// readers may still use a manifest that refers to it.
inline constexpr std::uint64_t RetiredPartRevisions = 64;

/// @brief Revision recorded for a change that was permanently refused.
inline constexpr std::uint64_t RefusedRevision = 0;

/// @brief An accepted or refused change, kept to detect resends.
struct RecentChange {
  std::string ChangeId;
  /// Revision that the change created, or RefusedRevision.
  std::uint64_t Revision = 0;
  /// Fingerprint of the requested change.
  std::string Fingerprint;
};

/// @brief Link to a page of audit entries.
struct AuditPageLink {
  std::uint64_t Number = 0;
  /// Key of the page; empty if there is none.
  std::string Key;
};

/// @brief One page of audit entries that no longer fit into the manifest; links
/// to the page before it.
struct AuditPage {
  AuditPageLink Previous;
  std::vector<core::AuditEntry> Entries;
};

/// @brief A part of the tree that has been replaced.
struct RetiredPart {
  std::string Key;
  /// Revision in which it was replaced.
  std::uint64_t Revision = 0;
};

/// @brief Content of the manifest.
struct SettingsManifest {
  std::uint64_t Revision = 0;
  /// Key of the immutable entry that holds each workspace's nodes.
  std::map<std::string, std::string> Nodes;
  /// Newest last.
  std::vector<core::AuditEntry> Audit;
  /// Newest page of the audit entries that were moved out of the manifest.
  AuditPageLink NewestPage;
  /// Newest last.
  std::vector<RecentChange> Recent;
  /// Newest last.
  std::vector<RetiredPart> Retired;
};

/// @brief An immutable entry whose key contains the hash of its value.
struct ImmutableEntry {
  std::string Key;
  std::string Value;
};

/// @brief The next manifest and the new entries that it refers to.
struct PreparedManifest {
  SettingsManifest Manifest;
  std::vector<ImmutableEntry> Entries;
  /// Keys to delete after the manifest has been stored.
  std::vector<std::string> ExpiredKeys;
};

/// @brief Serializes a manifest as JSON.
/// @param manifest the manifest
/// @return the JSON text
std::string serialize(const SettingsManifest &manifest);

/// @brief Parses the output of @ref serialize.
/// @param text the JSON
/// @return the manifest, or InvalidSettings
core::Result<SettingsManifest> parseManifest(const std::string &text);

/// @brief Parses an audit page.
/// @param text the JSON
/// @return the page, or InvalidSettings
core::Result<AuditPage> parseAuditPage(const std::string &text);

/// @brief Parses a part of the tree.
/// @param text the JSON
/// @return overrides by path; null if the text is malformed
nlohmann::json parsePart(const std::string &text);

/// @brief Finds a recent change by its id.
/// @param manifest the manifest to search
/// @param changeId the id
/// @return the change, or null if it is not among the recent ones; O(n) in the
///   number of recent changes
const RecentChange *findRecentChange(const SettingsManifest &manifest,
                                     const std::string &changeId);

/// @brief Adds a recent change; removes the oldest if there are more than
/// MaxRecentChanges.
/// @param manifest changed in place
/// @param change the change
void addRecentChange(SettingsManifest &manifest, RecentChange change);

/// @brief Lists the nodes that differ between two trees, as whole nodes.
std::vector<core::AuditItem> changedNodes(const core::SettingsTree &before,
                                          const core::SettingsTree &after);

/// @brief Makes the manifest of the next revision.
/// @param before the current manifest
/// @param tree the whole tree after the change
/// @param entry audit entry of the change
/// @param fingerprint fingerprint of the change
/// @return the manifest and its new entries, or InvalidSettings if an entry is
///   larger than MaxEntryBytes
core::Result<PreparedManifest> makeNextManifest(const SettingsManifest &before,
                                                const core::SettingsTree &tree,
                                                core::AuditEntry entry,
                                                const std::string &fingerprint);

} // namespace savorytrestle::operators

#endif
