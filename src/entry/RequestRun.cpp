#include "entry/RequestRun.h"

#include <algorithm>

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "entry/Answers.h"
#include "leaf/LeafChoice.h"
#include "leaf/LeavingLeaves.h"
#include "savorytrestle/core/TopRecords.h"
#include "support/BeastStringView.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using core::TimePoint;
using leaf::CallEnd;
using leaf::ServiceCall;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Signatures of the answers that another host has merged into its own.
std::vector<std::string> signaturesOf(const leaf::CallContext &context,
                                      const ServiceCall &call) {
  if (!call.succeeded())
    return {};
  const auto header = call.answer()[context.Names.PartSignatures];
  return absl::StrSplit(std::string(header.data(), header.size()), ", ",
                        absl::SkipEmpty());
}

/// Names the signatures of an answer's parts. The HTTP library throws for a
/// field of 64 KiB, which signatures of faulty leaves may exceed together.
void setSignatures(CallerAnswer &answer, const std::string &header,
                   const std::vector<std::string> &signatures) {
  constexpr std::size_t MaxFieldBytes = 32 << 10;
  const auto joined = absl::StrJoin(signatures, ", ");
  if (joined.size() <= MaxFieldBytes)
    return answer.set(header, joined);
  for (const std::string &it : signatures)
    answer.insert(header, it);
}

/// Most leaving leaves that an answer to another host names: its head is
/// bounded, and each leaf says so again.
constexpr std::size_t MaxLeavingNamed = 16;

/// Most hosts that one forward is sent to.
constexpr std::size_t MaxForwardTries = 3;

/// Hop-by-hop headers of a leaf's answer, which concern only its connection.
constexpr http::field HopByHop[] = {
    http::field::connection,        http::field::keep_alive,
    http::field::transfer_encoding, http::field::content_length,
    http::field::upgrade,           http::field::trailer};

} // namespace

RequestRun::RequestRun(boost::asio::io_context &io,
                       std::shared_ptr<const leaf::CallContext> context,
                       RequestRecorder &recorder, CrashTracker &crashTracker,
                       AnswerHandler respond)
    : Context(std::move(context)), Recorder(recorder), Tracker(crashTracker),
      OnAnswer(std::move(respond)), Timer(io) {}

void RequestRun::start(const std::vector<leaf::Service *> &services,
                       std::vector<Relay> relays) {
  Round = Tracker.nextRound(Context->Fingerprint);
  Relays = std::move(relays);
  Calls.reserve(services.size());
  for (std::size_t i = 0; i < Relays.size(); ++i)
    startRelay(i);
  for (leaf::Service *service : services)
    startCall(*service);
  Started = true;
  advance();
}

void RequestRun::startRelay(std::size_t i) {
  Relay &relay = Relays[i];
  if (relay.IsForward)
    Recorder.onForwarded(*Context, *relay.Hosts, relay.Services.size());
  relay.Call = std::make_shared<ServiceCall>(relay.Context, *relay.Hosts,
                                             relayEndHandler(i));
  relay.Call->start();
}

void RequestRun::startCall(leaf::Service &service, int earlierArrivals) {
  Calls.push_back(std::make_shared<ServiceCall>(
      Context, service, callEndHandler(), earlierArrivals));
  Calls.back()->start();
}

ServiceCall::EndHandler RequestRun::callEndHandler() {
  return [self = shared_from_this()](ServiceCall &) {
    if (self->Started)
      self->advance();
  };
}

ServiceCall::EndHandler RequestRun::relayEndHandler(std::size_t i) {
  return [self = shared_from_this(), i](const ServiceCall &call) {
    Relay &relay = self->Relays[i];
    relay.Signatures = signaturesOf(*self->Context, call);
    // An answer with more shards than were asked for would hide that others
    // are missing.
    if (relay.Signatures.size() > relay.Services.size())
      relay.Signatures.clear();
    if (call.end() == CallEnd::Answered)
      for (const core::LeafRun &run : leaf::parseLeavingLeaves(
               support::toStringView(call.answer()[leaf::LeavingLeavesHeader])))
        self->Context->Leaves.markDeparted(run);
    if (self->Started)
      self->advance();
  };
}

void RequestRun::reclaimRefusedRelays() {
  for (std::size_t i = 0; i < Relays.size(); ++i)
    while (reclaimRelay(i)) {
    }
}

bool RequestRun::reclaimRelay(std::size_t i) {
  Relay &relay = Relays[i];
  if (!relay.Call || !relay.Call->ended())
    return false;
  // Only a relay that the other host has not started is executed here; leaves
  // may be executing any other already, or have answered itself.
  unsigned status = 0;
  bool refused = false;
  if (relay.Call->end() == CallEnd::Answered) {
    const auto &answer = relay.Call->answer();
    status = answer.result_int();
    refused = (answer.result() == http::status::service_unavailable ||
               answer.result() == http::status::not_found) &&
              answer.find(leaf::RelayLeafAnswerHeader) == answer.end();
  }
  if (relay.Call->mayHaveRun() && !refused)
    return false;
  Recorder.onRelayRefused(*Context, *relay.Call, status);
  // The host that refused it is one of them.
  MayHaveRunBefore |= relay.Call->possibleArrivals() > (refused ? 1 : 0);
  relay.Call->cancel();
  if (sentToNextHost(i))
    return true;
  relay.Call = nullptr;
  const int arrivals =
      relay.IsForward ? Context->Route.MaxLeaves - relay.LeavesLeft : 0;
  for (leaf::Service *service : relay.Services)
    startCall(*service, arrivals);
  return false;
}

bool RequestRun::sentToNextHost(std::size_t i) {
  Relay &relay = Relays[i];
  if (!relay.IsForward || !MakeForward || relay.Tried.size() >= MaxForwardTries)
    return false;
  auto next =
      MakeForward(*Context, relay.Services, relay.LeavesLeft, relay.Tried);
  if (!next)
    return false;
  relay = std::move(*next);
  startRelay(i);
  return true;
}

int RequestRun::leavesLeft(const ServiceCall &call, TimePoint now) const {
  if (call.ended())
    return 0;
  const int arrivals = call.possibleArrivals();
  const int left = Context->Route.MaxLeaves - arrivals;
  // What a leaf executes is not repeated while answers still arrive.
  const bool allowed =
      arrivals == 0 ||
      (Context->Route.Idempotent && left > 0 &&
       !Context->Leaves.link().answersArrive(now) && call.trySpendRetry(now));
  return allowed ? left : 0;
}

void RequestRun::onLeavesLost() {
  if (Finished || !MakeForward || Calls.empty() ||
      Context->Leaves.reachablePeers(Context->Homes) == nullptr)
    return;
  const auto now = SteadyClock::now();
  std::vector<leaf::Service *> services;
  std::vector<ServiceCallPtr> kept;
  std::vector<ServiceCallPtr> moved;
  int least = Context->Route.MaxLeaves;
  for (const ServiceCallPtr &call : Calls) {
    const int left = leavesLeft(*call, now);
    (left > 0 ? moved : kept).push_back(call);
    if (left <= 0)
      continue;
    services.push_back(&call->service());
    least = std::min(least, left);
  }
  if (moved.empty())
    return;
  auto forward = MakeForward(*Context, services, least, {});
  if (!forward)
    return;
  for (const ServiceCallPtr &call : moved) {
    MayHaveRunBefore |= call->mayHaveRun();
    call->cancel();
    ReplacedCalls.push_back(call);
  }
  Calls = std::move(kept);
  Relays.push_back(std::move(*forward));
  startRelay(Relays.size() - 1);
  advance();
}

void RequestRun::advance() {
  if (Finished)
    return;
  const auto now = SteadyClock::now();
  reclaimRefusedRelays();
  if (Context->Route.sharded())
    advanceSharded(now);
  else
    advancePlain(now);
  if (!Finished && now >= Context->Deadline)
    finishIncomplete(now);
  if (!Finished)
    armTimer();
}

const ServiceCall &RequestRun::plainCall() const {
  // A relay that was reclaimed has no call; a later forward may have replaced
  // the calls that this host made in its place.
  const auto it = std::find_if(Relays.begin(), Relays.end(),
                               [](const Relay &relay) { return relay.Call; });
  return it == Relays.end() ? *Calls.front() : *it->Call;
}

void RequestRun::advancePlain(TimePoint now) {
  const ServiceCall &call = plainCall();
  if (!call.ended())
    return;
  switch (call.end()) {
  case CallEnd::Answered:
    return answerPlain();
  case CallEnd::Rejected:
  case CallEnd::Unreachable:
    if (anyLeafMayHaveRun())
      return finishIncomplete(now);
    return finish(errorAnswer(http::status::service_unavailable, call.reason(),
                              retryAfter()),
                  "refused");
  case CallEnd::OutcomeUnknown:
    return finishIncomplete(now);
  }
}

void RequestRun::advanceSharded(TimePoint now) {
  switch (core::decideCompletion(Context->Route, shardTally(),
                                 now - Context->Start)) {
  case core::CompletionDecision::Wait:
    return;
  case core::CompletionDecision::Answer:
    return answerSharded();
  case core::CompletionDecision::Fail:
    return finishIncomplete(now);
  }
}

core::ShardCounts RequestRun::shardTally() const {
  core::ShardCounts tally;
  tally.Total = Calls.size();
  for (const Relay &relay : Relays) {
    if (!relay.Call)
      continue;
    tally.Total += relay.Services.size();
    if (!relay.Call->ended())
      continue;
    const std::size_t received = relay.Signatures.size();
    tally.Answered += received;
    tally.Failed +=
        relay.Services.size() - std::min(received, relay.Services.size());
  }
  for (const auto &call : Calls) {
    if (!call->ended())
      continue;
    if (call->succeeded())
      ++tally.Answered;
    else
      ++tally.Failed;
  }
  return tally;
}

bool RequestRun::wronglyPromisesNotRun() const {
  const ServiceCall &call = plainCall();
  if (!promisesNotRun(call.answer().result()))
    return false;
  const bool refusedByHost =
      Calls.empty() &&
      call.answer().find(leaf::RelayLeafAnswerHeader) == call.answer().end();
  return !refusedByHost || call.possibleArrivals() > 1 || MayHaveRunBefore;
}

void RequestRun::answerPlain() {
  CallerAnswer answer = plainCall().answer();
  if (wronglyPromisesNotRun()) {
    // Leaves also fail with these statuses after they have run a request. The
    // leaf's signature would vouch for a status that it did not give.
    CallerAnswer failure =
        errorAnswer(http::status::bad_gateway, plainCall().reason());
    if (const auto it = answer.find(http::field::retry_after);
        it != answer.end())
      failure.set(http::field::retry_after, it->value());
    answer = std::move(failure);
  }
  for (const http::field field : HopByHop)
    answer.erase(field);
  answer.erase(leaf::LeavingLeavesHeader);
  answer.erase(leaf::RelayLeafAnswerHeader);
  if (Context->FromHost)
    answer.set(leaf::RelayLeafAnswerHeader, "1");
  const bool ok = leaf::isSuccess(answer);
  finish(std::move(answer), ok ? "ok" : "leaf_failed");
}

void RequestRun::answerSharded() {
  std::vector<std::string_view> parts;
  std::vector<std::string> signatures;
  std::size_t total = Calls.size();
  for (const Relay &relay : Relays) {
    if (!relay.Call)
      continue;
    total += relay.Services.size();
    const auto &received = relay.Signatures;
    if (received.empty())
      continue;
    parts.emplace_back(relay.Call->answer().body());
    signatures.insert(signatures.end(), received.begin(), received.end());
  }
  for (const auto &call : Calls) {
    if (!call->succeeded())
      continue;
    parts.emplace_back(call->answer().body());
    const auto it = call->answer().find(Context->Names.LeafSignature);
    signatures.emplace_back(it->value().data(), it->value().size());
  }
  CallerAnswer answer{http::status::ok, 11};
  answer.set(Context->Names.RequestId, Context->RequestId);
  setSignatures(answer, Context->Names.PartSignatures, signatures);
  const std::size_t missing = total - std::min(total, signatures.size());
  answer.set(Context->Names.MissingShards, std::to_string(missing));
  answer.set(http::field::content_type, "application/octet-stream");
  answer.body() = core::greatestRecords(parts, Context->Route.TopRecords);
  finish(std::move(answer), missing == 0 ? "ok" : "partial");
}

void RequestRun::finishIncomplete(TimePoint now) {
  // A partial answer that meets the route's least share is better than an
  // error.
  if (Context->Route.sharded() &&
      shardTally().Answered >= core::minShards(Context->Route))
    return answerSharded();
  if (!anyLeafMayHaveRun())
    return finish(errorAnswer(http::status::service_unavailable,
                              "no leaf accepted the request", retryAfter()),
                  "refused");
  if (now >= Context->Deadline)
    return finish(errorAnswer(http::status::gateway_timeout,
                              "no answer before the deadline"),
                  "timeout");
  finish(errorAnswer(http::status::bad_gateway, "too few leaves answered"),
         "failed");
}

std::chrono::milliseconds RequestRun::retryAfter() const {
  std::vector<const leaf::Service *> services;
  for (const auto &call : Calls)
    services.push_back(&call->service());
  for (const Relay &relay : Relays)
    if (relay.Call)
      services.insert(services.end(), relay.Services.begin(),
                      relay.Services.end());
  return leaf::retryAfter(Context->Route, services, Context->Deadline,
                          Context->Leaves.draw(), Context->Homes);
}

bool RequestRun::anyLeafMayHaveRun() const {
  return MayHaveRunBefore ||
         std::any_of(Calls.begin(), Calls.end(),
                     [](const auto &call) { return call->mayHaveRun(); }) ||
         std::any_of(Relays.begin(), Relays.end(), [](const Relay &it) {
           return it.Call && it.Call->mayHaveRun();
         });
}

void RequestRun::endCharge() {
  if (Charge && anyLeafMayHaveRun())
    Charge->onRun();
  Charge.reset();
}

void RequestRun::finish(CallerAnswer answer, const char *outcome) {
  Finished = true;
  Timer.cancel();
  endCharge();
  cancelCalls();
  recordOutcome(answer.result_int(), outcome);
  if (Context->FromHost)
    addLeavingLeaves(answer);
  const auto onAnswer = std::move(OnAnswer);
  onAnswer(std::move(answer));
}

void RequestRun::addLeavingLeaves(CallerAnswer &answer) const {
  std::vector<core::LeafRun> leaving;
  for (const auto &call : Calls)
    leaving.insert(leaving.end(), call->leavingLeaves().begin(),
                   call->leavingLeaves().end());
  leaving.resize(std::min(leaving.size(), MaxLeavingNamed));
  if (!leaving.empty())
    answer.set(leaf::LeavingLeavesHeader, leaf::formatLeavingLeaves(leaving));
}

void RequestRun::endNow() {
  if (!Finished)
    finishIncomplete(SteadyClock::now());
}

void RequestRun::cancel() {
  if (Finished)
    return;
  Finished = true;
  Timer.cancel();
  endCharge();
  cancelCalls();
  recordOutcome(0, "caller_left");
  OnAnswer = nullptr;
}

void RequestRun::recordOutcome(unsigned status, const char *outcome) {
  Recorder.onFinished(*Context, Calls, shardTally(), status, outcome);
  // Relays are left out: the other host reports the outcome of its own leaves.
  RunOutcome run{Context->Fingerprint, Context->RequestId};
  for (const auto &call : Calls)
    addOutcome(*call, run);
  for (const auto &call : ReplacedCalls)
    addOutcome(*call, run);
  Tracker.onRunEnd(std::move(run), SteadyClock::now());
  if (!Permit)
    return;
  // Their reports come later, unless nothing is missing from the answer.
  const core::ShardCounts shards = shardTally();
  const bool complete =
      status == static_cast<unsigned>(http::status::ok) &&
      (!Context->Route.sharded() || shards.Answered == shards.Total);
  if (!complete &&
      std::any_of(Relays.begin(), Relays.end(), [](const auto &it) {
        return it.Call && it.Call->mayHaveRun();
      }))
    Permit->onRelayed(allRelaysAnswered() ? SteadyClock::now()
                                          : Context->Deadline);
  Permit.reset();
}

bool RequestRun::allRelaysAnswered() const {
  return std::all_of(Relays.begin(), Relays.end(), [](const Relay &it) {
    return !it.Call || it.Call->end() == CallEnd::Answered;
  });
}

void RequestRun::addOutcome(const ServiceCall &call, RunOutcome &run) const {
  const auto service = core::hashService(call.serviceName());
  const bool onProbation =
      !call.abandonedRuns().empty() &&
      (Permit || Tracker.onProbation(Context->Fingerprint));
  for (const leaf::AbandonedRun &it : call.abandonedRuns()) {
    const auto until = Context->Deadline + CrashTracker::RestPeriod;
    run.Rest.push_back({it.Ending, service, Round + it.EarlierBreaks, until});
    // Others wait for the verdict.
    if (onProbation)
      Context->Leaves.checkEnding(*it.Target, until);
  }
  if (call.succeeded())
    run.Answered.insert(service);
  else
    for (const leaf::LeafBreak &it : call.breaks())
      run.Breaks.push_back({it.Leaf, service, Round + it.EarlierBreaks});
}

void RequestRun::runDueActions(TimePoint now) {
  // Copies, since a call that ends may start others and release itself.
  std::vector<ServiceCallPtr> calls = Calls;
  for (const Relay &relay : Relays)
    if (relay.Call)
      calls.push_back(relay.Call);
  for (const ServiceCallPtr &call : calls)
    call->runDueActions(now);
}

void RequestRun::cancelCalls() {
  for (const auto &call : Calls)
    call->cancel();
  for (const Relay &relay : Relays)
    if (relay.Call)
      relay.Call->cancel();
}

void RequestRun::armTimer() {
  TimePoint next = Context->Deadline;
  for (const auto &call : Calls)
    next = std::min(next, call->nextDueTime());
  for (const Relay &relay : Relays)
    if (relay.Call)
      next = std::min(next, relay.Call->nextDueTime());
  if (Context->Route.sharded())
    if (const auto at =
            Context->Start + core::partialAnswerDelay(Context->Route);
        at > SteadyClock::now())
      next = std::min(next, at);
  if (next == TimerExpiry)
    return;
  TimerExpiry = next;
  Timer.expires_at(next);
  Timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec || self->Finished)
          return;
        self->TimerExpiry = TimePoint::max();
        const auto now = SteadyClock::now();
        self->runDueActions(now);
        self->advance();
      });
}

} // namespace savorytrestle::entry
