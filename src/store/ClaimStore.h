#ifndef SAVORYTRESTLE_STORE_CLAIM_STORE_H
#define SAVORYTRESTLE_STORE_CLAIM_STORE_H

/// @file
/// @brief Claims and outcomes of keyed writes in the platform's store.
///
/// One thread makes all store calls. Claims and changes of one document that
/// arrive during a call are stored together by one compare-and-swap; see
/// docs/WRITES.md.

#include <algorithm>
#include <iterator>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include <concurrentqueue/blockingconcurrentqueue.h>

#include "store/ClaimBatches.h"
#include "store/EraRecord.h"

namespace savorytrestle::store {

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
        NextSweep(SteadyClock::now() + Options.SweepInterval),
        Worker([this] { run(); }) {}
  ClaimStore(const ClaimStore &) = delete;
  ClaimStore &operator=(const ClaimStore &) = delete;
  ~ClaimStore() { stop(std::chrono::milliseconds(0)); }

  /// @brief Makes a claim request with a unique attempt id.
  /// @param key the caller's key
  /// @param digest digest of the request
  /// @param send number of this send of the key; UnknownSend if the caller gave
  /// none
  /// @return the request
  core::ClaimRequest makeRequest(core::WriteKey key, std::string digest,
                                 core::SendNumber send) {
    return {std::move(key), std::move(digest),
            AttemptPrefix + std::to_string(++LastAttempt), send};
  }

  /// @brief Claims a key. An attempt that has been refused is never granted.
  /// @param request from @ref makeRequest; used once
  /// @param deadline when the claim is refused if it has not been decided
  /// @param done called once with the decision, on the claim thread, or within
  ///   this call if refused immediately; errors are those of
  ///   @ref core::checkKeyAge and @ref core::unconfirmedClaimError
  void submit(core::ClaimRequest request, core::TimePoint deadline,
              ClaimDone done) {
    using core::ErrorCode;
    if (const auto age =
            core::checkKeyAge(request.Key, Options.WallClock(), Options.Limits);
        !age)
      return done(
          tl::unexpected(core::withProvenRunState(age.error(), request.Send)));
    if (Stopping)
      return Batches.refuse({std::move(request), deadline, std::move(done)},
                            ErrorCode::Draining, "this host is stopping");
    if (!Batches.tryReserve())
      return Batches.refuse({std::move(request), deadline, std::move(done)},
                            ErrorCode::Overloaded,
                            "too many claims of writes are pending");
    Queue.enqueue(PendingClaim{std::move(request), deadline, std::move(done)});
  }

  /// @brief Stores the outcome of a granted claim.
  /// @param request the granted request
  /// @param outcome outcome of the dispatch
  /// @param answerBy when done is called at the latest
  /// @param done called once; storing is tried again until the key expires,
  /// also after done was called with an error
  void record(core::ClaimRequest request, core::WriteOutcome outcome,
              core::TimePoint answerBy, ChangeDone done) {
    Queue.enqueue(PendingChange{std::move(request), std::move(outcome),
                                answerBy, std::move(done)});
  }

  /// @brief Releases a granted claim that was not and will not be dispatched.
  /// @param request the granted request
  void release(core::ClaimRequest request) {
    Queue.enqueue(PendingChange{std::move(request), {}, {}, nullptr});
  }

  /// @brief Sets this host's share of the store's writes.
  /// @param perSecond writes per second, above 0
  void setWriteRate(double perSecond) { WriteRate = perSecond; }

  /// @brief Refuses new claims, stores pending claims and changes, and ends the
  /// thread. Callers must have stopped submitting.
  /// @param drain upper bound on the time for storing
  void stop(std::chrono::milliseconds drain) {
    if (!Worker.joinable())
      return;
    StopBy = SteadyClock::now() + drain;
    Stopping = true;
    Queue.enqueue(WakeUp{});
    Worker.join();
    std::vector<Job> late;
    while (Queue.try_dequeue_bulk(std::back_inserter(late), MaxJobsPerReceive) >
           0) {
    }
    for (auto &job : late)
      if (auto *claim = std::get_if<PendingClaim>(&job))
        Batches.refuse(*claim, core::ErrorCode::Draining,
                       "this host is stopping");
  }

  /// @brief Counters.
  const ClaimStoreStats &stats() const { return Stats; }

private:
  /// Ends a wait of the claim thread for jobs.
  struct WakeUp {};
  using Job = std::variant<PendingClaim, PendingChange, WakeUp>;

  static constexpr std::chrono::milliseconds MaxIdleWait{100};
  static constexpr std::size_t MaxJobsPerReceive = 256;

  void run() {
    while (!finished()) {
      receive();
      Batches.answerOverdue();
      Pacer.setRate(WriteRate);
      const auto now = SteadyClock::now();
      if (now < Pacer.next())
        continue;
      if (const auto document = Batches.oldestReady(now))
        commit(*document);
      else
        sweep(now);
    }
    Batches.discardAll();
  }

  bool finished() const {
    return Stopping && (SteadyClock::now() >= StopBy.load() ||
                        (Batches.empty() && Queue.size_approx() == 0));
  }

  void receive() {
    std::vector<Job> jobs;
    jobs.reserve(MaxJobsPerReceive);
    Queue.wait_dequeue_bulk_timed(std::back_inserter(jobs), MaxJobsPerReceive,
                                  timeToNextEvent());
    for (auto &job : jobs) {
      if (auto *claim = std::get_if<PendingClaim>(&job))
        Batches.add(std::move(*claim));
      else if (auto *change = std::get_if<PendingChange>(&job))
        Batches.add(std::move(*change));
    }
  }

  std::chrono::microseconds timeToNextEvent() const {
    const auto now = SteadyClock::now();
    const auto next = Batches.nextEvent(now + MaxIdleWait, Pacer.next());
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::max(next - now, core::Duration::zero()));
  }

  /// Makes one read and, if the document changes, one compare-and-swap. If the
  /// document was changed by another host or the reply was lost, the batch
  /// stays pending and the document is read again.
  void commit(const core::ClaimDocumentName &document) {
    if (!EraConfirmed || Recorded.StoreEra != Kv.era())
      return confirmEra();
    ++Stats.Reads;
    const auto entry = Kv.get(document.path(), Options.StoreTimeout);
    if (!entry) {
      Pacer.spend(SteadyClock::now(), false);
      return Batches.onStoreDown();
    }
    // The contents may be of another era than the record.
    if (Kv.era() != Recorded.StoreEra)
      return confirmEra();
    auto contents = *entry ? core::ClaimDocument::parse((*entry)->Value)
                           : core::Result<core::ClaimDocument>();
    Pacer.spend(SteadyClock::now(), contents.has_value());
    if (!contents)
      return Batches.onUnreadable(document);
    const auto results = Batches.propose(document, *contents, lostBefore());
    if (!contents->isModified())
      return Batches.onStored(document, results);
    const auto revision = *entry ? (*entry)->ModRevision : NoItem;
    writeDocument(document, contents->dump(), revision, results);
  }

  void writeDocument(const core::ClaimDocumentName &document,
                     const std::string &value, Revision revision,
                     const std::vector<core::ClaimResult> &results) {
    ++Stats.Writes;
    const auto stored = Kv.compareAndSet(document.path(), value, revision,
                                         Options.StoreTimeout);
    const bool sameEra = Kv.era() == Recorded.StoreEra;
    if (stored && *stored && sameEra)
      return Batches.onStored(document, results);
    // A conflict may be one with the record of a new era.
    EraConfirmed = false;
    // A write that took effect in a new era counts as one with a lost reply.
    const bool mayBeStored =
        stored ? *stored
               : stored.error().Code == core::ErrorCode::OutcomeUnknown;
    if (mayBeStored)
      Batches.onLostReply(document, results);
    else if (stored)
      ++Stats.Conflicts;
    else
      Batches.onStoreDown();
  }

  /// Reads the record of the store's era, on which all writes of documents
  /// depend: without it a write that was read for in one era could replace a
  /// document of the next one.
  void confirmEra() {
    ++Stats.Reads;
    Kv.guardWrites(std::nullopt);
    auto recorded =
        store::confirmEra(Kv, Options.WallClock(), Options.StoreTimeout);
    Pacer.spend(SteadyClock::now(), false);
    if (!recorded)
      return Batches.onStoreDown();
    Recorded = *recorded;
    EraConfirmed = true;
    Kv.guardWrites(StoreTransaction::Expected{EraRecordKey, Recorded.At});
  }

  /// The store may have lost claims of keys that were made before this.
  core::WallTime lostBefore() const {
    return Recorded.NoticedAt == core::WallTime()
               ? core::WallTime()
               : Recorded.NoticedAt + Options.Limits.MaxClockSkew;
  }

  /// Deletes expired documents while no batch is ready. Each host picks windows
  /// at random, so that hosts need no coordination and no window is left out
  /// for long.
  void sweep(core::TimePoint now) {
    if (!ExpiredDocuments.empty()) {
      const StoredItem entry = std::move(ExpiredDocuments.back());
      ExpiredDocuments.pop_back();
      ++Stats.Writes;
      Pacer.spend(now, true);
      if (Kv.compareAndDelete(entry.Key, entry.ModRevision,
                              Options.StoreTimeout)
              .value_or(false))
        ++Stats.DocumentsDeleted;
      return;
    }
    if (now < NextSweep)
      return;
    NextSweep = now + Options.SweepInterval;
    std::uniform_int_distribution<std::int64_t> back(
        0, Options.SweepLookback / Options.Limits.WindowLength);
    const auto window =
        core::newestExpiredWindow(Options.WallClock(), Options.Limits) -
        back(Random);
    ++Stats.Reads;
    Pacer.spend(now, false);
    if (auto found = Kv.list(core::windowPrefix(window), Options.StoreTimeout))
      ExpiredDocuments = std::move(*found);
  }

  Store Kv;
  const ClaimStoreOptions Options;
  std::mt19937_64 Random;
  const std::string AttemptPrefix;
  std::atomic<std::uint64_t> LastAttempt{0};
  std::atomic<double> WriteRate;
  ClaimStoreStats Stats;
  moodycamel::BlockingConcurrentQueue<Job> Queue;
  std::atomic<bool> Stopping{false};
  std::atomic<core::TimePoint> StopBy{core::TimePoint()};
  // Used by the claim thread only, except as noted in ClaimBatches.
  ClaimBatches Batches{Options, Stats};
  std::vector<StoredItem> ExpiredDocuments;
  RecordedEra Recorded;
  bool EraConfirmed = false;
  WritePacer Pacer;
  core::TimePoint NextSweep;
  std::thread Worker;
};

} // namespace savorytrestle::store

#endif
