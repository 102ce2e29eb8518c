#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

namespace {

Error settingsError(const SettingsPath &path, const std::string &key,
                    const std::string &reason) {
  return toError({{path.text(), key, reason}});
}

Result<void> readNode(SettingsTree &tree, const std::string &text,
                      const nlohmann::json &overrides) {
  const auto path = SettingsPath::parse(text);
  if (!path)
    return tl::unexpected(path.error());
  if (!overrides.is_object())
    return tl::unexpected(
        settingsError(*path, "", "a node must be a mapping of keys to values"));
  if (auto added = tree.addNode(*path); !added)
    return added;
  for (const auto &[key, value] : overrides.items()) {
    auto parsed = parseOverride(*path, key, value);
    if (!parsed)
      return tl::unexpected(parsed.error());
    if (auto done = tree.set(*path, key, std::move(*parsed)); !done)
      return done;
  }
  return {};
}

} // namespace

nlohmann::json toJson(const SettingOverrides &overrides) {
  nlohmann::json item = nlohmann::json::object();
  for (const auto &[key, value] : overrides)
    item[key] = toJson(value);
  return item;
}

SettingsTree::SettingsTree() { Nodes[SettingsPath()]; }

Result<SettingsTree> SettingsTree::fromJson(const nlohmann::json &nodes) {
  SettingsTree tree;
  if (!nodes.is_object())
    return makeError(ErrorCode::InvalidSettings,
                     "settings nodes must be a mapping of paths to keys");
  // A path sorts after its parent's path, so parents are added before children.
  for (const auto &[text, overrides] : nodes.items())
    if (auto done = readNode(tree, text, overrides); !done)
      return tl::unexpected(done.error());
  return tree;
}

nlohmann::json SettingsTree::toJson() const {
  nlohmann::json nodes = nlohmann::json::object();
  for (const auto &[path, overrides] : Nodes)
    nodes[path.text()] = core::toJson(overrides);
  return nodes;
}

Result<void> SettingsTree::addNode(const SettingsPath &path) {
  if (Nodes.count(path.parent()) == 0)
    return tl::unexpected(settingsError(
        path, "", "parent node does not exist: " + path.parent().text()));
  Nodes[path];
  return {};
}

Result<void> SettingsTree::set(const SettingsPath &path, const std::string &key,
                               SettingValue value) {
  if (auto added = addNode(path); !added)
    return added;
  Nodes[path].insert_or_assign(key, std::move(value));
  return {};
}

void SettingsTree::unset(const SettingsPath &path, const std::string &key) {
  if (const auto it = Nodes.find(path); it != Nodes.end())
    it->second.erase(key);
}

void SettingsTree::removeNode(const SettingsPath &path) {
  std::erase_if(Nodes,
                [&](const auto &item) { return item.first.isWithin(path); });
  Nodes[SettingsPath()];
}

const SettingValue *SettingsTree::find(const SettingsPath &path,
                                       const std::string &key) const {
  const auto node = Nodes.find(path);
  if (node == Nodes.end())
    return nullptr;
  const auto it = node->second.find(key);
  return it == node->second.end() ? nullptr : &it->second;
}

std::optional<EffectiveSetting>
SettingsTree::effectiveSetting(const SettingsPath &path,
                               const SettingSpec &spec) const {
  const std::string key(spec.Key);
  for (SettingsPath node = path;; node = node.parent()) {
    if (const auto *value = find(node, key))
      return EffectiveSetting{spec.Key, *value, node};
    if (node.level() == SettingsLevel::Root)
      break;
  }
  if (spec.Default.empty())
    return std::nullopt;
  auto value = parseSetting(spec, std::string(spec.Default));
  if (!value)
    return std::nullopt;
  return EffectiveSetting{spec.Key, std::move(*value), std::nullopt};
}

std::vector<EffectiveSetting>
SettingsTree::effectiveSettings(const SettingsPath &path) const {
  std::vector<EffectiveSetting> found;
  for (const auto &spec : settingsSchema()) {
    // Below its lowest level, a key cannot be set but is inherited.
    if (path.level() < spec.HighestLevel)
      continue;
    if (auto value = effectiveSetting(path, spec))
      found.push_back(std::move(*value));
  }
  return found;
}

Result<SettingValue> parseOverride(const SettingsPath &path,
                                   const std::string &key,
                                   const nlohmann::json &value) {
  const auto *spec = findSetting(key);
  if (!spec) {
    std::string known;
    for (const auto &it : settingsSchema())
      if (isAllowedAt(it, path.level()))
        known += (known.empty() ? "" : ", ") + std::string(it.Key);
    return tl::unexpected(
        settingsError(path, key, "unknown key; allowed: " + known));
  }
  if (!isAllowedAt(*spec, path.level()))
    return tl::unexpected(settingsError(
        path, key,
        "cannot be set at level " + std::string(name(path.level())) +
            "; allowed from " + std::string(name(spec->HighestLevel)) + " to " +
            std::string(name(spec->LowestLevel))));
  auto parsed = parseSetting(*spec, value);
  if (!parsed)
    return tl::unexpected(settingsError(path, key, parsed.error().Message));
  return parsed;
}

Error toError(const std::vector<SettingsProblem> &problems) {
  std::string text;
  for (const auto &problem : problems) {
    text += (text.empty() ? "" : "; ") + problem.Path;
    if (!problem.Key.empty())
      text += " " + problem.Key;
    text += ": " + problem.Reason;
  }
  return Error{ErrorCode::InvalidSettings, text, RunState::NotRun, {}};
}

} // namespace savorytrestle::core
