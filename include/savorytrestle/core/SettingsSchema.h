#ifndef SAVORYTRESTLE_CORE_SETTINGS_SCHEMA_H
#define SAVORYTRESTLE_CORE_SETTINGS_SCHEMA_H

/// @file
/// @brief Schema of all settings keys: type, range and levels.

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

/// @brief Level of a node in the settings tree.
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

/// @brief A parsed value; choices and token hashes are strings.
using SettingValue =
    std::variant<bool, std::int64_t, double, std::chrono::milliseconds,
                 std::string, std::vector<LeafSettings>>;

/// @brief Schema entry of one key.
struct SettingSpec {
  std::string_view Key = {};
  SettingKind Kind = SettingKind::Bool;
  /// Highest level at which the key may be set.
  SettingsLevel HighestLevel = SettingsLevel::Root;
  /// Lowest level at which the key may be set.
  SettingsLevel LowestLevel = SettingsLevel::Route;
  /// Value in force where no node sets the key; empty if it has no default.
  std::string_view Default = {};
  /// Smallest number, or shortest duration in milliseconds.
  double Minimum = 0;
  /// Largest number, or longest duration in milliseconds.
  double Maximum = 0;
  /// Unit of a number.
  std::string_view Unit = {};
  /// Allowed values of a choice, separated by '|'.
  std::string_view Choices = {};
  /// Whether only the root operator may change the key.
  bool RootOperatorOnly = false;
  /// Meaning of the key, for the settings reference.
  std::string_view Description = {};
};

/// @brief Schema of all keys, in the order of the settings reference.
/// @return one entry per key
std::span<const SettingSpec> settingsSchema();

/// @brief Finds the schema entry of a key.
/// @param key the key
/// @return the entry, or nullptr for an unknown key; O(keys)
const SettingSpec *findSetting(std::string_view key);

/// @brief Whether a key may be set at a level.
/// @param spec schema entry of the key
/// @param level the level
/// @return true if it may be set there
bool isAllowedAt(const SettingSpec &spec, SettingsLevel level);

/// @brief Describes the allowed values of a key, for error messages and the
/// settings reference.
/// @param spec schema entry of the key
/// @return for example "duration from 1 ms to 10 min"
std::string allowedValues(const SettingSpec &spec);

/// @brief Wire name of a level, for example "workspace".
/// @param level the level
/// @return a static string
std::string_view name(SettingsLevel level);

/// @brief Parses and checks the text form of a value.
/// @param spec schema entry of the key
/// @param text the value; a leaf list is written as JSON
/// @return the value, or InvalidSettings with the allowed values
Result<SettingValue> parseSetting(const SettingSpec &spec,
                                  const std::string &text);

/// @brief Parses and checks the JSON form of a value.
/// @param spec schema entry of the key
/// @param value a string in the text form, or a value of the key's JSON type
/// @return the value, or InvalidSettings with the allowed values
Result<SettingValue> parseSetting(const SettingSpec &spec,
                                  const nlohmann::json &value);

/// @brief Converts a value to JSON that @ref parseSetting accepts.
/// @param value the value
/// @return the JSON value; a duration is a string with its unit
nlohmann::json toJson(const SettingValue &value);

/// @brief Parses a duration with its unit.
/// @param text for example "250 ms", "2 s", "5 min" or "24 h"
/// @return the duration, or InvalidSettings
Result<std::chrono::milliseconds> parseDuration(std::string_view text);

/// @brief Formats a duration in the largest unit that divides it exactly.
/// @param span the duration
/// @return for example "2 s"
std::string formatDuration(std::chrono::milliseconds span);

/// @brief Generates the settings reference for operators from the schema.
/// @return Markdown
std::string settingsReference();

} // namespace savorytrestle::core

#endif
