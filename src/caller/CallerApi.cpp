#include "caller/CallerApi.h"

#include <random>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "savorytrestle/core/ClaimDocument.h"
#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::caller {

using core::Error;
using core::ErrorCode;
using core::makeError;
using core::Result;
using core::RunState;
using nlohmann::json;
using std::chrono::milliseconds;
using support::HttpRequest;
using support::HttpResponse;

namespace {

constexpr std::size_t MaxRequestIdLength = 64;

int httpStatus(ErrorCode code) {
  switch (code) {
  case ErrorCode::BadRequest:
  case ErrorCode::DeadlineInvalid:
    return 400;
  case ErrorCode::InvalidSettings:
    return 422;
  case ErrorCode::Unauthorized:
    return 401;
  case ErrorCode::UnknownWorkspace:
  case ErrorCode::UnknownRoute:
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::Quarantined:
  case ErrorCode::Overloaded:
    return 429;
  case ErrorCode::Draining:
  case ErrorCode::StoreUnavailable:
    return 503;
  case ErrorCode::OutcomeUnknown:
  case ErrorCode::BackendFailed:
    return 502;
  case ErrorCode::DeadlineExceeded:
    return 504;
  case ErrorCode::Internal:
    break;
  }
  return 500;
}

std::string newRequestId() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return absl::StrFormat("%016x%016x", random(), random());
}

// Ids are logged and sent to leaves, so a given id is used only if it is short
// and has no special characters.
std::string requestIdOf(const HttpRequest &request) {
  const auto given = request.header("x-request-id");
  const bool valid =
      given && !given->empty() && given->size() <= MaxRequestIdLength &&
      given->find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                               "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
          std::string::npos;
  return valid ? *given : newRequestId();
}

Result<milliseconds> readDeadline(const HttpRequest &request,
                                  const core::RouteSettings &route) {
  const auto text = request.header("deadline-ms");
  std::int64_t count = 0;
  if (!text || !absl::SimpleAtoi(*text, &count))
    return makeError(ErrorCode::DeadlineInvalid,
                     "header Deadline-Ms must be a whole number of "
                     "milliseconds");
  if (count <= 0)
    return makeError(ErrorCode::DeadlineInvalid,
                     "header Deadline-Ms must be at least 1");
  if (count > route.MaxDeadline.count())
    return makeError(ErrorCode::DeadlineInvalid,
                     "header Deadline-Ms is over the route's limit of " +
                         std::to_string(route.MaxDeadline.count()) + " ms");
  return milliseconds(count);
}

Result<std::string> readBody(const HttpRequest &request,
                             const core::RouteSettings &route) {
  if (request.Body.size() > route.MaxBodyBytes)
    return makeError(ErrorCode::BadRequest,
                     "the body is over the route's limit of " +
                         std::to_string(route.MaxBodyBytes) + " bytes");
  const json parsed = support::parseJsonOrDiscarded(request.Body);
  if (!parsed.is_object())
    return makeError(ErrorCode::BadRequest, "the body must be a JSON object");
  return parsed.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<core::RouteSettings> findRoute(const std::string &path,
                                      const core::RouteTable &routes,
                                      std::string &workspace) {
  const std::vector<std::string> parts =
      absl::StrSplit(path, '/', absl::SkipEmpty());
  if (parts.size() != 3 || parts[0] != "v1")
    return makeError(ErrorCode::NotFound,
                     "unknown path; use /v1/WORKSPACE/ROUTE");
  workspace = parts[1];
  if (routes.WorkspaceWeights.count(workspace) == 0)
    return makeError(ErrorCode::UnknownWorkspace,
                     "unknown workspace " + workspace);
  if (const auto it = routes.Routes.find({parts[1], parts[2]});
      it != routes.Routes.end())
    return it->second;
  return makeError(ErrorCode::UnknownRoute,
                   "workspace " + workspace + " has no route " + parts[2]);
}

HttpResponse jsonResponse(int status, const json &body) {
  HttpResponse response;
  response.Status = status;
  response.Body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

// In whole seconds, as HTTP requires, rounded up. A number rather than a date,
// because clients compare it.
std::string retryAfterSeconds(milliseconds wait) {
  return std::to_string(std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::seconds>(wait).count()));
}

json searchBody(const CallerRequest &request, core::SearchAnswer &answer) {
  json missing = json::array();
  for (const auto shard : answer.MissingShards)
    missing.push_back(shard);
  return {{"request_id", request.RequestId},
          {"index_version", answer.Version},
          {"coverage",
           {{"shards_answered", answer.ShardsAnswered},
            {"shards_total", answer.ShardsTotal},
            {"missing_shards", missing},
            {"missing_groups", answer.MissingGroups}}},
          {"extra_attempts", answer.ExtraAttempts},
          {"rows", std::move(answer.Rows)}};
}

} // namespace

HttpResponse errorResponse(const Error &error, const std::string &requestId) {
  json detail = {{"code", core::name(error.Code)},
                 {"message", error.Message},
                 {"run", core::name(error.Run)}};
  if (error.RetryAfter)
    detail["retry_after_ms"] = error.RetryAfter->count();
  json body = {{"error", detail}};
  if (!requestId.empty())
    body["request_id"] = requestId;
  HttpResponse response = jsonResponse(httpStatus(error.Code), body);
  if (error.RetryAfter)
    response.Headers["Retry-After"] = retryAfterSeconds(*error.RetryAfter);
  return response;
}

Result<CallerRequest> checkRequest(const HttpRequest &request,
                                   const core::RouteTable &routes,
                                   core::TimePoint now) {
  CallerRequest checked;
  checked.RequestId = requestIdOf(request);
  checked.Received = now;
  if (request.Method != "POST")
    return makeError(ErrorCode::BadRequest, "unsupported method; use POST");
  auto route = findRoute(request.Path, routes, checked.Workspace);
  if (!route)
    return tl::unexpected(route.error());
  checked.Route = std::move(*route);
  const auto deadline = readDeadline(request, checked.Route);
  if (!deadline)
    return tl::unexpected(deadline.error());
  checked.Deadline = now + *deadline;
  auto body = readBody(request, checked.Route);
  if (!body)
    return tl::unexpected(body.error());
  checked.Body = std::move(*body);
  checked.Key = request.header("idempotency-key");
  checked.SendNumber = request.header("send-number");
  return checked;
}

namespace {

/// As core::withProvenRunState; a refusal of a request without a key proves
/// that it has not run.
Error withProvenRunState(Error error, const HttpRequest &request) {
  const bool isFirst = !request.header("idempotency-key") ||
                       request.header("send-number") == "1";
  return core::withProvenRunState(std::move(error),
                                  isFirst ? 1 : core::UnknownSend);
}

} // namespace

CallerApi::CallerApi(CallerBackend backend, support::Metrics &metrics)
    : Backend(std::move(backend)), RequestMetrics(metrics) {}

HttpResponse CallerApi::handle(const HttpRequest &request) {
  if (request.Path == "/healthz" || request.Path == "/readyz")
    return health(request.Path);
  const auto routes = Backend.Routes();
  if (Backend.Draining() || !routes) {
    const bool draining = Backend.Draining();
    Error error{draining ? ErrorCode::Draining : ErrorCode::StoreUnavailable,
                draining ? "this host is stopping"
                         : "this host has not loaded its settings yet",
                RunState::NotRun, milliseconds(1000)};
    HttpResponse response =
        errorResponse(withProvenRunState(error, request), "");
    // Closes the load balancer's connection, so that it connects to another
    // host at once.
    response.Headers["Connection"] = "close";
    return response;
  }
  const auto checked =
      checkRequest(request, *routes, std::chrono::steady_clock::now());
  if (!checked) {
    RequestMetrics.countRequest("-", "-",
                                std::string(name(checked.error().Code)), {});
    return errorResponse(withProvenRunState(checked.error(), request),
                         requestIdOf(request));
  }
  return run(*checked);
}

HttpResponse CallerApi::refuseBody(const HttpRequest &request) {
  const Error error{ErrorCode::BadRequest,
                    "request body is incomplete or larger than the limit",
                    RunState::NotRun,
                    {}};
  RequestMetrics.countRequest("-", "-", std::string(name(error.Code)), {});
  return errorResponse(withProvenRunState(error, request),
                       requestIdOf(request));
}

HttpResponse CallerApi::health(const std::string &path) const {
  if (path == "/healthz")
    return jsonResponse(200, {{"status", "alive"}});
  const bool ready = Backend.Ready() && !Backend.Draining();
  return jsonResponse(ready ? 200 : 503,
                      {{"status", ready ? "ready" : "not_ready"}});
}

HttpResponse CallerApi::run(const CallerRequest &request) {
  if (request.Route.Kind == core::RouteKind::Write)
    return runWrite(request);
  return runSearch(request);
}

HttpResponse CallerApi::runSearch(const CallerRequest &request) {
  auto answer = Backend.Search(request);
  const auto latency = std::chrono::steady_clock::now() - request.Received;
  const std::string outcome =
      answer ? "ok" : std::string(name(answer.error().Code));
  RequestMetrics.countRequest(request.Workspace, request.Route.Name, outcome,
                              latency);
  support::LogLine line("search");
  line.with("request", request.RequestId)
      .with("workspace", request.Workspace)
      .with("route", request.Route.Name)
      .with("outcome", outcome)
      .with("latency", latency);
  if (!answer)
    return errorResponse(answer.error(), request.RequestId);
  RequestMetrics.countShards(request.Workspace, answer->ShardsTotal,
                             answer->ShardsAnswered);
  RequestMetrics.countExtraAttempts(request.Workspace, answer->ExtraAttempts);
  line.with("version", answer->Version)
      .with("shards_answered", answer->ShardsAnswered)
      .with("shards_total", answer->ShardsTotal)
      .with("extra", answer->ExtraAttempts);
  return jsonResponse(200, searchBody(request, *answer));
}

HttpResponse CallerApi::runWrite(const CallerRequest &request) {
  const auto answer = Backend.Write(request);
  const auto latency = std::chrono::steady_clock::now() - request.Received;
  const std::string outcome =
      answer ? "ok" : std::string(name(answer.error().Code));
  RequestMetrics.countRequest(request.Workspace, request.Route.Name, outcome,
                              latency);
  support::LogLine line("write");
  line.with("request", request.RequestId)
      .with("workspace", request.Workspace)
      .with("route", request.Route.Name)
      .with("outcome", outcome)
      .with("run", name(answer ? answer->Run : answer.error().Run))
      .with("latency", latency);
  if (!answer)
    return errorResponse(answer.error(), request.RequestId);
  return jsonResponse(
      200, {{"request_id", request.RequestId},
            {"run", core::name(answer->Run)},
            {"replayed", answer->Replayed},
            {"result_kept", answer->ResultKept},
            {"result", support::parseJsonOrDiscarded(answer->Result)}});
}

} // namespace savorytrestle::caller
