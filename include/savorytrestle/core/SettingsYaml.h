#ifndef SAVORYTRESTLE_CORE_SETTINGS_YAML_H
#define SAVORYTRESTLE_CORE_SETTINGS_YAML_H

/// @file
/// @brief Reads a settings tree from the YAML that operators write.

#include <string>

#include "savorytrestle/core/SettingsTree.h"

namespace savorytrestle::core {

/// @brief Reads a whole tree.
///
/// A node's keys stand beside its children, which are under `workspaces`,
/// `services` or `routes`. A service may write its leaves as a list, or as
/// `leaf_range` with groups, replicas, address, first_port and failure_domains.
/// @param text the YAML
/// @param file its name, for messages
/// @return a tree that passes its checks, or InvalidSettings with every
///   problem as "file:line: path key: reason"
Result<SettingsTree> parseSettingsYaml(const std::string &text,
                                       const std::string &file);

} // namespace savorytrestle::core

#endif
