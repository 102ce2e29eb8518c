#ifndef SAVORYTRESTLE_STORE_CLAIM_BATCHES_H
#define SAVORYTRESTLE_STORE_CLAIM_BATCHES_H

/// @file
/// @brief Claims and changes that wait for their document, and who is told what
/// when the store answers, fails or leaves a reply out.

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/ClaimTypes.h"

namespace savorytrestle::store {

/// @brief A claim that waits for its decision.
struct PendingClaim {
  core::ClaimRequest Request;
  /// When it is refused if there is no decision yet.
  core::TimePoint Deadline;
  ClaimDone Done;
  /// A write that held it was sent and its reply lost.
  bool MayBeStored = false;
};

/// @brief An outcome or a release that waits to be stored.
struct PendingChange {
  core::ClaimRequest Request;
  /// Nothing for a release.
  std::optional<core::WriteOutcome> Outcome;
  /// When Done is told at the latest.
  core::TimePoint AnswerBy;
  ChangeDone Done;

  /// @brief Calls Done unless that was done before.
  /// @param result what to tell
  void complete(const core::Result<void> &result) {
    if (const auto done = std::exchange(Done, nullptr))
      done(result);
  }
};

/// @brief Everything that waits for one document.
struct ClaimBatch {
  std::vector<PendingClaim> Claims;
  std::vector<PendingChange> Changes;
  /// Arrival of the oldest member, for first come, first served.
  core::TimePoint OldestArrival;
  /// Not tried before this.
  core::TimePoint NotBefore;

  bool empty() const { return Claims.empty() && Changes.empty(); }

  /// @brief When somebody has to be told at the latest.
  /// @param latest returned when nobody has to be before it
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

/// @brief All that waits, by document; for the claim thread only, but for
/// @ref tryReserve and @ref refuse.
class ClaimBatches {
public:
  /// @brief Makes an empty set.
  /// @param options limits; must outlive this
  /// @param stats takes the counts; must outlive this
  ClaimBatches(const ClaimStoreOptions &options, ClaimStoreStats &stats)
      : Options(options), Stats(stats) {}

  /// @brief Takes one of the places for waiting claims; any thread.
  /// @return false when all are taken
  bool tryReserve();

  /// @brief Refuses a claim that holds no place; any thread.
  /// @param claim the claim
  /// @param code why
  /// @param message human-readable reason
  void refuse(const PendingClaim &claim, core::ErrorCode code,
              std::string message);

  /// @brief Adds a claim that holds a place.
  /// @param claim the claim
  void add(PendingClaim claim);

  /// @brief Adds an outcome or a release.
  /// @param change the change
  void add(PendingChange change);

  bool empty() const { return Batches.empty(); }

  /// @brief When something has to be done next.
  /// @param latest returned when there is nothing before it
  /// @param paced when the store may be called next
  /// @return the time; O(members)
  core::TimePoint nextEvent(core::TimePoint latest,
                            core::TimePoint paced) const;

  /// @brief The document that has waited longest.
  /// @param now current time
  /// @return its name, or nothing when none may be tried now
  std::optional<core::ClaimDocumentName> oldestReady(core::TimePoint now) const;

  /// @brief Applies a document's batch to what was read.
  /// @param document its name
  /// @param contents what was read, and then the proposal
  /// @return a verdict for each claim of the batch
  std::vector<core::ClaimResult>
  propose(const core::ClaimDocumentName &document,
          core::ClaimDocument &contents) const;

  /// @brief The proposal is stored: tells everybody.
  /// @param document the document
  /// @param results from @ref propose
  void onStored(const core::ClaimDocumentName &document,
                const std::vector<core::ClaimResult> &results);

  /// @brief The proposal may be stored: the batch stays, to be read again.
  /// @param document the document
  /// @param results from @ref propose
  void onLostReply(const core::ClaimDocumentName &document,
                   const std::vector<core::ClaimResult> &results);

  /// @brief The store can't be reached: refuses all claims now; changes are
  /// tried again after a pause.
  void onStoreDown();

  /// @brief The document can't be read: refuses its claims.
  /// @param document the document
  void onUnreadable(const core::ClaimDocumentName &document);

  /// @brief Refuses claims past their deadline and answers for late changes.
  void answerOverdue();

  /// @brief Refuses all claims and drops all changes.
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
  /// Claims that wait, here or on their way here.
  std::atomic<std::size_t> PendingClaimCount{0};
  std::map<core::ClaimDocumentName, ClaimBatch> Batches;
};

} // namespace savorytrestle::store

#endif
