#ifndef SAVORYTRESTLE_CORE_SETTINGS_PATH_H
#define SAVORYTRESTLE_CORE_SETTINGS_PATH_H

/// @file
/// @brief Paths of nodes in the settings tree.

#include <string>

#include "savorytrestle/core/SettingsSchema.h"

namespace savorytrestle::core {

/// @brief A valid path: "/", "/WORKSPACE", "/WORKSPACE/SERVICE" or
/// "/WORKSPACE/SERVICE/ROUTE".
class SettingsPath {
public:
  /// @brief Makes the path of the root.
  SettingsPath() = default;

  /// @brief Parses a path.
  /// @param text the path; a name consists of up to 63 lower-case letters,
  ///   digits and '-', and does not start with '-'
  /// @return the path, or InvalidSettings
  static Result<SettingsPath> parse(const std::string &text);

  /// @brief The path as text.
  /// @return for example "/preisaufsicht/preisportal"
  const std::string &text() const { return Text; }

  /// @brief Level of the node.
  /// @return the level
  SettingsLevel level() const { return Level; }

  /// @brief The node from which this one inherits.
  /// @return the parent's path; the root for the root itself
  SettingsPath parent() const;

  /// @brief The last name in the path.
  /// @return the name; empty for the root
  std::string lastSegment() const;

  /// @brief The workspace that the node belongs to.
  /// @return the workspace's path; the root for the root itself
  SettingsPath workspace() const;

  /// @brief Whether this node lies in the subtree of another.
  /// @param ancestor root of the subtree
  /// @return true for the ancestor itself and its descendants
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
