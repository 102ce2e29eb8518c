#ifndef SAVORYTRESTLE_CORE_SETTINGS_TREE_H
#define SAVORYTRESTLE_CORE_SETTINGS_TREE_H

/// @file
/// @brief The settings tree with its inheritance and validation.

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

/// @brief The value in force at a node, and the node that sets it.
struct EffectiveSetting {
  std::string_view Key;
  SettingValue Value;
  /// Node that sets the value; empty for the schema's default.
  std::optional<SettingsPath> Source;
};

/// @brief One validation failure.
struct SettingsProblem {
  /// Path of the node.
  std::string Path;
  /// Key at fault; empty if the node itself is at fault.
  std::string Key;
  std::string Reason;
};

/// @brief Values that a node itself sets, by key; without inherited ones.
using SettingOverrides = std::map<std::string, SettingValue>;

/// @brief Converts a node's overrides to JSON.
/// @param overrides the overrides
/// @return values by key
nlohmann::json toJson(const SettingOverrides &overrides);

/// @brief Nodes with their overrides; the root always exists.
class SettingsTree {
public:
  /// @brief Makes a tree that consists of the root.
  SettingsTree();

  /// @brief Parses the output of @ref toJson.
  /// @param nodes overrides by path
  /// @return the tree, or InvalidSettings
  static Result<SettingsTree> fromJson(const nlohmann::json &nodes);

  /// @brief Converts all nodes to JSON.
  /// @return overrides by path; equal trees give equal output; O(tree)
  nlohmann::json toJson() const;

  /// @brief All nodes; each parent precedes its children.
  /// @return overrides by path
  const std::map<SettingsPath, SettingOverrides> &nodes() const {
    return Nodes;
  }

  /// @brief Adds a node without overrides, unless it exists.
  /// @param path the node; its parent must exist
  /// @return nothing, or InvalidSettings
  Result<void> addNode(const SettingsPath &path);

  /// @brief Sets a key at a node, adding the node if its parent exists.
  /// @param path the node
  /// @param key the key
  /// @param value a value returned by parseSetting
  /// @return nothing, or InvalidSettings
  Result<void> set(const SettingsPath &path, const std::string &key,
                   SettingValue value);

  /// @brief Removes a key from a node, which then inherits the key's value.
  /// @param path the node
  /// @param key the key
  void unset(const SettingsPath &path, const std::string &key);

  /// @brief Removes a node and its descendants. The root itself stays, without
  /// its overrides.
  /// @param path the node
  void removeNode(const SettingsPath &path);

  /// @brief Finds the override of a key at a node.
  /// @param path the node
  /// @param key the key
  /// @return the override, or nullptr if the node does not set the key
  const SettingValue *find(const SettingsPath &path,
                           const std::string &key) const;

  /// @brief The value of a key in force at a node.
  /// @param path the node
  /// @param spec schema entry of the key
  /// @return the nearest override, or else the default; empty if there is none
  std::optional<EffectiveSetting>
  effectiveSetting(const SettingsPath &path, const SettingSpec &spec) const;

  /// @brief All values in force at a node, for the keys that apply to its
  /// level.
  /// @param path the node
  /// @return one item per key that has a value, in schema order
  std::vector<EffectiveSetting>
  effectiveSettings(const SettingsPath &path) const;

  /// @brief Runs the checks that involve several keys or nodes.
  /// @return the failures; empty if the tree is valid; O(tree)
  std::vector<SettingsProblem> findProblems() const;

  bool operator==(const SettingsTree &) const = default;

private:
  std::map<SettingsPath, SettingOverrides> Nodes;
};

/// @brief Parses a value and checks that its key may be set at a node.
/// @param path the node
/// @param key the key
/// @param value the value as JSON
/// @return the value, or InvalidSettings with path, key and allowed values
Result<SettingValue> parseOverride(const SettingsPath &path,
                                   const std::string &key,
                                   const nlohmann::json &value);

/// @brief Makes one error that lists all problems.
/// @param problems the problems; at least one
/// @return an InvalidSettings error
Error toError(const std::vector<SettingsProblem> &problems);

/// @brief Resolves inheritance into the routes that hosts serve.
/// @param tree a tree in which @ref SettingsTree::findProblems finds none
/// @param revision revision of the tree
/// @return all routes; O(tree)
RouteTable buildRouteTable(const SettingsTree &tree, std::uint64_t revision);

} // namespace savorytrestle::core

#endif
