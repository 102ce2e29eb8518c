#ifndef SAVORYTRESTLE_CORE_SETTINGS_PATH_H
#define SAVORYTRESTLE_CORE_SETTINGS_PATH_H

/// @file
/// @brief Names a node of the settings tree.

#include <string>

#include "savorytrestle/core/SettingsSchema.h"

namespace savorytrestle::core {

/// @brief A checked path: "/", "/WORKSPACE", "/WORKSPACE/SERVICE" or
/// "/WORKSPACE/SERVICE/ROUTE".
class SettingsPath {
public:
  /// @brief The root.
  SettingsPath() = default;

  /// @brief Checks a path.
  /// @param text the path; names are lower-case letters, digits and '-', up to
  ///   63 long
  /// @return the path, or InvalidSettings
  static Result<SettingsPath> parse(const std::string &text);

  /// @brief The path as text.
  /// @return for example "/preisaufsicht/preisportal"
  const std::string &text() const { return Text; }

  /// @brief Depth of the node.
  /// @return its level
  SettingsLevel level() const { return Level; }

  /// @brief The node that this one inherits from.
  /// @return the parent; the root's is the root
  SettingsPath parent() const;

  /// @brief The last name in the path.
  /// @return the name; empty for the root
  std::string lastSegment() const;

  /// @brief The workspace that the node belongs to.
  /// @return the workspace's path; the root's is the root
  SettingsPath workspace() const;

  /// @brief Whether this is a node or one of its descendants.
  /// @param ancestor the node
  /// @return true when within its subtree
  bool isWithin(const SettingsPath &ancestor) const;

  bool operator==(const SettingsPath &other) const = default;
  bool operator<(const SettingsPath &other) const { return Text < other.Text; }

private:
  SettingsPath(std::string text, SettingsLevel level)
      : Text(std::move(text)), Level(level) {}

  std::string Text = "/";
  SettingsLevel Level = SettingsLevel::Root;
};

} // namespace savorytrestle::core

#endif
