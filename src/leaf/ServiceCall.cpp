#include "leaf/ServiceCall.h"

#include <algorithm>
#include <cmath>

#include "leaf/LeafChoice.h"
#include "leaf/LeafRoom.h"
#include "savorytrestle/core/Decimal.h"
#include "support/BeastStringView.h"

namespace savorytrestle::leaf {

using core::TimePoint;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;
namespace http = boost::beast::http;

namespace {

/// Limit of one call's attempts, but for those whose connection is refused.
constexpr int MaxAttempts = 5;
/// Limit with these. A refusal takes no time, and the leaf that refused is left
/// out by all calls of this host for a while.
constexpr int MaxConnections = 64;
/// HTTP status of a leaf that isn't the one that the request names.
constexpr unsigned Misdirected = 421;
/// HTTP status of a leaf that turned the request away.
constexpr unsigned Unavailable = 503;

} // namespace

ServiceCall::ServiceCall(std::shared_ptr<const CallContext> context,
                         Service &service, EndHandler onEnd,
                         int earlierArrivals)
    : Context(std::move(context)), TargetService(service),
      OnEnd(std::move(onEnd)), PossibleExecutions(earlierArrivals) {}

core::ExpectedLatency &ServiceCall::latencyEstimate() {
  const core::RouteRule &route = Context->Route;
  const auto it = TargetService.Latencies.find(route.Name);
  if (it != TargetService.Latencies.end())
    return it->second;
  return TargetService.Latencies
      .emplace(route.Name, core::ExpectedLatency(initialLatency(route)))
      .first->second;
}

bool ServiceCall::start() {
  TargetService.RetryBudget.onRequest();
  Plan = core::planHedge(Context->Route, latencyEstimate().get());
  if (startAttempt(Cause::First, SteadyClock::now()))
    return true;
  End = mayHaveRun() ? CallEnd::OutcomeUnknown : CallEnd::Unreachable;
  Reason = "no leaf takes requests";
  return false;
}

bool ServiceCall::startAttempt(Cause cause, TimePoint now) {
  if (AttemptCount - RefusedCount >= MaxAttempts ||
      AttemptCount >= MaxConnections || now >= Context->Deadline)
    return false;
  const bool extra = cause == Cause::Hedge || cause == Cause::Resend;
  if (extra && (!TargetService.RetryBudget.canSpend(now) || !admitsExtra(now)))
    return false;
  const auto expected = latencyEstimate().get();
  const double draw =
      cause == Cause::First ? Context->Draw : Context->Leaves.draw();
  auto to = chooseLeaf(TargetService, expected, Tried, draw,
                       Context->Leaves.random(), Context->Homes);
  if (!to || (extra && !TargetService.RetryBudget.trySpend(now)))
    return false;
  auto connection = to->acquireConnection();
  if (!connection)
    return false;
  to->onSend(now);
  Tried.push_back(to);
  ++AttemptCount;
  ++PossibleExecutions;
  const std::size_t index = Attempts.size();
  Attempts.push_back({to, connection, to->score().onSend(now, expected), now,
                      static_cast<std::uint32_t>(Breaks.size()),
                      to->silence().onSend(), !connection->ready(), false});
  connection->send(to->address(), requestFor(*to, now),
                   [self = shared_from_this(), index](LeafReply reply) {
                     self->onReply(index, std::move(reply));
                   });
  return true;
}

bool ServiceCall::admitsExtra(TimePoint now) const {
  return !Context->Leaves.admitsByLoad() ||
         !roomAt(TargetService, now, Context->Homes).Full;
}

LeafRequest ServiceCall::requestFor(const Leaf &to, TimePoint now) const {
  LeafRequest request = Context->Request;
  const auto left =
      std::chrono::duration_cast<milliseconds>(Context->Deadline - now);
  request.set(Context->Names.Deadline,
              std::to_string(std::max<std::int64_t>(1, left.count())));
  request.set(Context->Names.ExpectedLeaf, to.entry().Id);
  return request;
}

void ServiceCall::onReply(std::size_t index, LeafReply reply) {
  Attempt &attempt = Attempts[index];
  if (attempt.Ended)
    return;
  attempt.Ended = true;
  attempt.Target->score().onEnd(attempt.ScoreHandle);
  const auto now = SteadyClock::now();
  if (reply.Result == Delivery::Answered) {
    attempt.Target->onAnswered(now);
    if (!Context->ToHost) {
      Context->Leaves.link().onAnswer(now);
      if (attempt.Connects)
        Context->Leaves.link().onConnected();
    }
    if (attempt.IsTest)
      attempt.Target->silence().onTestAnswered();
    return onAnswer(attempt, std::move(reply), now);
  }
  if (attempt.IsTest)
    attempt.Target->silence().onTestLost();
  Reason = reply.Reason;
  LeafId = attempt.Target->entry().Id;
  if (reply.Result == Delivery::NotSent) {
    ++RefusedCount;
    --PossibleExecutions;
    // A connection that was cancelled since the leaf accepts no requests says
    // nothing about its network.
    if (attempt.Target->acceptsRequests() &&
        attempt.Target->silence().allowsRequest(now))
      onUnreachable(attempt, now);
    return retryOrFinish(PossibleExecutions > 0 ? CallEnd::OutcomeUnknown
                                                : CallEnd::Unreachable,
                         Cause::Replace, now);
  }
  if (!Context->ToHost)
    Breaks.push_back({Context->Leaves.suspectEnding(*attempt.Target),
                      attempt.EarlierBreaks});
  attempt.Target->score().onFailure(now);
  retryOrFinish(CallEnd::OutcomeUnknown, resendCause(), now);
}

std::optional<ServiceCall::Cause> ServiceCall::resendCause() const {
  if (!Context->Route.Idempotent)
    return std::nullopt;
  return Cause::Resend;
}

void ServiceCall::onAnswer(Attempt &attempt, LeafReply reply, TimePoint now) {
  const LeafAnswer &answer = reply.Answer;
  Leaf &from = *attempt.Target;
  LeafId = from.entry().Id;
  applyLeafNotices(attempt, answer);
  if (!isValidAnswer(answer)) {
    attempt.Connection->close();
    from.score().onFailure(now);
    Reason = "answer of another request, unsigned or encoded";
    return retryOrFinish(CallEnd::OutcomeUnknown, resendCause(), now);
  }
  const auto load = recordLoad(from, answer, now);
  from.releaseConnection(attempt.Connection);
  if (answer.find(Context->Names.NotExecuted) != answer.end() ||
      answer.result_int() == Misdirected) {
    --PossibleExecutions;
    Reason = "leaf did not execute the request: status " +
             std::to_string(answer.result_int());
    if (answer.result_int() == Misdirected)
      Context->Leaves.onReplaced(from);
    else if (load)
      from.score().onQueueFull(*load);
    from.score().onFailure(now);
    return retryOrFinish(PossibleExecutions > 0 ? CallEnd::OutcomeUnknown
                                                : CallEnd::Rejected,
                         Cause::Resend, now);
  }
  if (isSuccess(answer)) {
    const auto latency = now - attempt.StartedAt;
    from.score().onAnswer(now, latency, latencyEstimate().get());
    latencyEstimate().record(latency);
    if (load)
      TargetService.Work.record(Context->Route.Name, latency, load->Waiting,
                                load->Slots);
    Answer = std::move(reply.Answer);
    return finish(CallEnd::Answered);
  }
  from.score().onFailure(now);
  if (Context->ToHost && answer.find(RelayRefusedHeader) != answer.end())
    from.score().onUnreachable(now);
  Reason = "leaf answered with status " + std::to_string(answer.result_int());
  Answer = std::move(reply.Answer);
  retryOrFinish(CallEnd::Answered, resendCause(), now);
}

void ServiceCall::applyLeafNotices(const Attempt &attempt,
                                   const LeafAnswer &answer) {
  if (Context->ToHost)
    return;
  Leaf &from = *attempt.Target;
  // Another leaf may have taken over the address.
  const auto id = answer.find(Context->Names.LeafId);
  if (answer.result_int() == Misdirected ||
      (id != answer.end() &&
       support::toStringView(id->value()) != from.entry().Id))
    return;
  if (support::toStringView(answer[Context->Names.LeafLeaving]) == "1") {
    Leaving.push_back(from.run());
    Context->Leaves.markLeaving(from);
  }
  const auto rate = answer.find(Context->Names.LeafRateLimit);
  if (rate == answer.end()) {
    if (isValidAnswer(answer))
      Context->Leaves.applyRateLimit(from, std::nullopt);
  } else if (const auto perSecond =
                 core::parseDecimal(support::toStringView(rate->value()));
             perSecond && std::isfinite(*perSecond)) {
    Context->Leaves.applyRateLimit(from, perSecond);
  }
  if (answer.result_int() != Unavailable)
    return;
  const auto header = answer.find(http::field::retry_after);
  if (header == answer.end())
    return;
  if (const auto wait =
          core::parseRetryAfter(support::toStringView(header->value()));
      wait && *wait > core::Duration::zero())
    Context->Leaves.pauseLeaf(from, *wait);
}

bool ServiceCall::isValidAnswer(const LeafAnswer &answer) const {
  const auto id = answer.find(Context->Names.RequestId);
  if (id != answer.end() &&
      support::toStringView(id->value()) != Context->RequestId)
    return false;
  return !isSuccess(answer) ||
         (answer.find(Context->SignatureHeader) != answer.end() &&
          answer.find(boost::beast::http::field::content_encoding) ==
              answer.end());
}

std::optional<core::ReportedLoad>
ServiceCall::recordLoad(Leaf &from, const LeafAnswer &answer, TimePoint now) {
  // The answer to a forward carries the load of the leaf, not of the host.
  if (Context->ToHost)
    return std::nullopt;
  const auto header = answer.find(Context->Names.LeafLoad);
  if (header == answer.end())
    return std::nullopt;
  const auto load =
      core::parseReportedLoad(support::toStringView(header->value()));
  if (!load)
    return std::nullopt;
  TargetService.OthersLoad.record(*load, from.score().outstanding());
  from.score().onLoadReport(now, *load);
  return load;
}

void ServiceCall::retryOrFinish(CallEnd fallback, std::optional<Cause> cause,
                                TimePoint now) {
  if (cause && PossibleExecutions < Context->Route.MaxLeaves && !anyPending() &&
      startAttempt(*cause, now))
    return;
  if (!anyPending())
    finish(fallback);
}

void ServiceCall::runDueActions(TimePoint now) {
  if (End)
    return;
  // By index, since a retry may add attempts and invalidate iterators.
  for (std::size_t i = 0; i < Attempts.size(); ++i) {
    Attempt &attempt = Attempts[i];
    if (!attempt.Ended && attempt.Connection->connecting() &&
        now - attempt.StartedAt >= Plan.ConnectTimeout) {
      abandon(attempt);
      onUnreachable(attempt, now);
      Reason = "connection not established in time";
      retryOrFinish(PossibleExecutions > 0 ? CallEnd::OutcomeUnknown
                                           : CallEnd::Unreachable,
                    Cause::Replace, now);
      if (End)
        return;
    }
  }
  if (!SilenceRecorded && anyPending() &&
      now - Attempts.front().StartedAt >= Plan.HedgeDelay)
    recordSilence(now);
  if (Context->Route.Idempotent && !Hedged && anyPending() &&
      PossibleExecutions < Context->Route.MaxLeaves &&
      now - Attempts.front().StartedAt >= Plan.HedgeDelay) {
    Hedged = true;
    startAttempt(Cause::Hedge, now);
  }
}

void ServiceCall::onUnreachable(const Attempt &attempt, TimePoint now) {
  attempt.Target->score().onUnreachable(now);
  if (Context->ToHost)
    return;
  Context->Leaves.checkEnding(*attempt.Target);
  Context->Leaves.link().onConnectFailed(attempt.Target->entry().Id, now);
}

void ServiceCall::recordSilence(TimePoint now) {
  SilenceRecorded = true;
  if (Context->ToHost)
    return;
  for (const Attempt &attempt : Attempts)
    if (!attempt.Ended && !attempt.Connection->connecting())
      Context->Leaves.link().onSilence(attempt.Target->entry().Id,
                                       attempt.StartedAt, now);
}

TimePoint ServiceCall::nextDueTime() const {
  TimePoint next = TimePoint::max();
  if (End || Attempts.empty())
    return next;
  for (const Attempt &attempt : Attempts)
    if (!attempt.Ended && attempt.Connection->connecting())
      next = std::min(next, attempt.StartedAt + Plan.ConnectTimeout);
  if (!SilenceRecorded || (Context->Route.Idempotent && !Hedged &&
                           PossibleExecutions < Context->Route.MaxLeaves))
    next = std::min(next, Attempts.front().StartedAt + Plan.HedgeDelay);
  return next;
}

int ServiceCall::possibleArrivals() const {
  const auto connecting = std::count_if(
      Attempts.begin(), Attempts.end(), [](const Attempt &attempt) {
        return !attempt.Ended && attempt.Connection->connecting();
      });
  return PossibleExecutions - static_cast<int>(connecting);
}

bool ServiceCall::anyPending() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const Attempt &attempt) { return !attempt.Ended; });
}

void ServiceCall::abandon(Attempt &attempt) {
  attempt.Ended = true;
  // Nothing has been sent on it.
  if (attempt.Connection->connecting())
    --PossibleExecutions;
  else if (!Context->ToHost)
    Abandoned.push_back(
        {attempt.Target, attempt.Target->watchEnding(), attempt.EarlierBreaks});
  attempt.Target->score().onEnd(attempt.ScoreHandle);
  if (attempt.IsTest)
    attempt.Target->silence().onTestLost();
  const auto now = SteadyClock::now();
  attempt.Target->score().onCancelled(now, now - attempt.StartedAt,
                                      latencyEstimate().get());
  if (Reason.empty() && attempt.Connection->interimResponses() > 0) {
    LeafId = attempt.Target->entry().Id;
    Reason = "interim responses (1xx) without a final one";
  }
  attempt.Connection->close();
}

void ServiceCall::finish(CallEnd end) {
  End = end;
  for (Attempt &attempt : Attempts)
    if (!attempt.Ended)
      abandon(attempt);
  if (const auto onEnd = std::move(OnEnd); onEnd)
    onEnd(*this);
}

void ServiceCall::cancel() {
  OnEnd = nullptr;
  if (End)
    return;
  End = CallEnd::OutcomeUnknown;
  for (Attempt &attempt : Attempts)
    if (!attempt.Ended)
      abandon(attempt);
}

} // namespace savorytrestle::leaf
