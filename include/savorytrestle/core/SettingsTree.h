#ifndef SAVORYTRESTLE_CORE_SETTINGS_TREE_H
#define SAVORYTRESTLE_CORE_SETTINGS_TREE_H

/// @file
/// @brief The tree of settings, its inheritance and its checks.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/SettingsPath.h"
#include "savorytrestle/core/SettingsSchema.h"

namespace savorytrestle::core {

/// @brief The value in force at a node, and where it comes from.
struct EffectiveSetting {
  std::string_view Key;
  SettingValue Value;
  /// Node that sets it; nothing for the schema's default.
  std::optional<SettingsPath> Source;
};

/// @brief One check that a tree does not pass.
struct SettingsProblem {
  std::string Path;
  std::string Key;
  std::string Reason;
};

/// @brief Settings of a node alone, without what it inherits.
using SettingOverrides = std::map<std::string, SettingValue>;

/// @brief Writes a node's overrides as JSON.
/// @param overrides the overrides
/// @return values by key
nlohmann::json toJson(const SettingOverrides &overrides);

/// @brief Nodes with their overrides; the root is always there.
class SettingsTree {
public:
  /// @brief A tree with the root alone.
  SettingsTree();

  /// @brief Reads what @ref toJson wrote.
  /// @param nodes overrides by path
  /// @return the tree, or InvalidSettings
  static Result<SettingsTree> fromJson(const nlohmann::json &nodes);

  /// @brief Writes all nodes.
  /// @return overrides by path; equal trees give equal text; O(tree)
  nlohmann::json toJson() const;

  /// @brief All nodes, each parent before its children.
  /// @return overrides by path
  const std::map<SettingsPath, SettingOverrides> &nodes() const {
    return Nodes;
  }

  /// @brief Adds a node without overrides, unless it is there.
  /// @param path the node; its parent must exist
  /// @return nothing, or InvalidSettings
  Result<void> addNode(const SettingsPath &path);

  /// @brief Sets a key at a node, adding the node if its parent exists.
  /// @param path the node
  /// @param key the key
  /// @param value a value that parseSetting gave
  /// @return nothing, or InvalidSettings
  Result<void> set(const SettingsPath &path, const std::string &key,
                   SettingValue value);

  /// @brief Removes a key from a node, so that it inherits again.
  /// @param path the node
  /// @param key the key
  void unset(const SettingsPath &path, const std::string &key);

  /// @brief Removes a node and its descendants; the root only loses its keys.
  /// @param path the node
  void removeNode(const SettingsPath &path);

  /// @brief What a node itself sets.
  /// @param path the node
  /// @param key the key
  /// @return the override, or null
  const SettingValue *find(const SettingsPath &path,
                           const std::string &key) const;

  /// @brief The value in force at a node.
  /// @param path the node
  /// @param spec the key
  /// @return the nearest override or the default; nothing when neither is there
  std::optional<EffectiveSetting>
  effectiveSetting(const SettingsPath &path, const SettingSpec &spec) const;

  /// @brief All values in force at a node that apply to its level.
  /// @param path the node
  /// @return one item a key, in schema order
  std::vector<EffectiveSetting>
  effectiveSettings(const SettingsPath &path) const;

  /// @brief Checks that span keys or nodes.
  /// @return what does not pass; empty when sound; O(tree)
  std::vector<SettingsProblem> findProblems() const;

  bool operator==(const SettingsTree &) const = default;

private:
  std::map<SettingsPath, SettingOverrides> Nodes;
};

/// @brief Parses a value and checks that its key may be set at a node.
/// @param path the node
/// @param key the key
/// @param value its value
/// @return the value, or InvalidSettings with path, key and what is allowed
Result<SettingValue> parseOverride(const SettingsPath &path,
                                   const std::string &key,
                                   const nlohmann::json &value);

/// @brief One error that names every problem.
/// @param problems at least one
/// @return an InvalidSettings error
Error toError(const std::vector<SettingsProblem> &problems);

/// @brief Resolves a sound tree into the routes that hosts serve.
/// @param tree a tree that passes its checks
/// @param revision its revision
/// @return all routes; O(tree)
RouteTable buildRouteTable(const SettingsTree &tree, std::uint64_t revision);

} // namespace savorytrestle::core

#endif
