#include "backend/LeafEngine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "backend/SearchSession.h"
#include "savorytrestle/core/BaselineSearch.h"
#include "support/BoundedJson.h"

namespace savorytrestle::backend {

using core::Error;
using core::ErrorCode;
using core::RunState;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds DefaultRetryAfter{1000};
// Time reserved before the caller's deadline to merge and return the answer.
constexpr milliseconds AnswerMargin{5};
constexpr int StatusOk = 200;

tl::unexpected<Error> notRunError(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(message), RunState::NotRun, DefaultRetryAfter});
}

std::string_view failureName(core::AttemptFailure failure) {
  switch (failure) {
  case core::AttemptFailure::ConnectionRefused:
    return "refused";
  case core::AttemptFailure::Shed:
    return "shed";
  case core::AttemptFailure::Draining:
    return "draining";
  case core::AttemptFailure::WrongVersion:
    return "wrong_version";
  case core::AttemptFailure::ConnectionLost:
    return "broken";
  case core::AttemptFailure::Malformed:
    return "malformed";
  case core::AttemptFailure::Expired:
    return "expired";
  }
  return "unknown";
}

/// Converts a leaf's reply to a write. The run state of an error is what the
/// reply proves.
core::Result<std::string> toWriteResult(const LeafCallResult &result) {
  if (result.ExpiredBeforeStart)
    return notRunError(
        ErrorCode::Overloaded,
        "no connection to the backend server was free before the deadline");
  if (result.Failure == CallFailure::NotSent)
    return notRunError(
        ErrorCode::BackendFailed,
        "no connection to the backend server; the write was not sent");
  if (result.Failure)
    return tl::unexpected<Error>(
        Error{ErrorCode::OutcomeUnknown,
              "no complete reply from the backend server: connection lost or "
              "deadline expired",
              RunState::Unknown, DefaultRetryAfter});
  if (result.Status == StatusOk) {
    const auto parsed = support::parseJsonOrDiscarded(result.Body);
    if (parsed.is_object() && parsed.contains("result"))
      return parsed["result"].dump();
    return std::string("null");
  }
  if (statesNotRun(result.Status, result.Body))
    return notRunError(
        ErrorCode::Overloaded,
        "the backend server refused the write: overloaded or draining");
  return tl::unexpected<Error>(
      Error{ErrorCode::OutcomeUnknown,
            "the backend server answered with HTTP status " +
                std::to_string(result.Status),
            RunState::Unknown, DefaultRetryAfter});
}

core::AttemptResult toAttemptResult(const LeafCallResult &result) {
  core::AttemptResult attempt;
  attempt.Latency = result.Latency;
  if (result.Failure)
    attempt.Failure = toAttemptFailure(*result.Failure);
  else if (result.Status != StatusOk)
    attempt.Failure = decodeRefusal(result.Status, result.Body);
  return attempt;
}

} // namespace

struct LeafEngine::State : std::enable_shared_from_this<LeafEngine::State> {
  using ServiceKey = std::pair<std::string, std::string>;

  State(FanOutLoop &loop, support::Metrics &metrics,
        std::shared_ptr<HostQuarantine> quarantine, LeafEngineOptions options)
      : Loop(loop), AttemptMetrics(metrics), Quarantine(std::move(quarantine)),
        Options(std::move(options)) {}

  void apply(const core::RouteTable &routes);
  void setHostSlot(const core::HostSlot &slot);
  void search(const SearchJob &job, SearchDone done);
  template <core::SearchPolicy P>
  void startSession(P policy, const SearchJob &job,
                    const std::shared_ptr<ServiceRuntime> &runtime,
                    SearchDone done);
  void write(const WriteJob &job, const WriteDone &done);
  std::shared_ptr<ServiceRuntime> findRuntime(const core::RouteSettings &route);
  std::shared_ptr<ServiceRuntime>
  makeRuntime(const std::shared_ptr<const core::ServiceSettings> &settings,
              const ServiceRuntime *earlier);

  FanOutLoop &Loop;
  support::Metrics &AttemptMetrics;
  const std::shared_ptr<HostQuarantine> Quarantine;
  const LeafEngineOptions Options;
  std::optional<core::HostSlot> Slot;
  std::map<ServiceKey, std::shared_ptr<ServiceRuntime>> Services;
};

std::shared_ptr<ServiceRuntime> LeafEngine::State::makeRuntime(
    const std::shared_ptr<const core::ServiceSettings> &settings,
    const ServiceRuntime *earlier) {
  auto sharedState =
      earlier ? earlier->sharedState()
              : std::make_shared<SharedServiceState>(Options.FailureDomain,
                                                     *settings, Loop.rng()());
  auto runtime =
      std::make_shared<ServiceRuntime>(settings, sharedState, Quarantine, Loop);
  if (earlier)
    runtime->copyStateFrom(*earlier);
  else if (Slot)
    sharedState->Pool.setHostSlot(*Slot, SteadyClock::now());
  runtime->startPolling();
  return runtime;
}

void LeafEngine::State::apply(const core::RouteTable &routes) {
  decltype(Services) next;
  for (const auto &[name, route] : routes.Routes) {
    const ServiceKey key(route.Service->Workspace, route.Service->Name);
    if (next.count(key) > 0)
      continue;
    const auto it = Services.find(key);
    next[key] = makeRuntime(route.Service,
                            it == Services.end() ? nullptr : it->second.get());
  }
  for (const auto &[key, runtime] : Services)
    runtime->stop();
  Services = std::move(next);
}

void LeafEngine::State::setHostSlot(const core::HostSlot &slot) {
  const auto now = SteadyClock::now();
  const bool hadSlot = Slot && now < Slot->ValidUntil;
  Slot = slot;
  for (const auto &[key, runtime] : Services) {
    runtime->sharedState()->Pool.setHostSlot(slot, now);
    // Without a host slot no status could be requested; searches need the
    // statuses.
    if (!hadSlot && now < slot.ValidUntil)
      runtime->requestAllStatuses();
  }
}

std::shared_ptr<ServiceRuntime>
LeafEngine::State::findRuntime(const core::RouteSettings &route) {
  const auto it =
      Services.find({route.Service->Workspace, route.Service->Name});
  return it == Services.end() ? nullptr : it->second;
}

void LeafEngine::State::search(const SearchJob &job, SearchDone done) {
  if (SteadyClock::now() >= job.Deadline) {
    done(notRunError(ErrorCode::Overloaded,
                     "the search waited in this host's queue until its "
                     "deadline"));
    return;
  }
  const auto runtime = findRuntime(job.Route);
  if (!runtime || !runtime->snapshot()) {
    done(notRunError(ErrorCode::BackendFailed,
                     "no index version of this service is known yet"));
    return;
  }
  const auto searchDeadline = job.Deadline - AnswerMargin;
  if (Options.UseBaseline) {
    startSession(core::BaselineSearch(*runtime->snapshot(), searchDeadline),
                 job, runtime, std::move(done));
    return;
  }
  core::SearchParameters parameters;
  parameters.Deadline = searchDeadline;
  parameters.Policy = job.Route.Policy;
  parameters.LatencyTarget = job.Route.LatencyTarget;
  parameters.CoverageFloor = job.Route.CoverageFloor;
  parameters.Canary = job.Canary;
  startSession(
      core::TailAwareSearch<QuarantineLeafSelector>(
          runtime->makeSearchState(job.RequestFingerprint), parameters),
      job, runtime, std::move(done));
}

template <core::SearchPolicy P>
void LeafEngine::State::startSession(
    P policy, const SearchJob &job,
    const std::shared_ptr<ServiceRuntime> &runtime, SearchDone done) {
  SearchContext context{job.RequestId, job.Query, runtime->settings(),
                        [runtime](core::LeafIndex leaf) {
                          return runtime->connectionLimit(leaf);
                        }};
  // The callbacks own the runtime because the policy refers to its members.
  auto session = std::make_shared<SearchSession<P>>(
      std::move(policy), std::move(context), Loop,
      [self = shared_from_this(), runtime](const AttemptEvent &event) {
        if (event.Failure == core::AttemptFailure::WrongVersion)
          runtime->refreshStatuses();
        self->AttemptMetrics.countAttempt(
            event.Failure ? std::string(failureName(*event.Failure)) : "ok");
      },
      [done = std::move(done), runtime](core::SearchAnswer answer) {
        answer.MissingGroups =
            runtime->groupsHolding(answer.Version, answer.MissingShards);
        done(std::move(answer));
      });
  session->start();
}

void LeafEngine::State::write(const WriteJob &job, const WriteDone &done) {
  const auto runtime = findRuntime(job.Route);
  const auto now = SteadyClock::now();
  auto pinned = runtime ? std::optional(runtime->sharedState()->Pool.pin())
                        : std::optional<core::PinnedLeaves>();
  const auto leaf = pinned
                        ? pinned->acquire(runtime->allLeaves(), now, Loop.rng())
                        : std::nullopt;
  if (!leaf) {
    done(notRunError(ErrorCode::Overloaded,
                     "no backend server can accept a write now"));
    return;
  }
  WriteMessage message{
      job.RequestId, job.Key, job.Body,
      std::chrono::duration_cast<milliseconds>(job.Deadline - now)};
  LeafCall call;
  call.Url =
      "http://" + runtime->settings()->Leaves[*leaf].Address + "/v1/write";
  call.Body = encode(message);
  call.Deadline = job.Deadline - AnswerMargin;
  call.FreshConnection = true;
  call.MaxConnections = pinned->connectionLimit(*leaf, now);
  Loop.transport().send(
      std::move(call), now,
      [done, leaf, pinned = *pinned](const LeafCallResult &result) mutable {
        pinned.release(*leaf, toAttemptResult(result), SteadyClock::now());
        done(toWriteResult(result));
      });
}

LeafEngine::LeafEngine(FanOutLoop &loop, support::Metrics &metrics,
                       std::shared_ptr<HostQuarantine> quarantine,
                       LeafEngineOptions options)
    : Loop(loop),
      SharedState(std::make_shared<State>(loop, metrics, std::move(quarantine),
                                          std::move(options))) {}

// Settings and host slots must not be lost while the queue is briefly full.
void LeafEngine::postUntilAccepted(const FanOutLoop::Task &task) {
  while (!Loop.post(task))
    std::this_thread::sleep_for(milliseconds(1));
}

void LeafEngine::apply(const std::shared_ptr<const core::RouteTable> &routes) {
  postUntilAccepted([state = SharedState, routes] { state->apply(*routes); });
}

void LeafEngine::setHostSlot(const core::HostSlot &slot) {
  postUntilAccepted([state = SharedState, slot] { state->setHostSlot(slot); });
}

core::Result<void> LeafEngine::search(SearchJob job, SearchDone done) {
  if (!Loop.post([state = SharedState, job = std::move(job),
                  done = std::move(done)]() mutable {
        state->search(job, std::move(done));
      }))
    return notRunError(ErrorCode::Overloaded,
                       "this host's queue of searches and writes is full");
  return {};
}

core::Result<void> LeafEngine::write(WriteJob job, WriteDone done) {
  if (!Loop.post(
          [state = SharedState, job = std::move(job),
           done = std::move(done)]() mutable { state->write(job, done); }))
    return notRunError(ErrorCode::Overloaded,
                       "this host's queue of searches and writes is full");
  return {};
}

} // namespace savorytrestle::backend
