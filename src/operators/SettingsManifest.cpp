#include "operators/SettingsManifest.h"

#include "support/BoundedJson.h"

#include <algorithm>
#include <set>

namespace savorytrestle::operators {

namespace {

using core::dumpJson;
using nlohmann::json;

json linkToJson(const AuditPageLink &link) {
  return {{"number", link.Number}, {"key", link.Key}};
}

AuditPageLink linkFromJson(const json &item) {
  AuditPageLink link;
  if (!item.is_object())
    return link;
  if (const auto it = item.find("number");
      it != item.end() && it->is_number_unsigned())
    link.Number = it->get<std::uint64_t>();
  if (const auto it = item.find("key"); it != item.end() && it->is_string())
    link.Key = it->get<std::string>();
  return link;
}

json entriesToJson(const std::vector<core::AuditEntry> &entries) {
  json list = json::array();
  for (const auto &entry : entries)
    list.push_back(core::toJson(entry));
  return list;
}

core::Result<std::vector<core::AuditEntry>> entriesFromJson(const json &list) {
  std::vector<core::AuditEntry> entries;
  for (const auto &item : list) {
    auto entry = core::auditEntryFromJson(item);
    if (!entry)
      return tl::unexpected(entry.error());
    entries.push_back(std::move(*entry));
  }
  return entries;
}

json fieldOrNull(const json &object, const char *key) {
  const auto it = object.find(key);
  return it == object.end() ? json() : *it;
}

bool hasRequiredFields(const json &manifest) {
  return manifest.is_object() &&
         fieldOrNull(manifest, "revision").is_number_unsigned() &&
         fieldOrNull(manifest, "nodes").is_object() &&
         fieldOrNull(manifest, "audit").is_array() &&
         fieldOrNull(manifest, "recent").is_array();
}

ImmutableEntry makeImmutableEntry(const std::string &prefix,
                                  std::string value) {
  return {prefix + core::contentHash(value), std::move(value)};
}

/// Workspaces (and the root) that a change affects; only their parts are
/// rewritten.
std::set<std::string> changedParts(const core::AuditEntry &entry) {
  std::set<std::string> changed;
  for (const auto &item : entry.Items)
    if (const auto path = core::SettingsPath::parse(item.Path))
      changed.insert(path->workspace().text());
  return changed;
}

/// Makes one entry with the nodes of each changed workspace. The entry contains
/// the revision, so its key differs from that of a retired part with the same
/// nodes; otherwise deleting the retired part would delete a part in use.
std::map<std::string, ImmutableEntry>
makeParts(const core::SettingsTree &tree, const std::set<std::string> &changed,
          std::uint64_t revision) {
  std::map<std::string, json> nodes;
  for (const auto &[path, overrides] : tree.nodes())
    if (const auto part = path.workspace().text(); changed.count(part))
      nodes[part][path.text()] = core::toJson(overrides);
  std::map<std::string, ImmutableEntry> parts;
  for (const auto &[part, content] : nodes)
    parts[part] = makeImmutableEntry(
        "settings/node/",
        dumpJson({{"revision", revision}, {"nodes", content}}));
  return parts;
}

/// Replaces the changed parts, adds the old ones to the retired parts and lists
/// the retired parts that have expired.
void replaceParts(const core::SettingsTree &tree, const core::AuditEntry &entry,
                  PreparedManifest &next) {
  auto &manifest = next.Manifest;
  const auto changed = changedParts(entry);
  for (const auto &part : changed)
    if (const auto it = manifest.Nodes.find(part); it != manifest.Nodes.end()) {
      manifest.Retired.push_back({it->second, manifest.Revision});
      manifest.Nodes.erase(it);
    }
  for (auto &[part, content] : makeParts(tree, changed, manifest.Revision)) {
    manifest.Nodes[part] = content.Key;
    next.Entries.push_back(content);
  }
  const auto firstKept = std::find_if(
      manifest.Retired.begin(), manifest.Retired.end(), [&](const auto &part) {
        return part.Revision + RetiredPartRevisions > manifest.Revision;
      });
  for (auto it = manifest.Retired.begin(); it != firstKept; ++it)
    next.ExpiredKeys.push_back(it->Key);
  manifest.Retired.erase(manifest.Retired.begin(), firstKept);
}

void moveLargeValueToEntry(json &value, std::vector<ImmutableEntry> &entries) {
  std::string text = dumpJson(value);
  if (text.size() <= MaxInlineValueBytes)
    return;
  entries.push_back(makeImmutableEntry("settings/value/", std::move(text)));
  value = {{"stored", entries.back().Key}};
}

/// Moves the oldest audit entries to a new page if the manifest's audit entries
/// exceed MaxInlineAuditBytes.
void moveAuditEntriesToPage(SettingsManifest &manifest,
                            std::vector<ImmutableEntry> &entries) {
  std::size_t total = dumpJson(entriesToJson(manifest.Audit)).size();
  if (total <= MaxInlineAuditBytes)
    return;
  // Moves entries until half of the limit is free, so that not every change
  // writes a page.
  auto it = manifest.Audit.begin();
  AuditPage page;
  for (; it != manifest.Audit.end() && total > MaxInlineAuditBytes / 2; ++it) {
    total -= std::min(total, dumpJson(core::toJson(*it)).size());
    page.Entries.push_back(std::move(*it));
  }
  manifest.Audit.erase(manifest.Audit.begin(), it);
  const auto number = manifest.NewestPage.Number + 1;
  const json text = {{"previous", linkToJson(manifest.NewestPage)},
                     {"entries", entriesToJson(page.Entries)}};
  entries.push_back(makeImmutableEntry(
      "settings/audit/" + std::to_string(number) + "-", dumpJson(text)));
  manifest.NewestPage = {number, entries.back().Key};
}

} // namespace

std::string serialize(const SettingsManifest &manifest) {
  json recent = json::array();
  for (const auto &change : manifest.Recent)
    recent.push_back({change.ChangeId, change.Revision, change.Fingerprint});
  json retired = json::array();
  for (const auto &part : manifest.Retired)
    retired.push_back({part.Key, part.Revision});
  return dumpJson({{"revision", manifest.Revision},
                   {"nodes", manifest.Nodes},
                   {"audit", entriesToJson(manifest.Audit)},
                   {"last_page", linkToJson(manifest.NewestPage)},
                   {"recent", std::move(recent)},
                   {"retired", std::move(retired)}});
}

core::Result<SettingsManifest> parseManifest(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!hasRequiredFields(parsed))
    return core::makeError(
        core::ErrorCode::InvalidSettings,
        "settings manifest: malformed JSON or missing fields");
  SettingsManifest manifest;
  manifest.Revision = parsed["revision"].get<std::uint64_t>();
  for (const auto &[path, key] : parsed["nodes"].items())
    manifest.Nodes[path] = key.is_string() ? key.get<std::string>() : "";
  auto audit = entriesFromJson(parsed["audit"]);
  if (!audit)
    return tl::unexpected(audit.error());
  manifest.Audit = std::move(*audit);
  manifest.NewestPage = linkFromJson(fieldOrNull(parsed, "last_page"));
  for (const auto &item : parsed["recent"])
    if (item.is_array() && item.size() == 3 && item[0].is_string() &&
        item[1].is_number_unsigned() && item[2].is_string())
      manifest.Recent.push_back({item[0], item[1], item[2]});
  for (const auto &item : fieldOrNull(parsed, "retired"))
    if (item.is_array() && item.size() == 2 && item[0].is_string() &&
        item[1].is_number_unsigned())
      manifest.Retired.push_back({item[0], item[1]});
  return manifest;
}

json parsePart(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  return parsed.is_object() ? fieldOrNull(parsed, "nodes") : json();
}

core::Result<AuditPage> parseAuditPage(const std::string &text) {
  const json parsed = support::parseJsonOrDiscarded(text);
  if (!parsed.is_object() || !fieldOrNull(parsed, "entries").is_array())
    return core::makeError(
        core::ErrorCode::InvalidSettings,
        "settings audit page: malformed JSON or missing fields");
  auto entries = entriesFromJson(parsed["entries"]);
  if (!entries)
    return tl::unexpected(entries.error());
  return AuditPage{linkFromJson(fieldOrNull(parsed, "previous")),
                   std::move(*entries)};
}

const RecentChange *findRecentChange(const SettingsManifest &manifest,
                                     const std::string &changeId) {
  const auto it = std::find_if(
      manifest.Recent.begin(), manifest.Recent.end(),
      [&](const auto &change) { return change.ChangeId == changeId; });
  return it == manifest.Recent.end() ? nullptr : &*it;
}

void addRecentChange(SettingsManifest &manifest, RecentChange change) {
  manifest.Recent.push_back(std::move(change));
  if (manifest.Recent.size() > MaxRecentChanges)
    manifest.Recent.erase(manifest.Recent.begin());
}

std::vector<core::AuditItem> changedNodes(const core::SettingsTree &before,
                                          const core::SettingsTree &after) {
  const json old = before.toJson();
  const json now = after.toJson();
  std::vector<core::AuditItem> items;
  for (const auto &[path, overrides] : now.items())
    if (const json previous = old.value(path, json()); previous != overrides)
      items.push_back({path, "", previous, overrides});
  for (const auto &[path, overrides] : old.items())
    if (!now.contains(path))
      items.push_back({path, "", overrides, nullptr});
  return items;
}

core::Result<PreparedManifest>
makeNextManifest(const SettingsManifest &before, const core::SettingsTree &tree,
                 core::AuditEntry entry, const std::string &fingerprint) {
  PreparedManifest next;
  SettingsManifest &manifest = next.Manifest;
  manifest = before;
  manifest.Revision = before.Revision + 1;
  replaceParts(tree, entry, next);
  entry.Revision = manifest.Revision;
  for (auto &item : entry.Items) {
    moveLargeValueToEntry(item.Old, next.Entries);
    moveLargeValueToEntry(item.New, next.Entries);
  }
  addRecentChange(manifest, {entry.ChangeId, entry.Revision, fingerprint});
  manifest.Audit.push_back(std::move(entry));
  moveAuditEntriesToPage(manifest, next.Entries);
  for (const auto &[key, value] : next.Entries)
    if (value.size() > MaxEntryBytes)
      return core::makeError(
          core::ErrorCode::InvalidSettings,
          "the change needs a store entry of " + std::to_string(value.size()) +
              " bytes (" + key +
              "); maximum: " + std::to_string(MaxEntryBytes) +
              "; split the change or the workspace");
  return next;
}

} // namespace savorytrestle::operators
