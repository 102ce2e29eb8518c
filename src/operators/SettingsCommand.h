#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_COMMAND_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_COMMAND_H

/// @file
/// @brief The command `savorytrestle settings`.

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace savorytrestle::operators {

/// @brief Exit codes of the command.
enum class SettingsExitCode {
  Ok = 0,
  Refused = 1,     ///< the host or a check said no; nothing was changed
  Usage = 2,       ///< the words make no command
  Unknown = 3,     ///< the change may be made; ask again with its id
  Unreachable = 4, ///< no host, or its store, took the call
};

/// @brief Flags of the command.
struct SettingsCommandOptions {
  /// Administration listener of any host, as "ip:port".
  std::string Admin = "127.0.0.1:7080";
  /// File whose first line is the bearer token.
  std::string TokenFile;
  /// Id of a change that is sent again; empty makes a new one.
  std::string ChangeId;
  /// Revision that the operator saw; a change of the same keys since is a
  /// conflict.
  std::optional<std::uint64_t> BaseRevision;
  /// Person named in the audit trail; may be empty.
  std::string Operator;
  /// Prints the reply's JSON in place of text.
  bool Json = false;
  /// Bound on each call.
  std::chrono::milliseconds Timeout{10000};
  /// Wait before an unknown outcome is asked for again.
  std::chrono::milliseconds RetryWait{1000};
};

/// @brief Help text of the command.
/// @return the text, with all exit codes
std::string settingsUsage();

/// @brief Runs one command.
/// @param arguments what follows "settings" on the command line
/// @param options flags
/// @param out where results go
/// @param err where errors go
/// @return the exit code, one of SettingsExitCode
int runSettings(const std::vector<std::string> &arguments,
                const SettingsCommandOptions &options, std::ostream &out,
                std::ostream &err);

/// @brief Runs one command on standard output and standard error.
/// @param arguments what follows "settings" on the command line
/// @param options flags
/// @return the exit code, one of SettingsExitCode
int runSettings(const std::vector<std::string> &arguments,
                const SettingsCommandOptions &options);

} // namespace savorytrestle::operators

#endif
