#ifndef SAVORYTRESTLE_CORE_TAIL_AWARE_SEARCH_H
#define SAVORYTRESTLE_CORE_TAIL_AWARE_SEARCH_H

/// @file
/// @brief Search policy in production use: searches one pinned snapshot, with
/// hedges and retries within the service's extra load budget.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "savorytrestle/core/AttemptTable.h"
#include "savorytrestle/core/SearchParameters.h"
#include "savorytrestle/core/SearchProgress.h"
#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/ServiceState.h"

namespace savorytrestle::core {

/// @brief Searches one pinned snapshot, with hedges, retries and at most one
/// restart on a newer snapshot.
///
/// All acquired leaves are released once FinishSearch is returned, also by
/// @ref abandon.
template <LeafSelector Selector> class TailAwareSearch {
public:
  /// @brief Prepares a search.
  /// @param service state shared with the other searches of the service
  /// @param parameters settings of this search
  TailAwareSearch(ServiceState<Selector> service, SearchParameters parameters)
      : Service(std::move(service)), Parameters(parameters) {}

  /// @brief Pins the current snapshot and sends the first attempts.
  /// @param now current time
  /// @param rng passed to the selector
  /// @return the attempts, or FinishSearch when nothing could be sent;
  /// O(shards)
  std::vector<SearchAction> start(TimePoint now, Rng &rng) {
    StartedAt = now;
    const auto snapshot = Service.Catalog.current();
    pinSnapshot(snapshot ? *snapshot : Snapshot{}, now);
    InCanaryPhase = Parameters.Canary;
    if (InCanaryPhase)
      sendCanary(now, rng);
    else
      fanOut(now, rng);
    // Nothing in flight means overload or a service without leaves; the search
    // ends at once, so that the caller gets the result without delay.
    if (Attempts.activeCount() == 0)
      finish(now);
    return finishIfDone(now);
  }

  /// @brief Processes a reply; only a valid reply to an active attempt before
  /// the deadline adds rows.
  /// @param reply the reply
  /// @param now current time
  /// @param rng passed to the selector
  /// @return the next actions; O(1) besides moving rows, O(shards) when the
  /// canary phase or the search ends
  std::vector<SearchAction> onReply(LeafReply reply, TimePoint now, Rng &rng) {
    if (!isActive(reply.Id))
      return {};
    if (now >= Parameters.Deadline) {
      finish(now);
      return finishIfDone(now);
    }
    const Attempt attempt = Attempts[reply.Id];
    if (const auto replyFailure =
            validateReply(reply, attempt.Shard, Progress)) {
      // Even an invalid reply shows that the request did not crash the leaf.
      const bool wasInCanaryPhase = std::exchange(InCanaryPhase, false);
      failAttempt(reply.Id, *replyFailure, reply.Load, now, rng);
      if (wasInCanaryPhase)
        fanOut(now, rng);
      return finishIfDone(now);
    }
    endAttempt(reply.Id,
               {std::nullopt, false, now - attempt.SentAt, reply.Load}, now);
    Service.Hedges.record(attempt.Leaf, now - attempt.SentAt);
    if (Progress[attempt.Shard].ActiveAttempts > 0)
      cancelActive(attempt.Shard, now);
    Progress.markAnswered(attempt.Shard, std::move(reply.Rows));
    endCanaryPhase(now, rng);
    return finishIfDone(now);
  }

  /// @brief Retries the attempt's shard on another replica, or marks it failed.
  /// @param id the attempt
  /// @param failure why it failed
  /// @param now current time
  /// @param rng passed to the selector
  /// @return the next actions; O(1), O(shards) on a restart
  std::vector<SearchAction> onFailure(AttemptId id, AttemptFailure failure,
                                      TimePoint now, Rng &rng) {
    if (!isActive(id))
      return {};
    // Only an explicit error of the leaf changes the catalog; a reply with
    // another version (see onReply) may be a misdirected one.
    if (failure == AttemptFailure::WrongVersion)
      Service.Catalog.dropVersion(Attempts[id].Leaf, Progress.version());
    failAttempt(id, failure, std::nullopt, now, rng);
    return finishIfDone(now);
  }

  /// @brief Hedges slow attempts, tries again to send for waiting shards, and
  /// ends the search at its latency target or deadline.
  /// @param now current time
  /// @param rng passed to the selector
  /// @return the next actions; O(due hedges), O(shards) while some wait
  std::vector<SearchAction> onTimer(TimePoint now, Rng &rng) {
    if (Finished)
      return {};
    if (now < Parameters.Deadline) {
      hedgeDueAttempts(now, rng);
      if (NextAdmissionRetry && now >= *NextAdmissionRetry)
        admitWaiting(now, rng);
    }
    return finishIfDone(now);
  }

  /// @brief Time at which to call @ref onTimer next.
  /// @return the earliest time at which an action may be due, or nothing once
  /// finished; O(1)
  std::optional<TimePoint> nextTimer() const {
    if (Finished)
      return std::nullopt;
    TimePoint next = Parameters.Deadline;
    if (const auto hedge = Attempts.nextHedgeTime())
      next = std::min(next, *hedge);
    if (NextAdmissionRetry)
      next = std::min(next, *NextAdmissionRetry);
    if (mayAnswerAtTarget())
      next = std::min(next, StartedAt + Parameters.LatencyTarget);
    return next;
  }

  /// @brief Moves the merged answer out; call once, after FinishSearch.
  /// @return the answer, rows in shard order
  SearchAnswer takeAnswer() { return Progress.takeAnswer(ExtraAttempts); }

  /// @brief Ends the search because its answer is no longer needed.
  /// @param now current time
  /// @return a CancelAttempt for each attempt in flight, and FinishSearch;
  /// O(attempts)
  std::vector<SearchAction> abandon(TimePoint now) {
    finish(now);
    return finishIfDone(now);
  }

  /// @brief Number of attempts whose connection was lost after the request was
  /// sent.
  std::uint32_t lostConnectionCount() const { return LostConnections; }

private:
  /// Most attempts of a canary request before a leaf has replied to it.
  static constexpr std::uint32_t MaxCanaryAttempts = 2;
  /// Most attempts of one shard in flight at a time.
  static constexpr std::uint32_t MaxParallelAttempts = 2;

  bool isActive(AttemptId id) const {
    return !Finished && Attempts.isActive(id);
  }

  bool mayAnswerAtTarget() const {
    return Parameters.Policy == AnswerPolicy::TailFirst &&
           Progress.coverage() >= Parameters.CoverageFloor;
  }

  TimePoint leafDeadline(TimePoint now) const {
    // With little time left, half of it is reserved for returning the answer.
    const Duration left = Parameters.Deadline - now;
    return Parameters.Deadline - std::min(Parameters.ReturnMargin, left / 2);
  }

  void pinSnapshot(const Snapshot &snapshot, TimePoint now) {
    Progress.reset(snapshot);
    AdmissionDeadline = leafDeadline(now);
    if (Parameters.Policy == AnswerPolicy::TailFirst)
      AdmissionDeadline =
          std::min(AdmissionDeadline, now + Parameters.MaxAdmissionWait);
    Service.Budget.raiseBurstFor(Progress.size());
  }

  void fanOut(TimePoint now, Rng &rng) {
    for (ShardIndex shard = 0; shard < Progress.size(); ++shard)
      if (Progress[shard].State == ShardState::Idle)
        sendOrWait(shard, now, rng);
  }

  /// Sends one attempt for the shard if a replica accepts it and the budget
  /// allows it.
  bool send(ShardIndex shard, TimePoint now, Rng &rng) {
    ShardProgress &progress = Progress[shard];
    // An attempt that did not reach its leaf added no load; its replacement
    // does not use the budget.
    const bool needsBudget =
        progress.FirstAttemptSent && !progress.LastAttemptUndelivered;
    if (progress.UntriedReplicas.empty() ||
        (needsBudget && !Service.Budget.allows(1)))
      return false;
    const auto leaf =
        Service.Leaves.acquire(progress.UntriedReplicas, now, rng);
    if (!leaf)
      return false;
    // restart() has already charged the budget for one attempt of each shard.
    if (needsBudget)
      Service.Budget.trySpend(1);
    else if (!progress.FirstAttemptSent && !Restarted)
      Service.Budget.onFirstAttempt();
    progress.LastAttemptUndelivered = false;
    Progress.markSent(shard, *leaf);
    const AttemptId id = Attempts.add(
        *leaf, shard, now,
        Service.Hedges.delay(*leaf).value_or(Parameters.DefaultHedgeDelay));
    const bool extra = needsBudget || Restarted;
    ExtraAttempts += extra ? 1 : 0;
    Actions.emplace_back(SendAttempt{id, *leaf, shard, Progress.version(),
                                     leafDeadline(now), extra});
    return true;
  }

  void sendOrWait(ShardIndex shard, TimePoint now, Rng &rng) {
    if (send(shard, now, rng))
      return;
    const bool noReplicaLeft =
        Progress[shard].UntriedReplicas.empty() && !NeedsNewerSnapshot;
    if (noReplicaLeft || now >= AdmissionDeadline)
      return Progress.markFailed(shard);
    Progress.markWaiting(shard);
    if (!NextAdmissionRetry)
      NextAdmissionRetry = now + Parameters.AdmissionRetryInterval;
  }

  void admitWaiting(TimePoint now, Rng &rng) {
    NextAdmissionRetry.reset();
    if (NeedsNewerSnapshot && restart(now, rng))
      return;
    for (ShardIndex shard = 0; shard < Progress.size(); ++shard)
      if (Progress[shard].State == ShardState::Waiting)
        sendOrWait(shard, now, rng);
  }

  /// Restarts the search on a newer snapshot, at most once and only if the
  /// budget allows an attempt for each shard.
  bool restart(TimePoint now, Rng &rng) {
    const auto newer = Service.Catalog.current();
    if (Restarted || !newer || newer->Version <= Progress.version())
      return false;
    const auto shards = static_cast<std::uint32_t>(newer->Replicas.size());
    Service.Budget.raiseBurstFor(shards);
    if (!Service.Budget.trySpend(shards))
      return false;
    cancelActive(std::nullopt, now);
    Restarted = true;
    NeedsNewerSnapshot = false;
    pinSnapshot(*newer, now);
    fanOut(now, rng);
    return true;
  }

  void hedgeDueAttempts(TimePoint now, Rng &rng) {
    while (const auto due = Attempts.takeDueHedge(now)) {
      const ShardIndex shard = Attempts[*due].Shard;
      if (InCanaryPhase)
        sendCanaryHedge(shard, now, rng);
      else if (Progress[shard].ActiveAttempts < MaxParallelAttempts)
        send(shard, now, rng);
    }
  }

  /// Sends one attempt of a canary request. Prefers a shard without an attempt,
  /// since its first attempt is no extra load.
  bool sendCanary(TimePoint now, Rng &rng) {
    if (CanaryAttempts >= MaxCanaryAttempts)
      return false;
    for (const bool sent : {false, true}) {
      for (ShardIndex shard = 0; shard < Progress.size(); ++shard) {
        if (Progress[shard].State == ShardState::Idle &&
            Progress[shard].FirstAttemptSent == sent && send(shard, now, rng)) {
          ++CanaryAttempts;
          return true;
        }
      }
    }
    return false;
  }

  void sendCanaryHedge(ShardIndex shard, TimePoint now, Rng &rng) {
    if (!sendCanary(now, rng) && CanaryAttempts < MaxCanaryAttempts &&
        send(shard, now, rng))
      ++CanaryAttempts;
  }

  void endCanaryPhase(TimePoint now, Rng &rng) {
    if (std::exchange(InCanaryPhase, false))
      fanOut(now, rng);
  }

  void failAttempt(AttemptId id, AttemptFailure failure,
                   const std::optional<LoadReport> &load, TimePoint now,
                   Rng &rng) {
    const Attempt attempt = Attempts[id];
    endAttempt(id, {failure, false, now - attempt.SentAt, load}, now);
    if (failure == AttemptFailure::Shed)
      Service.Budget.onShed();
    if (failure == AttemptFailure::ConnectionRefused)
      Progress[attempt.Shard].LastAttemptUndelivered = true;
    LostConnections += failure == AttemptFailure::ConnectionLost ? 1 : 0;
    if (InCanaryPhase)
      handleCanaryFailure(attempt.Shard, failure, now, rng);
    else if (Progress[attempt.Shard].ActiveAttempts == 0)
      recoverShard(attempt.Shard, failure, now, rng);
  }

  void handleCanaryFailure(ShardIndex shard, AttemptFailure failure,
                           TimePoint now, Rng &rng) {
    if (Progress[shard].ActiveAttempts == 0)
      Progress.markIdle(shard);
    // A malformed reply still shows that the request did not crash the leaf.
    if (failure == AttemptFailure::Malformed)
      return endCanaryPhase(now, rng);
    if (provesNotExecuted(failure))
      --CanaryAttempts;
    sendCanary(now, rng);
    if (Attempts.activeCount() == 0)
      finish(now);
  }

  void recoverShard(ShardIndex shard, AttemptFailure failure, TimePoint now,
                    Rng &rng) {
    // A request that may crash leaves is not retried on all replicas of a shard
    // in turn.
    const bool crashSuspected = failure == AttemptFailure::ConnectionLost &&
                                Parameters.Canary &&
                                LostConnections >= MaxCanaryAttempts;
    if (failure == AttemptFailure::Expired || crashSuspected) {
      Progress.markFailed(shard);
      return;
    }
    if (failure == AttemptFailure::WrongVersion) {
      ++WrongVersionCount;
      // A single leaf without the version may have been updated before its
      // group. A second one, or the last replica, means that the version is
      // being withdrawn.
      NeedsNewerSnapshot =
          !Restarted &&
          (WrongVersionCount > 1 || Progress[shard].UntriedReplicas.empty());
      if (NeedsNewerSnapshot && restart(now, rng))
        return;
    }
    sendOrWait(shard, now, rng);
  }

  void endAttempt(AttemptId id, const AttemptResult &result, TimePoint now) {
    const Attempt &attempt = Attempts[id];
    Attempts.markEnded(id);
    --Progress[attempt.Shard].ActiveAttempts;
    Service.Leaves.release(attempt.Leaf, result, now);
  }

  void cancelAttempt(AttemptId id, TimePoint now) {
    const Duration elapsed = now - Attempts[id].SentAt;
    // An attempt still pending at the deadline is reported to the selector as
    // too slow. One that lost to another attempt says little about its leaf.
    AttemptResult result{std::nullopt, true, elapsed, std::nullopt};
    if (now >= Parameters.Deadline)
      result = {AttemptFailure::Expired, false, elapsed, std::nullopt};
    endAttempt(id, result, now);
    Service.Hedges.recordCancelled(Attempts[id].Leaf, elapsed);
    Actions.emplace_back(CancelAttempt{id});
  }

  void cancelActive(std::optional<ShardIndex> shard, TimePoint now) {
    for (const AttemptId id : Attempts.findActive(shard))
      cancelAttempt(id, now);
  }

  void finish(TimePoint now) {
    if (Finished)
      return;
    cancelActive(std::nullopt, now);
    Finished = true;
    Actions.emplace_back(FinishSearch{});
  }

  std::vector<SearchAction> finishIfDone(TimePoint now) {
    const bool atTarget =
        mayAnswerAtTarget() && now >= StartedAt + Parameters.LatencyTarget;
    if (now >= Parameters.Deadline || Progress.unfinishedCount() == 0 ||
        atTarget)
      finish(now);
    return std::exchange(Actions, {});
  }

  ServiceState<Selector> Service;
  SearchParameters Parameters;
  SearchProgress Progress;
  AttemptTable Attempts;
  std::vector<SearchAction> Actions;
  std::optional<TimePoint> NextAdmissionRetry;
  TimePoint StartedAt;
  /// Time after which a shard that cannot be sent fails instead of waiting.
  TimePoint AdmissionDeadline;
  std::uint32_t ExtraAttempts = 0;
  std::uint32_t CanaryAttempts = 0;
  std::uint32_t LostConnections = 0;
  std::uint32_t WrongVersionCount = 0;
  /// Whether no leaf has replied to a canary request yet.
  bool InCanaryPhase = false;
  /// Whether the pinned version is being withdrawn, so that shards wait for a
  /// newer snapshot.
  bool NeedsNewerSnapshot = false;
  bool Restarted = false;
  bool Finished = false;
};

} // namespace savorytrestle::core

#endif
