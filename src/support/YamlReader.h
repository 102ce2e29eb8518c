#ifndef SAVORYTRESTLE_SUPPORT_YAML_READER_H
#define SAVORYTRESTLE_SUPPORT_YAML_READER_H

/// @file
/// @brief Reads a YAML document key by key and reports every error with file,
/// line, key and expected value.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::support {

/// @brief Collects the errors of one document.
struct YamlErrors {
  /// Name of the document, shown in each message.
  std::string File;
  std::vector<std::string> Messages;
};

/// @brief One mapping of a document.
///
/// Each getter returns the fallback when the key is absent or its value
/// invalid; invalid values are added to the errors. Call @ref reportUnknownKeys
/// last.
class YamlMap {
public:
  /// @brief Reads a mapping.
  /// @param node the node; anything but a mapping or null is an error
  /// @param path dotted path of the node, for messages
  /// @param errors errors are added here
  YamlMap(const YAML::Node &node, std::string path, YamlErrors &errors);

  /// @brief Reads text.
  /// @param key its key
  /// @param fallback value when absent
  /// @return the text
  std::string text(const std::string &key, const std::string &fallback);

  /// @brief Reads text that is required and not empty.
  /// @param key its key
  /// @return the text
  std::string requiredText(const std::string &key);

  /// @brief Reads "ip:port".
  /// @param key its key
  /// @param fallback value when absent; empty makes the key required
  /// @return the address
  std::string address(const std::string &key, const std::string &fallback);

  /// @brief Reads an optional "ip:port".
  /// @param key its key
  /// @return the address; empty when absent
  std::string optionalAddress(const std::string &key);

  /// @brief Reads a list of "ip:port".
  /// @param key its key
  /// @return the addresses; empty when absent
  std::vector<std::string> addresses(const std::string &key);

  /// @brief Reads a whole number.
  /// @param key its key
  /// @param fallback value when absent
  /// @param min smallest value allowed
  /// @param max largest value allowed
  /// @return the number
  std::int64_t integer(const std::string &key, std::int64_t fallback,
                       std::int64_t min, std::int64_t max);

  /// @brief Reads a number that may have a fraction.
  /// @param key its key
  /// @param fallback value when absent
  /// @param min smallest value allowed
  /// @param max largest value allowed
  /// @return the number
  double decimal(const std::string &key, double fallback, double min,
                 double max);

  /// @brief Reads a mapping of strings to strings.
  /// @param key its key
  /// @return the mapping; empty when absent
  std::map<std::string, std::string> stringMap(const std::string &key);

  /// @brief Reads a duration such as "250 ms" or "2 s".
  /// @param key its key
  /// @param fallback value when absent
  /// @param min shortest value allowed
  /// @param max longest value allowed
  /// @return the duration
  std::chrono::milliseconds duration(const std::string &key,
                                     std::chrono::milliseconds fallback,
                                     std::chrono::milliseconds min,
                                     std::chrono::milliseconds max);

  /// @brief Reads a value out of a fixed list.
  /// @param key its key
  /// @param allowed the allowed values; the first is the fallback
  /// @return the value
  std::string oneOf(const std::string &key,
                    const std::vector<std::string> &allowed);

  /// @brief Reads a nested mapping; an absent one is empty.
  /// @param key its key
  /// @return the mapping
  YamlMap map(const std::string &key);

  /// @brief Adds an error for each key that no getter has read.
  void reportUnknownKeys();

private:
  YAML::Node find(const std::string &key);
  void addError(const YAML::Node &node, const std::string &key,
                const std::string &allowed);

  YAML::Node Node;
  std::string Path;
  YamlErrors &Errors;
  std::vector<std::string> KnownKeys;
};

/// @brief Parses "250 ms", "2.5 s" or "5 min", rounded to milliseconds.
/// @param text the duration with its unit
/// @return the duration, or nothing when the text is not one
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

/// @brief Whether the text is an IPv4 or bracketed IPv6 address with a port.
/// @param text for example "127.0.0.1:8080"
/// @return true when it is
bool isAddress(const std::string &text);

} // namespace savorytrestle::support

#endif
