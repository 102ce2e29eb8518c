#ifndef SAVORYTRESTLE_SUPPORT_YAML_FILE_H
#define SAVORYTRESTLE_SUPPORT_YAML_FILE_H

/// @file
/// @brief Reads a YAML document into validated settings.

#include <string>

#include <absl/strings/str_join.h>

#include "savorytrestle/core/Error.h"
#include "support/YamlReader.h"

namespace savorytrestle::support {

/// @brief Reads a file.
/// @param path its path
/// @return its text, or NotFound
core::Result<std::string> readFile(const std::string &path);

/// @brief Parses a document.
/// @param text YAML
/// @param file name shown in messages
/// @param read reads the settings from the document's root mapping
/// @return the settings; InvalidSettings with one line per error
template <typename Read>
auto parseYaml(const std::string &text, const std::string &file, Read read)
    -> core::Result<decltype(read(std::declval<YamlMap>()))> {
  YamlErrors errors{file, {}};
  decltype(read(std::declval<YamlMap>())) settings{};
  try {
    settings = read(YamlMap(YAML::Load(text), "", errors));
  } catch (const YAML::Exception &ex) {
    errors.Messages.push_back(file + ":" + std::to_string(ex.mark.line + 1) +
                              ": " + ex.msg);
  }
  if (!errors.Messages.empty())
    return core::makeError(core::ErrorCode::InvalidSettings,
                           absl::StrJoin(errors.Messages, "\n"));
  return settings;
}

} // namespace savorytrestle::support

#endif
