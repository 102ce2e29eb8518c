#ifndef SAVORYTRESTLE_CORE_ERROR_H
#define SAVORYTRESTLE_CORE_ERROR_H

/// @file
/// @brief Error values: kind of the failure, whether the request was executed,
/// and when to retry.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace savorytrestle::core {

/// @brief Kind of a failure; @ref name returns its wire name.
enum class ErrorCode {
  BadRequest,       ///< malformed or oversized input
  UnknownWorkspace, ///< no such workspace in the settings in force
  UnknownRoute,     ///< the workspace has no such service or route
  DeadlineInvalid,  ///< the deadline is absent, has passed or is out of range
  Unauthorized,     ///< missing or wrong operator token
  Conflict,         ///< lost compare-and-swap, or reused idempotency key
  InvalidSettings,  ///< the settings fail validation
  Overloaded,       ///< refused because of load, before any work was done
  Quarantined,      ///< the request's fingerprint crashed backend servers
  Draining,         ///< this host is stopping
  StoreUnavailable, ///< the key-value store did not accept the call
  OutcomeUnknown,   ///< the call may or may not have taken effect
  BackendFailed,    ///< a backend server answered with an error
  DeadlineExceeded, ///< the deadline passed
  NotFound,         ///< no such item
  Internal,         ///< anything else
};

/// @brief Whether a request was executed by a backend server.
enum class RunState {
  NotRun,  ///< proved that no backend server has executed it
  Ran,     ///< proved that a backend server has executed it
  Unknown, ///< neither is proved
};

/// @brief Describes a failure.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// Human-readable reason.
  std::string Message;
  /// Whether the request was executed; only meaningful for caller requests.
  RunState Run = RunState::NotRun;
  /// Time after which the caller should retry; empty if it should not.
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// @brief A value or an @ref Error.
template <typename T> using Result = tl::expected<T, Error>;

/// @brief Makes an error with run state NotRun and no retry time.
/// @param code kind of the failure
/// @param message human-readable reason
/// @return an unexpected value that converts to any @ref Result
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
