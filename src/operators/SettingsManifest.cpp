#include "operators/SettingsManifest.h"

#include <algorithm>

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

json at(const json &object, const char *key) {
  const auto it = object.find(key);
  return it == object.end() ? json() : *it;
}

bool hasShape(const json &text) {
  return text.is_object() && at(text, "revision").is_number_unsigned() &&
         at(text, "nodes").is_object() && at(text, "audit").is_array() &&
         at(text, "recent").is_array();
}

ImmutableEntry makeEntry(const std::string &prefix, std::string value) {
  return {prefix + core::contentHash(value), std::move(value)};
}

/// Nodes of each workspace, and the root's, as entries of their own: a change
/// rewrites only the workspaces it touches.
std::map<std::string, json> splitByWorkspace(const core::SettingsTree &tree) {
  std::map<std::string, json> parts;
  const json nodes = tree.toJson();
  for (const auto &[path, overrides] : tree.nodes())
    parts[path.workspace().text()][path.text()] = nodes[path.text()];
  return parts;
}

void storeLargeValue(json &value, std::vector<ImmutableEntry> &entries) {
  std::string text = dumpJson(value);
  if (text.size() <= MaxInlineValueBytes)
    return;
  entries.push_back(makeEntry("settings/value/", std::move(text)));
  value = {{"stored", entries.back().Key}};
}

/// Moves audit entries out of a full manifest, oldest first.
void pageOut(SettingsManifest &manifest, std::vector<ImmutableEntry> &entries) {
  std::size_t total = dumpJson(entriesToJson(manifest.Audit)).size();
  if (total <= MaxInlineAuditBytes)
    return;
  // Half of the room is freed at once, so that not every change writes a page.
  auto it = manifest.Audit.begin();
  AuditPage page;
  for (; it != manifest.Audit.end() && total > MaxInlineAuditBytes / 2; ++it) {
    total -= std::min(total, dumpJson(core::toJson(*it)).size());
    page.Entries.push_back(std::move(*it));
  }
  manifest.Audit.erase(manifest.Audit.begin(), it);
  const auto number = manifest.LastPage.Number + 1;
  const json text = {{"previous", linkToJson(manifest.LastPage)},
                     {"entries", entriesToJson(page.Entries)}};
  entries.push_back(makeEntry("settings/audit/" + std::to_string(number) + "-",
                              dumpJson(text)));
  manifest.LastPage = {number, entries.back().Key};
}

} // namespace

std::string serialize(const SettingsManifest &manifest) {
  json recent = json::array();
  for (const auto &change : manifest.Recent)
    recent.push_back({change.ChangeId, change.Revision, change.Fingerprint});
  return dumpJson({{"revision", manifest.Revision},
                   {"nodes", manifest.Nodes},
                   {"audit", entriesToJson(manifest.Audit)},
                   {"last_page", linkToJson(manifest.LastPage)},
                   {"recent", std::move(recent)}});
}

core::Result<SettingsManifest> parseManifest(const std::string &text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!hasShape(parsed))
    return core::makeError(core::ErrorCode::InvalidSettings,
                           "the settings manifest can't be read");
  SettingsManifest manifest;
  manifest.Revision = parsed["revision"].get<std::uint64_t>();
  for (const auto &[path, key] : parsed["nodes"].items())
    manifest.Nodes[path] = key.is_string() ? key.get<std::string>() : "";
  auto audit = entriesFromJson(parsed["audit"]);
  if (!audit)
    return tl::unexpected(audit.error());
  manifest.Audit = std::move(*audit);
  manifest.LastPage = linkFromJson(at(parsed, "last_page"));
  for (const auto &item : parsed["recent"])
    if (item.is_array() && item.size() == 3 && item[0].is_string() &&
        item[1].is_number_unsigned() && item[2].is_string())
      manifest.Recent.push_back({item[0], item[1], item[2]});
  return manifest;
}

core::Result<AuditPage> parseAuditPage(const std::string &text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !at(parsed, "entries").is_array())
    return core::makeError(core::ErrorCode::InvalidSettings,
                           "an audit page can't be read");
  auto entries = entriesFromJson(parsed["entries"]);
  if (!entries)
    return tl::unexpected(entries.error());
  return AuditPage{linkFromJson(at(parsed, "previous")), std::move(*entries)};
}

const RecentChange *findChange(const SettingsManifest &manifest,
                               const std::string &changeId) {
  const auto it = std::find_if(
      manifest.Recent.begin(), manifest.Recent.end(),
      [&](const auto &change) { return change.ChangeId == changeId; });
  return it == manifest.Recent.end() ? nullptr : &*it;
}

void remember(SettingsManifest &manifest, RecentChange change) {
  manifest.Recent.push_back(std::move(change));
  if (manifest.Recent.size() > MaxRecentChanges)
    manifest.Recent.erase(manifest.Recent.begin());
}

core::Result<PreparedManifest> advance(const SettingsManifest &before,
                                       const core::SettingsTree &tree,
                                       core::AuditEntry entry,
                                       const std::string &fingerprint) {
  PreparedManifest next;
  SettingsManifest &manifest = next.Manifest;
  manifest = before;
  manifest.Revision = before.Revision + 1;
  manifest.Nodes.clear();
  for (const auto &[workspace, nodes] : splitByWorkspace(tree)) {
    auto part = makeEntry("settings/node/", dumpJson(nodes));
    manifest.Nodes[workspace] = part.Key;
    if (const auto it = before.Nodes.find(workspace);
        it == before.Nodes.end() || it->second != part.Key)
      next.Entries.push_back(std::move(part));
  }
  entry.Revision = manifest.Revision;
  for (auto &item : entry.Items) {
    storeLargeValue(item.Old, next.Entries);
    storeLargeValue(item.New, next.Entries);
  }
  remember(manifest, {entry.ChangeId, entry.Revision, fingerprint});
  manifest.Audit.push_back(std::move(entry));
  pageOut(manifest, next.Entries);
  for (const auto &[key, value] : next.Entries)
    if (value.size() > MaxEntryBytes)
      return core::makeError(
          core::ErrorCode::InvalidSettings,
          "the change makes an entry of " + std::to_string(value.size()) +
              " bytes (" + key +
              "); allowed: " + std::to_string(MaxEntryBytes) +
              "; split the change or the workspace");
  return next;
}

} // namespace savorytrestle::operators
