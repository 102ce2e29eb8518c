#ifndef SAVORYTRESTLE_CORE_TAIL_AWARE_SEARCH_H
#define SAVORYTRESTLE_CORE_TAIL_AWARE_SEARCH_H

/// @file
/// @brief The search policy in use: one pinned snapshot, hedged and retried
/// within the service's extra load budget.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "savorytrestle/core/AttemptLog.h"
#include "savorytrestle/core/SearchParameters.h"
#include "savorytrestle/core/SearchProgress.h"
#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/ServiceState.h"

namespace savorytrestle::core {

/// @brief Searches one snapshot; see the file's brief.
///
/// Every leaf it acquires is released by the time FinishSearch is returned or
/// @ref abandon is called.
template <LeafSelector Selector> class TailAwareSearch {
public:
  /// @brief Prepares a search.
  /// @param service state shared with the service's other searches
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
    pin(snapshot ? *snapshot : Snapshot{}, now);
    InCanary = Parameters.Canary;
    if (InCanary)
      sendCanary(now, rng);
    else
      fanOut(now, rng);
    // Nothing in flight means overload or a service without leaves: the caller
    // learns it at once rather than after a wait.
    if (Attempts.active() == 0)
      finish(now);
    return settle(now);
  }

  /// @brief Takes a reply in; only one that fits its attempt, in time, counts.
  /// @param reply the reply
  /// @param now current time
  /// @param rng passed to the selector
  /// @return what follows; O(1) besides moving rows, O(shards) once done
  std::vector<SearchAction> onReply(LeafReply reply, TimePoint now, Rng &rng) {
    if (!isActive(reply.Id))
      return {};
    if (now >= Parameters.Deadline) {
      finish(now);
      return settle(now);
    }
    const Attempt attempt = Attempts[reply.Id];
    if (const auto fault = findFault(reply, attempt.Shard, Progress)) {
      // Whatever is wrong with the reply, the leaf survived the request.
      const bool canary = std::exchange(InCanary, false);
      fail(reply.Id, *fault, reply.Load, now, rng);
      if (canary)
        fanOut(now, rng);
      return settle(now);
    }
    end(reply.Id, {std::nullopt, false, now - attempt.SentAt, reply.Load}, now);
    Service.Hedges.record(attempt.Leaf, now - attempt.SentAt);
    if (Progress[attempt.Shard].Outstanding > 0)
      cancelActive(attempt.Shard, now);
    Progress.answer(attempt.Shard, std::move(reply.Rows));
    leaveCanary(now, rng);
    return settle(now);
  }

  /// @brief Retries the attempt's shard on another replica, or gives it up.
  /// @param id the attempt
  /// @param failure why it failed
  /// @param now current time
  /// @param rng passed to the selector
  /// @return what follows; O(1), O(shards) on a restart
  std::vector<SearchAction> onFailure(AttemptId id, AttemptFailure failure,
                                      TimePoint now, Rng &rng) {
    if (!isActive(id))
      return {};
    // Only the leaf's own word changes the catalog; a reply of another version
    // may as well be a crossed one.
    if (failure == AttemptFailure::WrongVersion)
      Service.Catalog.dropVersion(Attempts[id].Leaf, Progress.version());
    fail(id, failure, std::nullopt, now, rng);
    return settle(now);
  }

  /// @brief Hedges slow attempts, serves waiting shards and ends the search
  /// when its time is up.
  /// @param now current time
  /// @param rng passed to the selector
  /// @return what follows; O(hedges due), O(shards) while some wait
  std::vector<SearchAction> onTimer(TimePoint now, Rng &rng) {
    if (Finished)
      return {};
    if (now < Parameters.Deadline) {
      hedgeDue(now, rng);
      if (NextAdmission && now >= *NextAdmission)
        serveWaiting(now, rng);
    }
    return settle(now);
  }

  /// @brief When @ref onTimer wants to be called.
  /// @return the earliest time at which something may be due, or nothing once
  /// finished; O(1)
  std::optional<TimePoint> nextTimer() const {
    if (Finished)
      return std::nullopt;
    TimePoint next = Parameters.Deadline;
    if (const auto hedge = Attempts.nextDue())
      next = std::min(next, *hedge);
    if (NextAdmission)
      next = std::min(next, *NextAdmission);
    if (answersAtTarget())
      next = std::min(next, StartedAt + Parameters.LatencyTarget);
    return next;
  }

  /// @brief Moves the merged answer out; call once, after FinishSearch.
  /// @return the answer, rows in shard order
  SearchAnswer takeAnswer() { return Progress.takeAnswer(ExtraAttempts); }

  /// @brief Ends the search because nobody waits for its answer any more.
  /// @param now current time
  /// @return cancels of all that is in flight; O(shards)
  std::vector<SearchAction> abandon(TimePoint now) {
    finish(now);
    return settle(now);
  }

  /// @brief Counts attempts whose connection broke after the request was sent.
  std::uint32_t brokenAttempts() const { return Broken; }

private:
  /// Attempts that may run a suspect request before a leaf replied to it.
  static constexpr std::uint32_t MaxCanaryAttempts = 2;
  /// Attempts of one shard in flight at a time.
  static constexpr std::uint32_t MaxParallelAttempts = 2;

  bool isActive(AttemptId id) const {
    return !Finished && Attempts.isActive(id);
  }

  bool answersAtTarget() const {
    return Parameters.Policy == AnswerPolicy::TailFirst &&
           Progress.coverage() >= Parameters.CoverageFloor;
  }

  TimePoint leafDeadline(TimePoint now) const {
    // With little time left, half of it is kept for the way back.
    const Duration left = Parameters.Deadline - now;
    return Parameters.Deadline - std::min(Parameters.ReturnAllowance, left / 2);
  }

  void pin(const Snapshot &snapshot, TimePoint now) {
    Progress.pin(snapshot);
    WaitUntil = leafDeadline(now);
    if (Parameters.Policy == AnswerPolicy::TailFirst)
      WaitUntil = std::min(WaitUntil, now + Parameters.AdmissionWait);
    Service.Budget.raiseBurstFor(Progress.size());
  }

  void fanOut(TimePoint now, Rng &rng) {
    for (ShardIndex shard = 0; shard < Progress.size(); ++shard)
      if (Progress[shard].State == ShardState::Idle)
        sendOrWait(shard, now, rng);
  }

  /// Sends one attempt for the shard if a leaf and the budget allow it.
  bool send(ShardIndex shard, TimePoint now, Rng &rng) {
    ShardProgress &progress = Progress[shard];
    // An attempt that no leaf received added no load; replacing it is free.
    const bool again = progress.Sent && !progress.Unreached;
    if (progress.Untried.empty() || (again && !Service.Budget.allows(1)))
      return false;
    const auto leaf = Service.Leaves.acquire(progress.Untried, now, rng);
    if (!leaf)
      return false;
    // The attempts of a restart were paid for as a whole.
    if (again)
      Service.Budget.trySpend(1);
    else if (!progress.Sent && !Restarted)
      Service.Budget.onFirstAttempt();
    progress.Unreached = false;
    Progress.markSent(shard, *leaf);
    const AttemptId id = Attempts.open(
        *leaf, shard, now,
        Service.Hedges.delay(*leaf).value_or(Parameters.DefaultHedgeDelay));
    const bool extra = again || Restarted;
    ExtraAttempts += extra ? 1 : 0;
    Actions.emplace_back(SendAttempt{id, *leaf, shard, Progress.version(),
                                     leafDeadline(now), extra});
    return true;
  }

  void sendOrWait(ShardIndex shard, TimePoint now, Rng &rng) {
    if (send(shard, now, rng))
      return;
    const bool hopeless = Progress[shard].Untried.empty() && !NeedsNewer;
    if (hopeless || now >= WaitUntil)
      return Progress.lose(shard);
    Progress.setWaiting(shard);
    if (!NextAdmission)
      NextAdmission = now + Parameters.AdmissionRetry;
  }

  void serveWaiting(TimePoint now, Rng &rng) {
    NextAdmission.reset();
    if (NeedsNewer && restart(now, rng))
      return;
    for (ShardIndex shard = 0; shard < Progress.size(); ++shard)
      if (Progress[shard].State == ShardState::Waiting)
        sendOrWait(shard, now, rng);
  }

  /// Starts over on a newer snapshot, once, if the budget bears it.
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
    NeedsNewer = false;
    pin(*newer, now);
    fanOut(now, rng);
    return true;
  }

  void hedgeDue(TimePoint now, Rng &rng) {
    while (const auto due = Attempts.takeDue(now)) {
      const ShardIndex shard = Attempts[*due].Shard;
      if (InCanary)
        hedgeCanary(shard, now, rng);
      else if (Progress[shard].Outstanding < MaxParallelAttempts)
        send(shard, now, rng);
    }
  }

  /// Sends one attempt of a suspect request, for a shard not asked before if
  /// there is one: that costs no extra load.
  bool sendCanary(TimePoint now, Rng &rng) {
    if (CanaryAttempts >= MaxCanaryAttempts)
      return false;
    for (const bool sent : {false, true}) {
      for (ShardIndex shard = 0; shard < Progress.size(); ++shard) {
        if (Progress[shard].State == ShardState::Idle &&
            Progress[shard].Sent == sent && send(shard, now, rng)) {
          ++CanaryAttempts;
          return true;
        }
      }
    }
    return false;
  }

  void hedgeCanary(ShardIndex shard, TimePoint now, Rng &rng) {
    if (!sendCanary(now, rng) && CanaryAttempts < MaxCanaryAttempts &&
        send(shard, now, rng))
      ++CanaryAttempts;
  }

  void leaveCanary(TimePoint now, Rng &rng) {
    if (std::exchange(InCanary, false))
      fanOut(now, rng);
  }

  void fail(AttemptId id, AttemptFailure failure,
            const std::optional<LoadReport> &load, TimePoint now, Rng &rng) {
    const Attempt attempt = Attempts[id];
    end(id, {failure, false, now - attempt.SentAt, load}, now);
    if (failure == AttemptFailure::Shed)
      Service.Budget.onShed();
    if (failure == AttemptFailure::Refused)
      Progress[attempt.Shard].Unreached = true;
    Broken += failure == AttemptFailure::Broken ? 1 : 0;
    if (InCanary)
      failCanary(attempt.Shard, failure, now, rng);
    else if (Progress[attempt.Shard].Outstanding == 0)
      recover(attempt.Shard, failure, now, rng);
  }

  void failCanary(ShardIndex shard, AttemptFailure failure, TimePoint now,
                  Rng &rng) {
    if (Progress[shard].Outstanding == 0)
      Progress.setIdle(shard);
    // An unreadable reply still shows that the leaf survived the request.
    if (failure == AttemptFailure::Malformed)
      return leaveCanary(now, rng);
    if (isNotRun(failure))
      --CanaryAttempts;
    sendCanary(now, rng);
    if (Attempts.active() == 0)
      finish(now);
  }

  void recover(ShardIndex shard, AttemptFailure failure, TimePoint now,
               Rng &rng) {
    // A request not known as good must not be walked along the replicas of a
    // shard that it crashes.
    const bool mayCrash = failure == AttemptFailure::Broken &&
                          Parameters.Canary && Broken >= MaxCanaryAttempts;
    if (failure == AttemptFailure::Expired || mayCrash) {
      Progress.lose(shard);
      return;
    }
    if (failure == AttemptFailure::WrongVersion) {
      ++WrongVersions;
      // One leaf without the version may be ahead of its group; a second one,
      // or the last replica, means that the version is being withdrawn.
      NeedsNewer =
          !Restarted && (WrongVersions > 1 || Progress[shard].Untried.empty());
      if (NeedsNewer && restart(now, rng))
        return;
    }
    sendOrWait(shard, now, rng);
  }

  void end(AttemptId id, const AttemptResult &result, TimePoint now) {
    const Attempt &attempt = Attempts[id];
    Attempts.close(id);
    --Progress[attempt.Shard].Outstanding;
    Service.Leaves.release(attempt.Leaf, result, now);
  }

  void cancel(AttemptId id, TimePoint now) {
    const Duration elapsed = now - Attempts[id].SentAt;
    // What is still pending at the deadline was too slow; the selector should
    // know, whereas a loser of a race proves little.
    AttemptResult result{std::nullopt, true, elapsed, std::nullopt};
    if (now >= Parameters.Deadline)
      result = {AttemptFailure::Expired, false, elapsed, std::nullopt};
    end(id, result, now);
    Service.Hedges.recordAtLeast(Attempts[id].Leaf, elapsed);
    Actions.emplace_back(CancelAttempt{id});
  }

  void cancelActive(std::optional<ShardIndex> shard, TimePoint now) {
    for (const AttemptId id : Attempts.findActive(shard))
      cancel(id, now);
  }

  void finish(TimePoint now) {
    if (Finished)
      return;
    cancelActive(std::nullopt, now);
    Finished = true;
    Actions.emplace_back(FinishSearch{});
  }

  std::vector<SearchAction> settle(TimePoint now) {
    const bool atTarget =
        answersAtTarget() && now >= StartedAt + Parameters.LatencyTarget;
    if (now >= Parameters.Deadline || Progress.open() == 0 || atTarget)
      finish(now);
    return std::exchange(Actions, {});
  }

  ServiceState<Selector> Service;
  SearchParameters Parameters;
  SearchProgress Progress;
  AttemptLog Attempts;
  std::vector<SearchAction> Actions;
  std::optional<TimePoint> NextAdmission;
  TimePoint StartedAt;
  TimePoint WaitUntil;
  std::uint32_t ExtraAttempts = 0;
  std::uint32_t CanaryAttempts = 0;
  std::uint32_t Broken = 0;
  std::uint32_t WrongVersions = 0;
  bool InCanary = false;
  bool NeedsNewer = false;
  bool Restarted = false;
  bool Finished = false;
};

} // namespace savorytrestle::core

#endif
