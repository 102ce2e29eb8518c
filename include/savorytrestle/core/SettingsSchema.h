#ifndef SAVORYTRESTLE_CORE_SETTINGS_SCHEMA_H
#define SAVORYTRESTLE_CORE_SETTINGS_SCHEMA_H

/// @file
/// @brief Every settings key with its type, range and levels.

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/RouteSettings.h"

namespace savorytrestle::core {

/// @brief Depth of a node in the settings tree.
enum class SettingsLevel { Root, Workspace, Service, Route };

/// @brief Type of a setting.
enum class SettingKind {
  Bool,
  Integer,
  Real,
  TimeSpan,
  Choice,
  LeafList,
  TokenHash,
};

/// @brief A parsed setting; choices and token hashes are strings.
using SettingValue =
    std::variant<bool, std::int64_t, double, std::chrono::milliseconds,
                 std::string, std::vector<LeafSettings>>;

/// @brief What the schema says about one key.
struct SettingSpec {
  std::string_view Key = {};
  SettingKind Kind = SettingKind::Bool;
  /// Highest level at which it may be set.
  SettingsLevel HighestLevel = SettingsLevel::Root;
  /// Lowest level at which it may be set.
  SettingsLevel LowestLevel = SettingsLevel::Route;
  /// Value where no node sets it; empty when there is none.
  std::string_view Default = {};
  /// Least number, or milliseconds of a duration.
  double Minimum = 0;
  /// Greatest number, or milliseconds of a duration.
  double Maximum = 0;
  /// Unit of a number.
  std::string_view Unit = {};
  /// Choices, separated by '|'.
  std::string_view Choices = {};
  /// Whether only the root operator may change it.
  bool RootOperatorOnly = false;
  std::string_view Description = {};
};

/// @brief All keys, in the order of the reference.
/// @return the schema
std::span<const SettingSpec> settingsSchema();

/// @brief Looks a key up.
/// @param key the key
/// @return its entry, or null; O(keys)
const SettingSpec *findSetting(std::string_view key);

/// @brief Whether a key may be set at a level.
/// @param spec the key
/// @param level the level
/// @return true when it may
bool isAllowedAt(const SettingSpec &spec, SettingsLevel level);

/// @brief What values a key takes, for messages and the reference.
/// @param spec the key
/// @return for example "duration from 1 ms to 10 min"
std::string allowedValues(const SettingSpec &spec);

/// @brief Wire name of a level, for example "workspace".
/// @param level the level
/// @return a static string
std::string_view name(SettingsLevel level);

/// @brief Parses and checks a value as written by an operator.
/// @param spec the key
/// @param text the value; a leaf list is JSON
/// @return the value, or InvalidSettings with what is allowed
Result<SettingValue> parseSetting(const SettingSpec &spec,
                                  const std::string &text);

/// @brief Parses and checks a value from JSON.
/// @param spec the key
/// @param value a string as for the text form, or the JSON type of the key
/// @return the value, or InvalidSettings with what is allowed
Result<SettingValue> parseSetting(const SettingSpec &spec,
                                  const nlohmann::json &value);

/// @brief Writes a value as JSON that @ref parseSetting reads back.
/// @param value the value
/// @return durations as text with their unit
nlohmann::json toJson(const SettingValue &value);

/// @brief Parses a span of time with its unit.
/// @param text for example "250 ms", "2 s", "5 min" or "24 h"
/// @return the span, or InvalidSettings
Result<std::chrono::milliseconds> parseDuration(std::string_view text);

/// @brief Writes a span of time in the largest unit that is exact.
/// @param span the span
/// @return for example "2 s"
std::string formatDuration(std::chrono::milliseconds span);

/// @brief The settings reference for operators, made from the schema.
/// @return Markdown
std::string settingsReference();

} // namespace savorytrestle::core

#endif
