#ifndef SAVORYTRESTLE_OPERATORS_EXPLAIN_COMMAND_H
#define SAVORYTRESTLE_OPERATORS_EXPLAIN_COMMAND_H

/// @file
/// @brief The command `savorytrestle explain`: asks a running host where a
/// request would be sent now, and why. The request isn't sent.

#include <chrono>
#include <ostream>
#include <string>

namespace savorytrestle::operators {

/// @brief Exit codes of the command.
enum class ExplainExitCode {
  Ok = 0,
  Refused = 1,     ///< the request would be refused, or the reply is malformed
  Usage = 2,       ///< the arguments are not a valid command
  Unreachable = 4, ///< the host did not answer
};

/// @brief Flags of the command.
struct ExplainOptions {
  /// Metrics listener of the host, as "ip:port".
  std::string Status;
  /// Host name and path of the request.
  std::string Host;
  std::string Path;
  /// Time that the caller has, in milliseconds; 0 for the route's.
  int DeadlineMs = 0;
  /// Workspace of the request; empty for none.
  std::string Workspace;
  /// Whether to print the reply as JSON instead of text.
  bool Json = false;
  /// Timeout of the call.
  std::chrono::milliseconds Timeout{5000};
};

/// @brief Runs the command.
/// @param options flags
/// @param out stream for the explanation
/// @param err stream for errors
/// @return the exit code, one of ExplainExitCode
int runExplain(const ExplainOptions &options, std::ostream &out,
               std::ostream &err);

} // namespace savorytrestle::operators

#endif
