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

/// What a leaf's reply to a write proves about its execution.
core::Result<std::string> readWriteResult(const LeafCallResult &result) {
  if (result.NeverStarted)
    return refuse(ErrorCode::Overloaded, "no connection was free in time");
  if (result.Failure == CallFailure::NotSent)
    return refuse(ErrorCode::BackendFailed, "the backend server is not there");
  if (result.Failure)
    return tl::unexpected<Error>(Error{ErrorCode::OutcomeUnknown,
                                       "no reply from the backend server",
                                       RunState::Unknown, RetrySoon});
  if (result.Status == StatusOk) {
    const auto parsed = support::parseJsonOrDiscarded(result.Body);
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
        std::shared_ptr<CrashGuard> guard, LeafEngineOptions options)
      : Loop(loop), Counts(metrics), Guard(std::move(guard)),
        Options(std::move(options)) {}

  void apply(const core::RouteTable &routes);
  void setShare(const core::HostSlot &share);
  void search(const SearchJob &job, SearchDone done);
  template <core::SearchPolicy P>
  void run(P policy, const SearchJob &job,
           const std::shared_ptr<ServiceRuntime> &runtime, SearchDone done);
  void write(const WriteJob &job, const WriteDone &done);
  std::shared_ptr<ServiceRuntime> find(const core::RouteSettings &route);
  std::shared_ptr<ServiceRuntime>
  make(const std::shared_ptr<const core::ServiceSettings> &settings,
       const ServiceRuntime *earlier);

  FanOutLoop &Loop;
  support::Metrics &Counts;
  const std::shared_ptr<CrashGuard> Guard;
  const LeafEngineOptions Options;
  std::optional<core::HostSlot> Share;
  std::map<ServiceKey, std::shared_ptr<ServiceRuntime>> Services;
};

std::shared_ptr<ServiceRuntime> LeafEngine::State::make(
    const std::shared_ptr<const core::ServiceSettings> &settings,
    const ServiceRuntime *earlier) {
  auto memory = earlier ? earlier->memory()
                        : std::make_shared<ServiceMemory>(
                              Options.FailureDomain, *settings, Loop.rng()());
  auto runtime =
      std::make_shared<ServiceRuntime>(settings, memory, Guard, Loop);
  if (earlier)
    runtime->adopt(*earlier);
  else if (Share)
    memory->Pool.setHostSlot(*Share, SteadyClock::now());
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
    next[key] =
        make(route.Service, it == Services.end() ? nullptr : it->second.get());
  }
  for (const auto &[key, runtime] : Services)
    runtime->stop();
  Services = std::move(next);
}

void LeafEngine::State::setShare(const core::HostSlot &share) {
  const auto now = SteadyClock::now();
  const bool wasHeld = Share && now < Share->ValidUntil;
  Share = share;
  for (const auto &[key, runtime] : Services) {
    runtime->memory()->Pool.setHostSlot(share, now);
    // Without a share no leaf could be asked; searches wait for the answers.
    if (!wasHeld && now < share.ValidUntil)
      runtime->askAll();
  }
}

std::shared_ptr<ServiceRuntime>
LeafEngine::State::find(const core::RouteSettings &route) {
  const auto it =
      Services.find({route.Service->Workspace, route.Service->Name});
  return it == Services.end() ? nullptr : it->second;
}

void LeafEngine::State::search(const SearchJob &job, SearchDone done) {
  const auto runtime = find(job.Route);
  if (!runtime || !runtime->snapshot()) {
    done(refuse(ErrorCode::BackendFailed, "no index version is known yet"));
    return;
  }
  const auto due = job.Deadline - AnswerMargin;
  if (Options.Baseline) {
    run(core::BaselineSearch(*runtime->snapshot(), due), job, runtime,
        std::move(done));
    return;
  }
  core::SearchParameters parameters;
  parameters.Deadline = due;
  parameters.Policy = job.Route.Policy;
  parameters.LatencyTarget = job.Route.LatencyTarget;
  parameters.CoverageFloor = job.Route.CoverageFloor;
  parameters.Canary = job.Canary;
  run(core::TailAwareSearch<GuardedLeaves>(runtime->state(job.Print),
                                           parameters),
      job, runtime, std::move(done));
}

template <core::SearchPolicy P>
void LeafEngine::State::run(P policy, const SearchJob &job,
                            const std::shared_ptr<ServiceRuntime> &runtime,
                            SearchDone done) {
  SearchContext context{
      job.RequestId, job.Query, runtime->settings(),
      [runtime](core::LeafIndex leaf) { return runtime->connections(leaf); }};
  // The runtime is captured because the policy refers into it.
  auto session = std::make_shared<SearchSession<P>>(
      std::move(policy), std::move(context), Loop,
      [self = shared_from_this(), runtime](const AttemptEvent &event) {
        if (event.Failure == core::AttemptFailure::WrongVersion)
          runtime->refresh();
        self->Counts.countAttempt(
            event.Failure ? std::string(failureName(*event.Failure)) : "ok");
      },
      [done = std::move(done), runtime](core::SearchAnswer answer) {
        answer.MissingGroups =
            runtime->groupsOf(answer.Version, answer.MissingShards);
        done(std::move(answer));
      });
  session->start();
}

void LeafEngine::State::write(const WriteJob &job, const WriteDone &done) {
  const auto runtime = find(job.Route);
  const auto now = SteadyClock::now();
  auto pinned = runtime ? std::optional(runtime->memory()->Pool.pin())
                        : std::optional<core::PinnedLeaves>();
  const auto leaf = pinned
                        ? pinned->acquire(runtime->allLeaves(), now, Loop.rng())
                        : std::nullopt;
  if (!leaf) {
    done(refuse(ErrorCode::Overloaded, "no backend server takes a write now"));
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
  call.MostConnections = pinned->connectionLimit(*leaf, now);
  Loop.transport().send(
      std::move(call), now,
      [done, leaf, pinned = *pinned](const LeafCallResult &result) mutable {
        pinned.release(*leaf, toAttemptResult(result), SteadyClock::now());
        done(readWriteResult(result));
      });
}

LeafEngine::LeafEngine(FanOutLoop &loop, support::Metrics &metrics,
                       std::shared_ptr<CrashGuard> guard,
                       LeafEngineOptions options)
    : Loop(loop), Shared(std::make_shared<State>(
                      loop, metrics, std::move(guard), std::move(options))) {}

// Settings and shares must not be lost to a ring that is full for a moment.
void LeafEngine::postSurely(const FanOutLoop::Task &task) {
  while (!Loop.post(task))
    std::this_thread::sleep_for(milliseconds(1));
}

void LeafEngine::apply(const std::shared_ptr<const core::RouteTable> &routes) {
  postSurely([state = Shared, routes] { state->apply(*routes); });
}

void LeafEngine::setShare(const core::HostSlot &share) {
  postSurely([state = Shared, share] { state->setShare(share); });
}

core::Result<void> LeafEngine::search(SearchJob job, SearchDone done) {
  if (!Loop.post([state = Shared, job = std::move(job),
                  done = std::move(done)]() mutable {
        state->search(job, std::move(done));
      }))
    return refuse(ErrorCode::Overloaded, "this host's queue is full");
  return {};
}

core::Result<void> LeafEngine::write(WriteJob job, WriteDone done) {
  if (!Loop.post(
          [state = Shared, job = std::move(job),
           done = std::move(done)]() mutable { state->write(job, done); }))
    return refuse(ErrorCode::Overloaded, "this host's queue is full");
  return {};
}

} // namespace savorytrestle::backend
