#ifndef SAVORYTRESTLE_PLATFORM_CLAIM_STORE_H
#define SAVORYTRESTLE_PLATFORM_CLAIM_STORE_H

/// @file
/// @brief Claims and outcomes of keyed writes in the key-value service.
///
/// One thread of its own makes all store calls. What arrives for one document
/// while another call runs is written together, by one compare-and-swap; see
/// docs/WRITES.md.

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include <concurrentqueue/blockingconcurrentqueue.h>

#include "platform/ClaimTypes.h"
#include "platform/KvStore.h"
#include "support/Log.h"

namespace savorytrestle::platform {

/// @brief Claims keys for this host; thread-safe.
template <KvStore Store> class ClaimStore {
public:
  using SteadyClock = std::chrono::steady_clock;

  /// @brief Starts the claim thread.
  /// @param store client used by that thread only
  /// @param hostId id of this host
  /// @param options limits
  ClaimStore(Store store, const std::string &hostId, ClaimStoreOptions options)
      : Kv(std::move(store)), Options(std::move(options)),
        Random(std::random_device{}()),
        AttemptPrefix(hostId + "/" + std::to_string(Random()) + "/"),
        WriteRate(Options.WritesPerSecond),
        NextSweep(SteadyClock::now() + Options.SweepEvery),
        Worker([this] { run(); }) {}
  ClaimStore(const ClaimStore &) = delete;
  ClaimStore &operator=(const ClaimStore &) = delete;
  ~ClaimStore() { stop(std::chrono::milliseconds(0)); }

  /// @brief Makes a claim request of this process; no two are alike.
  /// @param key the caller's key
  /// @param digest digest of the request
  /// @param send which send of the key this is, if the caller told
  /// @return the request
  core::ClaimRequest makeRequest(core::WriteKey key, std::string digest,
                                 core::SendNumber send) {
    return {std::move(key), std::move(digest),
            AttemptPrefix + std::to_string(++LastAttempt), send};
  }

  /// @brief Claims a key. A refusal means that this attempt is never granted.
  /// @param request from @ref makeRequest; used once
  /// @param deadline when it is refused if there is no decision yet
  /// @param done takes the decision once, on the claim thread, or on this one
  ///   when refused at once; errors are those of @ref core::checkAge and
  ///   @ref core::unconfirmedClaim
  void submit(core::ClaimRequest request, core::TimePoint deadline,
              ClaimDone done) {
    using core::ErrorCode;
    if (const auto age =
            core::checkAge(request.Key, Options.Wall(), Options.Limits);
        !age)
      return done(tl::unexpected(age.error()));
    if (Stopping)
      return refuse({std::move(request), deadline, std::move(done)},
                    ErrorCode::Draining, "this host is stopping");
    if (Waiting.fetch_add(1) >= Options.MaxPending) {
      --Waiting;
      return refuse({std::move(request), deadline, std::move(done)},
                    ErrorCode::Overloaded, "too many writes wait");
    }
    Ring.enqueue(PendingClaim{std::move(request), deadline, std::move(done)});
  }

  /// @brief Stores the outcome of a granted claim.
  /// @param request the granted request
  /// @param outcome how the dispatch ended
  /// @param answerBy when done is told at the latest
  /// @param done told once; the store is tried until the key expires
  void record(core::ClaimRequest request, core::WriteOutcome outcome,
              core::TimePoint answerBy, ChangeDone done) {
    Ring.enqueue(PendingChange{std::move(request), std::move(outcome), answerBy,
                               std::move(done)});
  }

  /// @brief Gives back a granted claim that was not and will not be dispatched.
  /// @param request the granted request
  void release(core::ClaimRequest request) {
    Ring.enqueue(PendingChange{std::move(request), {}, {}, nullptr});
  }

  /// @brief Sets this host's share of the store's writes.
  /// @param perSecond writes a second, above 0
  void setWriteRate(double perSecond) { WriteRate = perSecond; }

  /// @brief Refuses new claims, stores what waits and ends the thread. Callers
  /// must have stopped submitting.
  /// @param drain longest time for that
  void stop(std::chrono::milliseconds drain) {
    if (!Worker.joinable())
      return;
    StopBy = SteadyClock::now() + drain;
    Stopping = true;
    Ring.enqueue(Wake{});
    Worker.join();
    std::vector<Job> late;
    while (Ring.try_dequeue_bulk(std::back_inserter(late), JobsPerTurn) > 0) {
    }
    for (auto &job : late)
      if (auto *claim = std::get_if<PendingClaim>(&job))
        refuse(std::move(*claim), core::ErrorCode::Draining,
               "this host is stopping");
  }

  /// @brief Counters.
  const ClaimStoreStats &stats() const { return Counts; }

private:
  struct Wake {};
  using Job = std::variant<PendingClaim, PendingChange, Wake>;

  static constexpr std::chrono::milliseconds MaxWait{100};
  static constexpr std::size_t JobsPerTurn = 256;

  void run() {
    while (!finished()) {
      receive();
      answerOverdue();
      Pacer.setRate(WriteRate);
      const auto now = SteadyClock::now();
      if (now < Pacer.next())
        continue;
      if (const auto it = oldestReady(now); it != Batches.end())
        commit(it);
      else
        sweep(now);
    }
    for (auto &[name, batch] : Batches) {
      refuseAll(batch, core::ErrorCode::Draining, "this host is stopping");
      if (!batch.Changes.empty())
        support::LogLine("write_changes_dropped")
            .with("document", name.path())
            .with("count", batch.Changes.size());
    }
  }

  bool finished() const {
    return Stopping && (SteadyClock::now() >= StopBy.load() ||
                        (Batches.empty() && Ring.size_approx() == 0));
  }

  void receive() {
    std::vector<Job> jobs;
    jobs.reserve(JobsPerTurn);
    Ring.wait_dequeue_bulk_timed(std::back_inserter(jobs), JobsPerTurn,
                                 untilNext());
    for (auto &job : jobs) {
      if (auto *claim = std::get_if<PendingClaim>(&job))
        addClaim(std::move(*claim));
      else if (auto *change = std::get_if<PendingChange>(&job))
        addChange(std::move(*change));
    }
  }

  std::chrono::microseconds untilNext() const {
    const auto now = SteadyClock::now();
    auto next = now + core::Duration(MaxWait);
    for (const auto &[name, batch] : Batches)
      next = std::min(batch.earliestAnswer(next),
                      std::max(batch.NotBefore, Pacer.next()));
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::max(next - now, core::Duration::zero()));
  }

  ClaimBatch &batchOf(const core::ClaimRequest &request) {
    auto &batch = Batches[core::documentOf(request.Key, Options.Limits)];
    if (batch.empty())
      batch.Since = SteadyClock::now();
    return batch;
  }

  void addClaim(PendingClaim claim) {
    auto &batch = batchOf(claim.Request);
    // A caller waits: tried at once even when changes wait for the store.
    batch.NotBefore = {};
    batch.Claims.push_back(std::move(claim));
  }

  void addChange(PendingChange change) {
    batchOf(change.Request).Changes.push_back(std::move(change));
  }

  auto oldestReady(core::TimePoint now) {
    auto oldest = Batches.end();
    for (auto it = Batches.begin(); it != Batches.end(); ++it)
      if (it->second.NotBefore <= now &&
          (oldest == Batches.end() || it->second.Since < oldest->second.Since))
        oldest = it;
    return oldest;
  }

  using BatchIterator =
      typename std::map<core::DocumentName, ClaimBatch>::iterator;

  /// One read and, if something changes, one compare-and-swap. A batch that
  /// lost to another host or whose reply was lost stays, and is read again.
  void commit(BatchIterator it) {
    const std::string path = it->first.path();
    auto &batch = it->second;
    ++Counts.Reads;
    const auto entry = Kv.get(path, Options.StoreTimeout);
    if (!entry)
      return onStoreDown();
    auto bucket = *entry ? core::ClaimBucket::parse((*entry)->Value)
                         : core::Result<core::ClaimBucket>();
    if (!bucket)
      return onUnreadable(it);
    const auto verdicts = propose(*bucket, batch);
    const bool wrote = bucket->isModified();
    Pacer.spend(SteadyClock::now(), wrote);
    if (wrote) {
      ++Counts.Writes;
      const auto revision = *entry ? (*entry)->ModifyRevision : NoEntry;
      const auto stored = Kv.compareAndSet(path, bucket->dump(), revision,
                                           Options.StoreTimeout);
      if (!stored)
        return onUnconfirmed(batch, verdicts, stored.error());
      if (!*stored) {
        ++Counts.Conflicts;
        return;
      }
    }
    const ClaimBatch settled = std::exchange(batch, {});
    Batches.erase(it);
    settle(settled, verdicts);
  }

  std::vector<core::ClaimVerdict> propose(core::ClaimBucket &bucket,
                                          const ClaimBatch &batch) const {
    for (const auto &change : batch.Changes) {
      if (change.Outcome)
        bucket.record(change.Request, *change.Outcome, Options.Limits);
      else
        bucket.release(change.Request);
    }
    std::vector<core::ClaimVerdict> verdicts;
    verdicts.reserve(batch.Claims.size());
    for (const auto &claim : batch.Claims)
      verdicts.push_back(bucket.claim(claim.Request, Options.Limits));
    return verdicts;
  }

  void onUnconfirmed(ClaimBatch &batch,
                     const std::vector<core::ClaimVerdict> &verdicts,
                     const core::Error &error) {
    if (error.Code != core::ErrorCode::OutcomeUnknown)
      return onStoreDown();
    ++Counts.LostReplies;
    for (std::size_t i = 0; i < batch.Claims.size(); ++i)
      if (verdicts[i].Decision == core::ClaimDecision::Granted)
        batch.Claims[i].MayHaveLanded = true;
  }

  void settle(ClaimBatch batch,
              const std::vector<core::ClaimVerdict> &verdicts) {
    for (auto &change : batch.Changes)
      change.tell({});
    for (std::size_t i = 0; i < batch.Claims.size(); ++i) {
      auto &claim = batch.Claims[i];
      if (verdicts[i].Decision == core::ClaimDecision::Granted)
        grant(std::move(claim));
      else
        answer(claim, verdicts[i]);
    }
  }

  /// A pause before this point may have used up the time: the document may even
  /// have expired and been made anew, so the key's age is checked once more.
  void grant(PendingClaim claim) {
    const auto age =
        core::checkAge(claim.Request.Key, Options.Wall(), Options.Limits);
    if (age && SteadyClock::now() < claim.Deadline) {
      ++Counts.Granted;
      return answer(claim,
                    core::ClaimVerdict{core::ClaimDecision::Granted, {}});
    }
    abandon(claim.Request);
    if (!age)
      return answer(claim, tl::unexpected(age.error()));
    // The claim is this attempt's, so no other one was dispatched.
    answer(claim, tl::unexpected(core::Error{
                      core::ErrorCode::DeadlineExceeded,
                      "no time was left to dispatch the write",
                      core::RunState::NotRun, core::WriteRetryAfter}));
  }

  void abandon(const core::ClaimRequest &request) {
    ++Counts.Abandoned;
    addChange({request, {}, {}, nullptr});
  }

  void answer(PendingClaim &claim, core::Result<core::ClaimVerdict> verdict) {
    --Waiting;
    claim.Done(std::move(verdict));
  }

  void refuse(PendingClaim claim, core::ErrorCode code, std::string message) {
    ++Counts.Refused;
    claim.Done(tl::unexpected(
        core::unconfirmedClaim(claim.Request, code, std::move(message))));
  }

  /// Refuses a waiting claim; one that may be stored is released later.
  void giveUp(PendingClaim claim, core::ErrorCode code, std::string message) {
    --Waiting;
    if (claim.MayHaveLanded)
      abandon(claim.Request);
    refuse(std::move(claim), code, std::move(message));
  }

  void refuseAll(ClaimBatch &batch, core::ErrorCode code,
                 const std::string &message) {
    for (auto &claim : std::exchange(batch.Claims, {}))
      giveUp(std::move(claim), code, message);
  }

  void answerOverdue() {
    const auto now = SteadyClock::now();
    for (auto &[name, batch] : Batches) {
      const auto late = std::stable_partition(
          batch.Claims.begin(), batch.Claims.end(),
          [&](const auto &claim) { return now < claim.Deadline; });
      std::vector<PendingClaim> overdue;
      std::move(late, batch.Claims.end(), std::back_inserter(overdue));
      batch.Claims.erase(late, batch.Claims.end());
      for (auto &claim : overdue)
        giveUp(std::move(claim), core::ErrorCode::DeadlineExceeded,
               "the claim was not confirmed in time");
      for (auto &change : batch.Changes)
        if (change.AnswerBy <= now)
          change.tell(core::makeError(core::ErrorCode::DeadlineExceeded,
                                      "not stored yet"));
    }
    std::erase_if(Batches, [](const auto &it) { return it.second.empty(); });
  }

  /// The store can't be reached: whoever waits is answered now, and what has to
  /// be stored in the end is tried again after a pause.
  void onStoreDown() {
    const auto now = SteadyClock::now();
    Pacer.spend(now, false);
    for (auto &[name, batch] : Batches) {
      refuseAll(batch, core::ErrorCode::StoreUnavailable,
                "the claim can't be confirmed");
      std::erase_if(batch.Changes, [this](const auto &change) {
        return !core::checkAge(change.Request.Key, Options.Wall(),
                               Options.Limits);
      });
      for (auto &change : batch.Changes)
        change.tell(core::makeError(core::ErrorCode::StoreUnavailable,
                                    "the store can't be reached"));
      batch.NotBefore = now + Options.RetryPause;
    }
    std::erase_if(Batches, [](const auto &it) { return it.second.empty(); });
  }

  void onUnreadable(BatchIterator it) {
    support::LogLine("claim_document_unreadable")
        .with("document", it->first.path());
    refuseAll(it->second, core::ErrorCode::Internal,
              "the claim document can't be read");
    for (auto &change : it->second.Changes)
      change.tell(core::makeError(core::ErrorCode::Internal,
                                  "the claim document can't be read"));
    it->second.NotBefore = SteadyClock::now() + Options.RetryPause;
    Pacer.spend(SteadyClock::now(), false);
    if (it->second.empty())
      Batches.erase(it);
  }

  /// Deletes expired documents when there is nothing else to do. Hosts pick
  /// windows at random, so that none is in charge and none is missed for long.
  void sweep(core::TimePoint now) {
    if (!Expired.empty()) {
      const KvEntry entry = std::move(Expired.back());
      Expired.pop_back();
      ++Counts.Writes;
      Pacer.spend(now, true);
      if (Kv.compareAndDelete(entry.Key, entry.ModifyRevision,
                              Options.StoreTimeout)
              .value_or(false))
        ++Counts.DocumentsDeleted;
      return;
    }
    if (now < NextSweep)
      return;
    NextSweep = now + Options.SweepEvery;
    std::uniform_int_distribution<std::int64_t> back(
        0, Options.SweepBack / Options.Limits.Window);
    const auto window =
        core::newestExpiredWindow(Options.Wall(), Options.Limits) -
        back(Random);
    ++Counts.Reads;
    Pacer.spend(now, false);
    if (auto found = Kv.list(core::windowPrefix(window), Options.StoreTimeout))
      Expired = std::move(*found);
  }

  Store Kv;
  const ClaimStoreOptions Options;
  std::mt19937_64 Random;
  const std::string AttemptPrefix;
  std::atomic<std::uint64_t> LastAttempt{0};
  std::atomic<double> WriteRate;
  ClaimStoreStats Counts;
  /// Claims that wait in the ring or a batch.
  std::atomic<std::size_t> Waiting{0};
  moodycamel::BlockingConcurrentQueue<Job> Ring;
  std::atomic<bool> Stopping{false};
  std::atomic<core::TimePoint> StopBy{core::TimePoint()};
  // The claim thread's own.
  std::map<core::DocumentName, ClaimBatch> Batches;
  std::vector<KvEntry> Expired;
  WritePacer Pacer;
  core::TimePoint NextSweep;
  std::thread Worker;
};

} // namespace savorytrestle::platform

#endif
