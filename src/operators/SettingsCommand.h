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
  Refused = 1,     ///< rejected by the host or a check; nothing was changed
  Usage = 2,       ///< the arguments are not a valid command
  Unknown = 3,     ///< the change may have been made; resend it with its id
  Unreachable = 4, ///< the host or its store is unavailable
};

/// @brief Flags of the command.
struct SettingsCommandOptions {
  /// Administration listener of any host, as "ip:port".
  std::string Admin = "127.0.0.1:7080";
  /// File whose first line is the bearer token.
  std::string TokenFile;
  /// Id of a change that is resent; if empty, a new id is generated.
  std::string ChangeId;
  /// Revision on which the change is based; a later change of the same keys is
  /// a conflict.
  std::optional<std::uint64_t> BaseRevision;
  /// Name of the person for the audit log; may be empty.
  std::string Operator;
  /// Whether to print the reply as JSON instead of text.
  bool Json = false;
  /// Timeout of each call.
  std::chrono::milliseconds Timeout{10000};
  /// Wait before a change with an unknown outcome is resent.
  std::chrono::milliseconds RetryWait{1000};
};

/// @brief Returns the help text of the command, including its exit codes.
/// @return the text
std::string settingsUsage();

/// @brief Runs one command.
/// @param arguments what follows "settings" on the command line
/// @param options flags
/// @param out stream for results
/// @param err stream for errors
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
