#include "store/ClaimBatches.h"

#include <iterator>

#include "support/Log.h"

namespace savorytrestle::store {

using core::ClaimDecision;
using core::ErrorCode;
using SteadyClock = std::chrono::steady_clock;

bool ClaimBatches::tryReserve() {
  if (PendingClaimCount.fetch_add(1) < Options.MaxPending)
    return true;
  --PendingClaimCount;
  return false;
}

void ClaimBatches::refuse(const PendingClaim &claim, ErrorCode code,
                          std::string message) {
  ++Stats.Refused;
  claim.Done(tl::unexpected(
      core::unconfirmedClaimError(claim.Request, code, std::move(message))));
}

void ClaimBatches::add(PendingClaim claim) {
  auto &batch = batchOf(claim.Request);
  // A caller waits for the claim: the batch is tried immediately even if its
  // changes wait for the end of a store outage.
  batch.NotBefore = {};
  batch.Claims.push_back(std::move(claim));
}

void ClaimBatches::add(PendingChange change) {
  batchOf(change.Request).Changes.push_back(std::move(change));
}

ClaimBatch &ClaimBatches::batchOf(const core::ClaimRequest &request) {
  auto &batch = Batches[core::claimDocumentName(request.Key, Options.Limits)];
  if (batch.empty())
    batch.OldestArrival = SteadyClock::now();
  return batch;
}

core::TimePoint ClaimBatches::nextEvent(core::TimePoint latest,
                                        core::TimePoint paced) const {
  for (const auto &[name, batch] : Batches)
    latest = std::min(batch.earliestDeadline(latest),
                      std::max(batch.NotBefore, paced));
  return latest;
}

std::optional<core::ClaimDocumentName>
ClaimBatches::oldestReady(core::TimePoint now) const {
  auto oldest = Batches.end();
  for (auto it = Batches.begin(); it != Batches.end(); ++it)
    if (it->second.NotBefore <= now &&
        (oldest == Batches.end() ||
         it->second.OldestArrival < oldest->second.OldestArrival))
      oldest = it;
  return oldest == Batches.end() ? std::nullopt : std::optional(oldest->first);
}

std::vector<core::ClaimResult>
ClaimBatches::propose(const core::ClaimDocumentName &document,
                      core::ClaimDocument &contents,
                      core::WallTime lostBefore) const {
  const auto &batch = Batches.at(document);
  for (const auto &change : batch.Changes) {
    if (change.Outcome && change.Request.Key.CreatedAt < lostBefore)
      contents.restoreOutcome(change.Request, *change.Outcome, Options.Limits);
    else if (change.Outcome)
      contents.recordOutcome(change.Request, *change.Outcome, Options.Limits);
    else
      contents.releaseClaim(change.Request);
  }
  std::vector<core::ClaimResult> results;
  results.reserve(batch.Claims.size());
  for (const auto &claim : batch.Claims)
    results.push_back(claim.Request.Key.CreatedAt < lostBefore
                          ? contents.claimAfterLoss(claim.Request)
                          : contents.claim(claim.Request, Options.Limits));
  return results;
}

void ClaimBatches::onStored(const core::ClaimDocumentName &document,
                            const std::vector<core::ClaimResult> &results) {
  ClaimBatch batch = std::move(Batches.extract(document).mapped());
  for (auto &change : batch.Changes)
    change.complete({});
  for (std::size_t i = 0; i < batch.Claims.size(); ++i) {
    if (results[i].Decision == ClaimDecision::Granted)
      grant(batch.Claims[i]);
    else
      answer(batch.Claims[i], results[i]);
  }
}

// A pause of the process before this point may have lasted past the deadline.
// The document may even have expired and been created again, so the key's age
// is checked once more.
void ClaimBatches::grant(const PendingClaim &claim) {
  const auto age =
      core::checkKeyAge(claim.Request.Key, Options.WallClock(), Options.Limits);
  if (age && SteadyClock::now() < claim.Deadline) {
    ++Stats.Granted;
    return answer(claim, core::ClaimResult{ClaimDecision::Granted, {}});
  }
  abandon(claim.Request);
  if (!age)
    return answer(claim, tl::unexpected(age.error()));
  // The key is claimed by this attempt, so no other one was dispatched.
  answer(claim, tl::unexpected(core::Error{
                    ErrorCode::DeadlineExceeded,
                    "the deadline passed before the write could be dispatched",
                    core::RunState::NotRun, core::WriteRetryAfter}));
}

void ClaimBatches::abandon(const core::ClaimRequest &request) {
  ++Stats.Abandoned;
  add(PendingChange{request, {}, {}, nullptr});
}

void ClaimBatches::answer(const PendingClaim &claim,
                          core::Result<core::ClaimResult> result) {
  --PendingClaimCount;
  claim.Done(std::move(result));
}

void ClaimBatches::refusePending(const PendingClaim &claim, ErrorCode code,
                                 std::string message) {
  --PendingClaimCount;
  if (claim.MayBeStored)
    abandon(claim.Request);
  refuse(claim, code, std::move(message));
}

void ClaimBatches::refuseClaims(ClaimBatch &batch, ErrorCode code,
                                const std::string &message) {
  for (const auto &claim : std::exchange(batch.Claims, {}))
    refusePending(claim, code, message);
}

void ClaimBatches::onLostReply(const core::ClaimDocumentName &document,
                               const std::vector<core::ClaimResult> &results) {
  ++Stats.LostReplies;
  auto &batch = Batches.at(document);
  for (std::size_t i = 0; i < batch.Claims.size(); ++i)
    if (results[i].Decision == ClaimDecision::Granted)
      batch.Claims[i].MayBeStored = true;
}

void ClaimBatches::onStoreDown() {
  for (auto &[name, batch] : Batches) {
    refuseClaims(batch, ErrorCode::StoreUnavailable,
                 "the claim can't be confirmed: a store call failed");
    // The outcome of a key past its retention can't be requested any more.
    std::erase_if(batch.Changes, [this](const auto &change) {
      return !core::checkKeyAge(change.Request.Key, Options.WallClock(),
                                Options.Limits);
    });
    for (auto &change : batch.Changes)
      change.complete(core::makeError(
          ErrorCode::StoreUnavailable,
          "the outcome is not stored yet: a store call failed"));
    batch.NotBefore = SteadyClock::now() + Options.RetryPause;
  }
  eraseEmpty();
}

void ClaimBatches::onUnreadable(const core::ClaimDocumentName &document) {
  support::LogLine("claim_document_unreadable")
      .with("document", document.path());
  auto &batch = Batches.at(document);
  refuseClaims(batch, ErrorCode::Internal, "the claim document is malformed");
  for (auto &change : batch.Changes)
    change.complete(core::makeError(ErrorCode::Internal,
                                    "the claim document is malformed"));
  batch.NotBefore = SteadyClock::now() + Options.RetryPause;
  eraseEmpty();
}

void ClaimBatches::answerOverdue() {
  const auto now = SteadyClock::now();
  for (auto &[name, batch] : Batches) {
    refuseOverdue(batch, now);
    for (auto &change : batch.Changes)
      if (change.AnswerBy <= now)
        change.complete(core::makeError(ErrorCode::DeadlineExceeded,
                                        "the outcome was not stored in time"));
  }
  eraseEmpty();
}

void ClaimBatches::refuseOverdue(ClaimBatch &batch, core::TimePoint now) {
  const auto late = std::stable_partition(
      batch.Claims.begin(), batch.Claims.end(),
      [now](const auto &claim) { return now < claim.Deadline; });
  std::vector<PendingClaim> overdue;
  std::move(late, batch.Claims.end(), std::back_inserter(overdue));
  batch.Claims.erase(late, batch.Claims.end());
  for (const auto &claim : overdue)
    refusePending(claim, ErrorCode::DeadlineExceeded,
                  "the claim was not confirmed before the deadline");
}

void ClaimBatches::discardAll() {
  for (auto &[name, batch] : Batches) {
    refuseClaims(batch, ErrorCode::Draining, "this host is stopping");
    if (!batch.Changes.empty())
      support::LogLine("write_changes_dropped")
          .with("document", name.path())
          .with("count", batch.Changes.size());
  }
  Batches.clear();
}

void ClaimBatches::eraseEmpty() {
  std::erase_if(Batches, [](const auto &it) { return it.second.empty(); });
}

} // namespace savorytrestle::store
