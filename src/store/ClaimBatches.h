#ifndef SAVORYTRESTLE_STORE_CLAIM_BATCHES_H
#define SAVORYTRESTLE_STORE_CLAIM_BATCHES_H

/// @file
/// @brief Claims and changes that wait to be stored, grouped by document, and
/// their results when the store answers, fails or does not reply.

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/ClaimTypes.h"

namespace savorytrestle::store {

/// @brief A claim that waits for the decision on it.
struct PendingClaim {
  core::ClaimRequest Request;
  /// When it is refused if it has not been decided.
  core::TimePoint Deadline;
  ClaimDone Done;
  /// Whether a write that contained it was sent and its reply was lost.
  bool MayBeStored = false;
};

/// @brief An outcome or a release that waits to be stored.
struct PendingChange {
  core::ClaimRequest Request;
  /// Empty for a release.
  std::optional<core::WriteOutcome> Outcome;
  /// When Done is called at the latest; the change stays pending after that.
  core::TimePoint AnswerBy;
  ChangeDone Done;

  /// @brief Calls Done unless it has been called.
  /// @param result its argument
  void complete(const core::Result<void> &result) {
    if (const auto done = std::exchange(Done, nullptr))
      done(result);
  }
};

/// @brief All claims and changes that wait for one document.
struct ClaimBatch {
  std::vector<PendingClaim> Claims;
  std::vector<PendingChange> Changes;
  /// Arrival of the oldest member; batches are processed in this order.
  core::TimePoint OldestArrival;
  /// Earliest time of the next attempt.
  core::TimePoint NotBefore;

  bool empty() const { return Claims.empty() && Changes.empty(); }

  /// @brief When the next member has to be answered.
  /// @param latest returned if no member has to be answered before it
  /// @return the time; O(members)
  core::TimePoint earliestDeadline(core::TimePoint latest) const {
    for (const auto &claim : Claims)
      latest = std::min(latest, claim.Deadline);
    for (const auto &change : Changes)
      if (change.Done)
        latest = std::min(latest, change.AnswerBy);
    return latest;
  }
};

/// @brief The batches of all documents. Only @ref tryReserve and @ref refuse
/// are thread-safe; everything else is for the claim thread.
class ClaimBatches {
public:
  /// @brief Makes an empty set.
  /// @param options limits; must outlive this
  /// @param stats counters to increment; must outlive this
  ClaimBatches(const ClaimStoreOptions &options, ClaimStoreStats &stats)
      : Options(options), Stats(stats) {}

  /// @brief Reserves a place for a claim, of ClaimStoreOptions::MaxPending;
  /// thread-safe.
  /// @return false if all places are taken
  bool tryReserve();

  /// @brief Refuses a claim that has no place; thread-safe.
  /// @param claim the claim
  /// @param code kind of the failure
  /// @param message human-readable reason
  void refuse(const PendingClaim &claim, core::ErrorCode code,
              std::string message);

  /// @brief Adds a claim that has a place.
  /// @param claim the claim
  void add(PendingClaim claim);

  /// @brief Adds an outcome or a release.
  /// @param change the change
  void add(PendingChange change);

  bool empty() const { return Batches.empty(); }

  /// @brief When the next batch has to be processed or the next member
  /// answered.
  /// @param latest returned if there is nothing to do before it
  /// @param paced when the next store call is allowed
  /// @return the time; O(members)
  core::TimePoint nextEvent(core::TimePoint latest,
                            core::TimePoint paced) const;

  /// @brief The document whose batch has waited longest.
  /// @param now current time
  /// @return its name, or nothing if no batch may be processed now
  std::optional<core::ClaimDocumentName> oldestReady(core::TimePoint now) const;

  /// @brief Applies a document's batch to its contents.
  /// @param document name of the document
  /// @param contents the contents as read; receives the proposed ones
  /// @param lostBefore the store may have lost claims of keys made before this
  /// @return the decision on each claim of the batch
  std::vector<core::ClaimResult>
  propose(const core::ClaimDocumentName &document,
          core::ClaimDocument &contents, core::WallTime lostBefore) const;

  /// @brief The proposal is stored: completes the batch.
  /// @param document the document
  /// @param results from @ref propose
  void onStored(const core::ClaimDocumentName &document,
                const std::vector<core::ClaimResult> &results);

  /// @brief The reply was lost and the proposal may be stored: the batch stays
  /// pending and its document is read again.
  /// @param document the document
  /// @param results from @ref propose
  void onLostReply(const core::ClaimDocumentName &document,
                   const std::vector<core::ClaimResult> &results);

  /// @brief A store call failed: refuses all claims immediately; changes are
  /// tried again after a pause.
  void onStoreDown();

  /// @brief The document is malformed: refuses its claims.
  /// @param document the document
  void onUnreadable(const core::ClaimDocumentName &document);

  /// @brief Refuses claims past their deadline and reports changes that are not
  /// stored by theirs; these changes stay pending.
  void answerOverdue();

  /// @brief Refuses all claims and discards all changes.
  void discardAll();

private:
  ClaimBatch &batchOf(const core::ClaimRequest &request);
  void grant(const PendingClaim &claim);
  void abandon(const core::ClaimRequest &request);
  void answer(const PendingClaim &claim,
              core::Result<core::ClaimResult> result);
  void refusePending(const PendingClaim &claim, core::ErrorCode code,
                     std::string message);
  void refuseClaims(ClaimBatch &batch, core::ErrorCode code,
                    const std::string &message);
  void refuseOverdue(ClaimBatch &batch, core::TimePoint now);
  void eraseEmpty();

  const ClaimStoreOptions &Options;
  ClaimStoreStats &Stats;
  /// Number of places taken, by claims in Batches or in the queue to it.
  std::atomic<std::size_t> PendingClaimCount{0};
  std::map<core::ClaimDocumentName, ClaimBatch> Batches;
};

} // namespace savorytrestle::store

#endif
