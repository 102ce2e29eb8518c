#ifndef SAVORYTRESTLE_CALLER_CALLER_API_H
#define SAVORYTRESTLE_CALLER_CALLER_API_H

/// @file
/// @brief The HTTP/JSON interface that callers use.
///
/// POST /v1/WORKSPACE/ROUTE with a JSON object as body and the header
/// Deadline-Ms; see docs/CALLERS.md.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/SearchTypes.h"
#include "support/HttpServer.h"
#include "support/Metrics.h"

namespace savorytrestle::caller {

/// @brief A checked caller request.
struct CallerRequest {
  std::string RequestId;
  std::string Workspace;
  core::RouteSettings Route;
  /// The body as compact JSON text.
  std::string Body;
  /// Idempotency key of a write, if the caller gave one.
  std::optional<std::string> Key;
  /// Number of this send of the key, as counted by the caller; text as
  /// received.
  std::optional<std::string> SendNumber;
  core::TimePoint Received;
  core::TimePoint Deadline;
};

/// @brief A write's outcome.
struct WriteAnswer {
  core::RunState Run = core::RunState::Ran;
  /// The backend server's result as JSON text.
  std::string Result;
  /// Whether the outcome was recorded by an earlier request with the same key.
  bool Replayed = false;
  /// False when the recorded result was too long to keep.
  bool ResultKept = true;
};

/// @brief Functions of the process that serves the interface; each blocks the
/// calling worker until its outcome is known or the deadline has passed.
struct CallerBackend {
  std::function<std::shared_ptr<const core::RouteTable>()> Routes;
  std::function<core::Result<core::SearchAnswer>(const CallerRequest &)> Search;
  std::function<core::Result<WriteAnswer>(const CallerRequest &)> Write;
  std::function<bool()> Ready;
  std::function<bool()> Draining;
};

/// @brief Checks, runs and answers caller requests; thread-safe.
class CallerApi {
public:
  /// @brief Creates the interface.
  /// @param backend runs the requests
  /// @param metrics counts the requests; must outlive the interface
  CallerApi(CallerBackend backend, support::Metrics &metrics);

  /// @brief Answers one HTTP request.
  /// @param request the request
  /// @return the response; the body of each error has an error code
  support::HttpResponse handle(const support::HttpRequest &request);

  /// @brief Answers a request whose body is incomplete or larger than the
  /// listener's limit.
  /// @param request the request, with what was read of its body
  /// @return the response
  support::HttpResponse refuseBody(const support::HttpRequest &request);

private:
  support::HttpResponse health(const std::string &path) const;
  support::HttpResponse run(const CallerRequest &request);
  support::HttpResponse runSearch(const CallerRequest &request);
  support::HttpResponse runWrite(const CallerRequest &request);

  CallerBackend Backend;
  support::Metrics &RequestMetrics;
};

/// @brief Checks a request against the settings in force.
/// @param request the HTTP request
/// @param routes settings in force
/// @param now current time
/// @return the checked request, or the error to answer with
core::Result<CallerRequest> checkRequest(const support::HttpRequest &request,
                                         const core::RouteTable &routes,
                                         core::TimePoint now);

/// @brief Makes the response for an error.
/// @param error the error
/// @param requestId id of the request; may be empty
/// @return status, body with the error code, and Retry-After if the error has
/// one
support::HttpResponse errorResponse(const core::Error &error,
                                    const std::string &requestId);

} // namespace savorytrestle::caller

#endif
