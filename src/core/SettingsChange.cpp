#include "savorytrestle/core/SettingsChange.h"

#include <cstdio>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

using nlohmann::json;

constexpr std::size_t HashDigits = 32;

json currentValue(const SettingsTree &tree, const SettingEdit &edit) {
  const auto *value = tree.find(edit.Path, edit.Key);
  return value ? toJson(*value) : json();
}

void appendRemovals(SettingsTree &tree, const SettingsPath &path,
                    std::vector<AuditItem> &items) {
  for (const auto &[node, overrides] : tree.nodes())
    if (node.isWithin(path))
      items.push_back({node.text(), "", toJson(overrides), json()});
  tree.removeNode(path);
}

Result<void> applyEdit(SettingsTree &tree, const SettingEdit &edit,
                       std::vector<AuditItem> &items) {
  switch (edit.Kind) {
  case EditKind::Set:
    items.push_back({edit.Path.text(), edit.Key, currentValue(tree, edit),
                     toJson(*edit.Value)});
    return tree.set(edit.Path, edit.Key, *edit.Value);
  case EditKind::Unset:
    items.push_back(
        {edit.Path.text(), edit.Key, currentValue(tree, edit), json()});
    tree.unset(edit.Path, edit.Key);
    return {};
  case EditKind::AddNode:
    items.push_back({edit.Path.text(), "", json(), json::object()});
    return tree.addNode(edit.Path);
  case EditKind::RemoveNode:
    appendRemovals(tree, edit.Path, items);
    return {};
  }
  return {};
}

void diffNode(const SettingsTree &before, const SettingsPath &path,
              const SettingOverrides &wanted, std::vector<SettingEdit> &edits) {
  if (before.nodes().count(path) == 0)
    edits.push_back({EditKind::AddNode, path, {}, {}});
  for (const auto &[key, value] : wanted) {
    const auto *found = before.find(path, key);
    if (!found || *found != value)
      edits.push_back({EditKind::Set, path, key, value});
  }
  if (const auto it = before.nodes().find(path); it != before.nodes().end())
    for (const auto &[key, value] : it->second)
      if (wanted.count(key) == 0)
        edits.push_back({EditKind::Unset, path, key, {}});
}

} // namespace

Result<std::vector<AuditItem>>
applyEdits(SettingsTree &tree, const std::vector<SettingEdit> &edits) {
  std::vector<AuditItem> items;
  for (const auto &edit : edits)
    if (auto done = applyEdit(tree, edit, items); !done)
      return tl::unexpected(done.error());
  return items;
}

std::vector<SettingEdit> diffTrees(const SettingsTree &before,
                                   const SettingsTree &after,
                                   const SettingsPath &scope) {
  std::vector<SettingEdit> edits;
  for (const auto &[path, overrides] : before.nodes())
    // Removing a node removes its descendants, so only the topmost removed node
    // gets an edit.
    if (path.isWithin(scope) && after.nodes().count(path) == 0 &&
        (path == scope || after.nodes().count(path.parent()) > 0))
      edits.push_back({EditKind::RemoveNode, path, {}, {}});
  for (const auto &[path, overrides] : after.nodes())
    if (path.isWithin(scope))
      diffNode(before, path, overrides, edits);
  return edits;
}

bool conflictsWith(const SettingEdit &edit, const AuditItem &item) {
  const auto path = SettingsPath::parse(item.Path);
  if (!path)
    return true;
  const bool itemRemoved = item.Key.empty() && item.New.is_null();
  if (itemRemoved && edit.Path.isWithin(*path))
    return true;
  if (edit.Kind == EditKind::RemoveNode)
    return path->isWithin(edit.Path);
  if (edit.Path != *path)
    return false;
  return edit.Kind == EditKind::AddNode ? item.Key.empty()
                                        : edit.Key == item.Key;
}

std::string changeFingerprint(const ChangeRequest &request) {
  if (!request.OriginalRequest.empty())
    return contentHash(request.OriginalRequest);
  json list = json::array();
  for (const auto &edit : request.Edits)
    list.push_back({static_cast<int>(edit.Kind), edit.Path.text(), edit.Key,
                    edit.Value ? toJson(*edit.Value) : json()});
  return contentHash(dumpJson(list));
}

std::string contentHash(const std::string &content) {
  const auto hash = XXH3_128bits(content.data(), content.size());
  std::string text(HashDigits + 1, '\0');
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  text.resize(HashDigits);
  return text;
}

} // namespace savorytrestle::core
