#include "serve/SearchRunner.h"

namespace savorytrestle::serve {

using core::Error;
using core::ErrorCode;
using core::RunState;
using SteadyClock = std::chrono::steady_clock;

namespace {

core::AdmissionSettings admissionSettings(std::uint32_t capacity) {
  core::AdmissionSettings settings;
  settings.Capacity = capacity;
  return settings;
}

} // namespace

SearchRunner::SearchRunner(backend::LeafEngine &engine,
                           std::shared_ptr<backend::HostQuarantine> guard,
                           std::uint32_t capacity)
    : Engine(engine), Guard(std::move(guard)),
      Admission(admissionSettings(capacity)) {}

void SearchRunner::applyWeights(const core::RouteTable &routes) {
  const std::lock_guard guard(Lock);
  Admission.setWeights(routes.WorkspaceWeights);
}

core::Result<core::SearchAnswer>
SearchRunner::run(const caller::CallerRequest &request) {
  const auto fingerprint = core::makeFingerprint(
      request.Workspace, request.Route.Name, request.Body);
  const auto verdict = Guard->check(fingerprint);
  if (verdict.Permission == core::RunPermission::Refused)
    return tl::unexpected<Error>(Error{
        ErrorCode::Quarantined,
        "request is quarantined: it crashed the backend servers that ran it",
        RunState::NotRun, verdict.RetryAfter});
  const auto ticket = admit(request);
  if (!ticket)
    return tl::unexpected(ticket.error());
  auto pending = std::make_shared<PendingAnswer<core::SearchAnswer>>();
  backend::SearchJob job{request.RequestId, request.Route, request.Body,
                         request.Deadline, fingerprint};
  job.Canary = request.Route.Canary &&
               verdict.Permission != core::RunPermission::Unrestricted;
  const auto posted = Engine.search(
      std::move(job), [pending](auto answer) { pending->set(answer); });
  auto answer = posted ? pending->wait(request.Deadline, RunState::Unknown)
                       : tl::unexpected(posted.error());
  finish(*ticket);
  return answer;
}

core::Result<core::AdmissionTicket>
SearchRunner::admit(const caller::CallerRequest &request) {
  std::future<core::Result<void>> decision;
  core::AdmissionTicket ticket = 0;
  {
    const std::lock_guard guard(Lock);
    const auto now = SteadyClock::now();
    completeQueued(Admission.onTimer(now));
    const auto admission =
        Admission.request(request.Workspace, request.Deadline, now);
    if (!admission)
      return tl::unexpected(admission.error());
    ticket = admission->Ticket;
    if (!admission->Queued)
      return ticket;
    decision = Queued[ticket].get_future();
  }
  if (decision.wait_for(core::AdmissionSettings{}.MaxQueueWait) !=
      std::future_status::ready) {
    // No other request has run the admission timer since; the queueing time is
    // over, so this call decides.
    const std::lock_guard guard(Lock);
    completeQueued(Admission.onTimer(SteadyClock::now()));
  }
  if (auto decided = decision.get(); !decided)
    return tl::unexpected(decided.error());
  return ticket;
}

void SearchRunner::finish(core::AdmissionTicket ticket) {
  const std::lock_guard guard(Lock);
  completeQueued(Admission.finish(ticket, SteadyClock::now()));
}

void SearchRunner::completeQueued(
    const std::vector<core::AdmissionDecision> &decisions) {
  for (const auto &decision : decisions) {
    const auto it = Queued.find(decision.Ticket);
    if (it == Queued.end())
      continue;
    if (decision.Refusal)
      it->second.set_value(tl::unexpected(*decision.Refusal));
    else
      it->second.set_value({});
    Queued.erase(it);
  }
}

} // namespace savorytrestle::serve
