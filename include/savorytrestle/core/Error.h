#ifndef SAVORYTRESTLE_CORE_ERROR_H
#define SAVORYTRESTLE_CORE_ERROR_H

/// @file
/// @brief Errors as values: what went wrong, whether the request ran, and when
/// to come back.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace savorytrestle::core {

/// @brief Kind of a failure; the wire name is given by @ref name.
enum class ErrorCode {
  BadRequest,       ///< malformed or oversized input
  UnknownWorkspace, ///< no such workspace in the settings in force
  UnknownRoute,     ///< the workspace has no such service or route
  DeadlineInvalid,  ///< absent, spent or out of range
  Unauthorized,     ///< missing or wrong operator token
  Conflict,         ///< a compare-and-swap lost, or a key is reused
  InvalidSettings,  ///< a settings check refused the change
  Overloaded,       ///< refused before any work was done
  Quarantined,      ///< the request's fingerprint crashed backend servers
  Draining,         ///< this host is stopping
  StoreUnavailable, ///< the key-value service did not take the call
  OutcomeUnknown,   ///< the call may or may not have taken effect
  BackendFailed,    ///< a backend server answered with an error
  DeadlineExceeded, ///< the deadline passed
  NotFound,         ///< no such item
  Internal,         ///< anything else
};

/// @brief Whether a request was executed by a backend server.
enum class RunState {
  NotRun,  ///< proved: no backend server has executed it
  Ran,     ///< proved: executed
  Unknown, ///< neither can be proved
};

/// @brief A failure as a value.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// Human-readable reason.
  std::string Message;
  /// What is known about execution; only meaningful for caller requests.
  RunState Run = RunState::NotRun;
  /// When the caller should come back, if it should.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// @brief A value or an @ref Error.
template <typename T> using Result = tl::expected<T, Error>;

/// @brief Makes the error side of a @ref Result.
/// @param code kind of the failure
/// @param message human-readable reason
/// @return an unexpected value that converts to any Result
inline tl::unexpected<Error> makeError(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(message), RunState::NotRun, {}});
}

/// @brief Wire name of an error code, for example "unknown_workspace".
/// @param code the code
/// @return a static string in snake case
std::string_view name(ErrorCode code);

/// @brief Wire name of a run state: "not_run", "ran" or "unknown".
/// @param state the state
/// @return a static string
std::string_view name(RunState state);

} // namespace savorytrestle::core

#endif
