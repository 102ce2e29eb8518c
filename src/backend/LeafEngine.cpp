#include "backend/LeafEngine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "backend/SearchSession.h"
#include "savorytrestle/core/BaselineSearch.h"

namespace savorytrestle::backend {

using core::Error;
using core::ErrorCode;
using core::RunState;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds RetrySoon{1000};
// Kept back from the caller's deadline for merging and the way back.
constexpr milliseconds AnswerMargin{5};
constexpr int StatusOk = 200;

tl::unexpected<Error> refuse(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(message), RunState::NotRun, RetrySoon});
}

std::string_view failureName(core::AttemptFailure failure) {
  switch (failure) {
  case core::AttemptFailure::Refused:
    return "refused";
  case core::AttemptFailure::Shed:
    return "shed";
  case core::AttemptFailure::Draining:
    return "draining";
  case core::AttemptFailure::WrongVersion:
    return "wrong_version";
  case core::AttemptFailure::Broken:
    return "broken";
  case core::AttemptFailure::Malformed:
    return "malformed";
  case core::AttemptFailure::Expired:
    return "expired";
  }
  return "unknown";
}

/// What a leaf's reply to a write proves about its execution.
core::Result<std::string> readWriteResult(const LeafCallResult &result) {
  if (result.Failure == CallFailure::NotSent)
    return refuse(ErrorCode::BackendFailed, "the backend server is not there");
  if (result.Failure)
    return tl::unexpected<Error>(Error{ErrorCode::OutcomeUnknown,
                                       "no reply from the backend server",
                                       RunState::Unknown, RetrySoon});
  if (result.Status == StatusOk) {
    const auto parsed = nlohmann::json::parse(result.Body, nullptr, false);
    if (parsed.is_object() && parsed.contains("result"))
      return parsed["result"].dump();
    return std::string("null");
  }
  const auto refusal = decodeRefusal(result.Status, result.Body);
  if (refusal == core::AttemptFailure::Shed ||
      refusal == core::AttemptFailure::Draining)
    return refuse(ErrorCode::Overloaded, "the backend server took no work");
  return tl::unexpected<Error>(
      Error{ErrorCode::OutcomeUnknown,
            "the backend server answered " + std::to_string(result.Status),
            RunState::Unknown, RetrySoon});
}

} // namespace

struct LeafEngine::State {
  State(FanOutLoop &loop, support::Metrics &metrics)
      : Loop(loop), Counts(metrics) {}

  void apply(const core::RouteTable &routes);
  void search(SearchJob job, SearchDone done);
  void write(WriteJob job, const WriteDone &done);
  std::shared_ptr<ServiceRuntime> find(const core::RouteSettings &route);

  FanOutLoop &Loop;
  support::Metrics &Counts;
  std::map<std::pair<std::string, std::string>, std::shared_ptr<ServiceRuntime>>
      Services;
};

void LeafEngine::State::apply(const core::RouteTable &routes) {
  decltype(Services) next;
  for (const auto &[name, route] : routes.Routes) {
    const std::pair key(route.Service->Workspace, route.Service->Name);
    if (next.count(key) > 0)
      continue;
    auto &runtime = next[key];
    if (const auto it = Services.find(key);
        it != Services.end() && it->second->settings() == route.Service) {
      runtime = it->second;
      Services.erase(it);
      continue;
    }
    runtime = std::make_shared<ServiceRuntime>(route.Service, Loop);
    runtime->startPolling();
  }
  for (const auto &[key, runtime] : Services)
    runtime->stop();
  Services = std::move(next);
}

std::shared_ptr<ServiceRuntime>
LeafEngine::State::find(const core::RouteSettings &route) {
  const auto it =
      Services.find({route.Service->Workspace, route.Service->Name});
  return it == Services.end() ? nullptr : it->second;
}

void LeafEngine::State::search(SearchJob job, SearchDone done) {
  const auto runtime = find(job.Route);
  const auto snapshot = runtime ? runtime->snapshot() : std::nullopt;
  if (!snapshot) {
    done(refuse(ErrorCode::BackendFailed, "no index version is known yet"));
    return;
  }
  SearchContext context{job.RequestId, job.Query, runtime->settings()};
  auto session = std::make_shared<SearchSession<core::BaselineSearch>>(
      core::BaselineSearch(*snapshot, job.Deadline - AnswerMargin),
      std::move(context), Loop,
      [this](const AttemptEvent &event) {
        Counts.countAttempt(
            event.Failure ? std::string(failureName(*event.Failure)) : "ok");
      },
      [done = std::move(done)](core::SearchAnswer answer) {
        done(std::move(answer));
      });
  session->start();
}

void LeafEngine::State::write(WriteJob job, const WriteDone &done) {
  const auto runtime = find(job.Route);
  const auto leaves =
      runtime ? runtime->usableLeaves() : std::vector<core::LeafIndex>();
  if (leaves.empty()) {
    done(refuse(ErrorCode::BackendFailed, "no backend server takes writes"));
    return;
  }
  const auto now = SteadyClock::now();
  std::uniform_int_distribution<std::size_t> pick(0, leaves.size() - 1);
  const auto &leaf = runtime->settings()->Leaves[leaves[pick(Loop.rng())]];
  WriteMessage message{
      job.RequestId, job.Key, job.Body,
      std::chrono::duration_cast<milliseconds>(job.Deadline - now)};
  LeafCall call;
  call.Url = "http://" + leaf.Address + "/v1/write";
  call.Body = encode(message);
  call.Deadline = job.Deadline - AnswerMargin;
  call.FreshConnection = true;
  Loop.transport().send(
      std::move(call), now,
      [done](const LeafCallResult &result) { done(readWriteResult(result)); });
}

LeafEngine::LeafEngine(FanOutLoop &loop, support::Metrics &metrics)
    : Loop(loop), Shared(std::make_shared<State>(loop, metrics)) {}

void LeafEngine::apply(std::shared_ptr<const core::RouteTable> routes) {
  // Settings must not be lost to a ring that is full for a moment.
  while (!Loop.post([state = Shared, routes] { state->apply(*routes); }))
    std::this_thread::sleep_for(milliseconds(1));
}

core::Result<void> LeafEngine::search(SearchJob job, SearchDone done) {
  if (!Loop.post([state = Shared, job = std::move(job),
                  done = std::move(done)]() mutable {
        state->search(std::move(job), std::move(done));
      }))
    return refuse(ErrorCode::Overloaded, "this host's queue is full");
  return {};
}

core::Result<void> LeafEngine::write(WriteJob job, WriteDone done) {
  if (!Loop.post([state = Shared, job = std::move(job),
                  done = std::move(done)]() mutable {
        state->write(std::move(job), done);
      }))
    return refuse(ErrorCode::Overloaded, "this host's queue is full");
  return {};
}

} // namespace savorytrestle::backend
