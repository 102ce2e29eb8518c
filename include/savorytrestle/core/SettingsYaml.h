#ifndef SAVORYTRESTLE_CORE_SETTINGS_YAML_H
#define SAVORYTRESTLE_CORE_SETTINGS_YAML_H

/// @file
/// @brief Parses the YAML form of the settings tree.

#include <string>

#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

/// @brief Parses and validates a whole tree.
///
/// A node is a mapping of its keys and, under `workspaces`, `services` or
/// `routes`, its children. The leaves of a service are given as a list, or as
/// a `leaf_range` with groups, replicas, address, first_port and
/// failure_domains.
/// @param text the YAML document
/// @param file file name, for error messages
/// @return a valid tree, or InvalidSettings with one line
///   "file:line: path key: reason" per problem, up to 20
Result<SettingsTree> parseSettingsYaml(const std::string &text,
                                       const std::string &file);

} // namespace savorytrestle::core

#endif
