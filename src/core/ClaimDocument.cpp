#include "savorytrestle/core/ClaimDocument.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace savorytrestle::core {

namespace {

using nlohmann::json;

// Field names, punctuation and digests of one entry in the JSON text.
constexpr std::size_t EntryOverheadBytes = 160;

NLOHMANN_JSON_SERIALIZE_ENUM(ClaimState, {{ClaimState::Claimed, "claimed"},
                                          {ClaimState::Released, "released"},
                                          {ClaimState::Finished, "finished"}})

std::size_t estimatedBytes(const std::string &name, const ClaimEntry &entry) {
  return EntryOverheadBytes + name.size() + entry.Attempt.size() +
         entry.Outcome.Body.size();
}

json toJson(const ClaimEntry &entry) {
  json item = {{"state", entry.State},
               {"attempt", entry.Attempt},
               {"digest", entry.Digest}};
  if (entry.ClosedSend != UnknownSend)
    item["closed_send"] = entry.ClosedSend;
  if (entry.State != ClaimState::Finished)
    return item;
  const auto &outcome = entry.Outcome;
  item["run"] = name(outcome.Run);
  if (outcome.Run != RunState::Ran)
    return item;
  if (outcome.BodyKept)
    item["body"] = outcome.Body;
  else
    item["body_digest"] = outcome.BodyDigest;
  return item;
}

WriteOutcome parseOutcome(const json &item) {
  WriteOutcome outcome;
  if (item.value("run", "") != name(RunState::Ran))
    return outcome;
  outcome.Run = RunState::Ran;
  outcome.BodyKept = item.contains("body");
  outcome.Body = item.value("body", "");
  outcome.BodyDigest = item.value("body_digest", "");
  return outcome;
}

ClaimEntry parseEntry(const json &item) {
  ClaimEntry entry;
  entry.State = item.at("state").get<ClaimState>();
  entry.Attempt = item.at("attempt").get<std::string>();
  entry.Digest = item.at("digest").get<std::string>();
  entry.ClosedSend = item.value("closed_send", UnknownSend);
  if (entry.State == ClaimState::Finished)
    entry.Outcome = parseOutcome(item);
  return entry;
}

std::string bodyDigest(const std::string &body) {
  return requestDigest("", body);
}

// JSON can hold only UTF-8; strict serialization throws on other bytes.
bool isUtf8(const std::string &body) {
  try {
    return !json(body).dump().empty();
  } catch (const json::exception &) {
    return false;
  }
}

} // namespace

Error withProvenRunState(Error error, SendNumber send) {
  if (error.Run == RunState::NotRun && send != 1)
    error.Run = RunState::Unknown;
  return error;
}

Error unconfirmedClaimError(const ClaimRequest &request, ErrorCode code,
                            std::string message) {
  return withProvenRunState(
      {code, std::move(message), RunState::NotRun, WriteRetryAfter},
      request.Send);
}

Result<WriteOutcome> resultWithoutDispatch(const ClaimRequest &request,
                                           const ClaimResult &result) {
  const auto error = [](ErrorCode code, std::string message, RunState run) {
    return tl::unexpected<Error>(
        Error{code, std::move(message), run, WriteRetryAfter});
  };
  switch (result.Decision) {
  case ClaimDecision::Finished:
    if (result.Outcome.Run == RunState::Ran)
      return result.Outcome;
    // Final, so there is no Retry-After: a retry gets the same answer.
    return tl::unexpected<Error>(
        Error{ErrorCode::OutcomeUnknown,
              "it is not known whether the write was executed",
              RunState::Unknown,
              {}});
  case ClaimDecision::Lost:
    return tl::unexpected<Error>(
        Error{ErrorCode::OutcomeUnknown,
              "the store came back from an older copy: it is not known whether "
              "the write was executed",
              RunState::Unknown,
              {}});
  case ClaimDecision::Closed:
    return error(ErrorCode::Overloaded, "the write was not run",
                 RunState::NotRun);
  case ClaimDecision::KeyReused:
    return tl::unexpected<Error>(
        Error{ErrorCode::Conflict,
              "Idempotency-Key was already used for another request",
              RunState::Unknown,
              {}});
  case ClaimDecision::Full:
    return tl::unexpected(
        unconfirmedClaimError(request, ErrorCode::Overloaded,
                              "the claim document has reached its size limit"));
  case ClaimDecision::Granted:
  case ClaimDecision::InProgress:
    break;
  }
  return error(ErrorCode::OutcomeUnknown,
               "another request with this Idempotency-Key may be running",
               RunState::Unknown);
}

Result<ClaimDocument> ClaimDocument::parse(const std::string &text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object())
    return makeError(ErrorCode::Internal,
                     "claim document is not a JSON object");
  ClaimDocument claims;
  // The accessors throw on a missing field or wrong type. A document with a
  // malformed entry is rejected as a whole, since writing it back would lose
  // that entry.
  try {
    for (const auto &[name, item] : document.items())
      claims.setEntry(name, parseEntry(item));
  } catch (const json::exception &ex) {
    return makeError(ErrorCode::Internal, ex.what());
  }
  claims.Modified = false;
  return claims;
}

std::string ClaimDocument::dump() const {
  json document = json::object();
  for (const auto &[name, entry] : Entries)
    document[name] = toJson(entry);
  // Workspace names and bodies are UTF-8 already; the replace handler only
  // ensures that dump() does not throw.
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

ClaimResult ClaimDocument::claimAfterLoss(const ClaimRequest &request) const {
  const ClaimEntry *found = find(request.Key);
  if (found != nullptr && found->Digest != request.Digest)
    return {ClaimDecision::KeyReused, {}};
  // A claim or a release in the copy may have been followed by another one.
  if (found != nullptr && found->State == ClaimState::Finished)
    return {ClaimDecision::Finished, found->Outcome};
  return {ClaimDecision::Lost, {}};
}

ClaimResult ClaimDocument::claim(const ClaimRequest &request,
                                 const WriteLimits &limits) {
  const ClaimEntry *found = find(request.Key);
  if (found == nullptr) {
    if (Bytes >= limits.MaxDocumentBytesForClaims)
      return {ClaimDecision::Full, {}};
    setEntry(request.Key.entryName(), {ClaimState::Claimed,
                                       request.Attempt,
                                       request.Digest,
                                       UnknownSend,
                                       {}});
    return {ClaimDecision::Granted, {}};
  }
  if (found->Digest != request.Digest)
    return {ClaimDecision::KeyReused, {}};
  if (found->State == ClaimState::Finished)
    return {ClaimDecision::Finished, found->Outcome};
  if (found->State == ClaimState::Claimed)
    return {found->Attempt == request.Attempt ? ClaimDecision::Granted
                                              : ClaimDecision::InProgress,
            {}};
  // Sends up to ClosedSend were answered with "not run", so none of them may be
  // dispatched afterwards.
  const bool isNumbered = request.Send != UnknownSend;
  if (found->Attempt == request.Attempt ||
      (isNumbered && request.Send <= found->ClosedSend))
    return {ClaimDecision::Closed, {}};
  setEntry(request.Key.entryName(), {ClaimState::Claimed,
                                     request.Attempt,
                                     request.Digest,
                                     found->ClosedSend,
                                     {}});
  return {ClaimDecision::Granted, {}};
}

bool ClaimDocument::recordOutcome(const ClaimRequest &request,
                                  WriteOutcome outcome,
                                  const WriteLimits &limits) {
  const ClaimEntry *found = find(request.Key);
  if (found == nullptr || found->Attempt != request.Attempt ||
      found->State == ClaimState::Released)
    return false;
  if (found->State == ClaimState::Finished)
    return true;
  finish(request, *found, std::move(outcome), limits);
  return true;
}

void ClaimDocument::restoreOutcome(const ClaimRequest &request,
                                   WriteOutcome outcome,
                                   const WriteLimits &limits) {
  const ClaimEntry *found = find(request.Key);
  if (found != nullptr &&
      (found->State == ClaimState::Finished || found->Digest != request.Digest))
    return;
  finish(request,
         {ClaimState::Claimed,
          request.Attempt,
          request.Digest,
          found == nullptr ? UnknownSend : found->ClosedSend,
          {}},
         std::move(outcome), limits);
}

void ClaimDocument::finish(const ClaimRequest &request, ClaimEntry entry,
                           WriteOutcome outcome, const WriteLimits &limits) {
  if (outcome.Body.size() > limits.MaxKeptBodyBytes ||
      Bytes >= limits.MaxDocumentBytesForBodies || !isUtf8(outcome.Body)) {
    outcome.BodyDigest = bodyDigest(outcome.Body);
    outcome.BodyKept = false;
    outcome.Body.clear();
  }
  entry.State = ClaimState::Finished;
  entry.Outcome = std::move(outcome);
  setEntry(request.Key.entryName(), std::move(entry));
}

bool ClaimDocument::releaseClaim(const ClaimRequest &request) {
  const ClaimEntry *found = find(request.Key);
  if (found != nullptr && (found->Attempt != request.Attempt ||
                           found->State == ClaimState::Finished))
    return false;
  if (found != nullptr && found->State == ClaimState::Released)
    return true;
  const auto closedSend = found == nullptr ? UnknownSend : found->ClosedSend;
  setEntry(request.Key.entryName(), {ClaimState::Released,
                                     request.Attempt,
                                     request.Digest,
                                     std::max(closedSend, request.Send),
                                     {}});
  return true;
}

const ClaimEntry *ClaimDocument::find(const WriteKey &key) const {
  const auto it = Entries.find(key.entryName());
  return it == Entries.end() ? nullptr : &it->second;
}

ClaimEntry &ClaimDocument::setEntry(const std::string &name, ClaimEntry entry) {
  auto &slot = Entries[name];
  if (!slot.Attempt.empty())
    Bytes -= estimatedBytes(name, slot);
  slot = std::move(entry);
  Bytes += estimatedBytes(name, slot);
  Modified = true;
  return slot;
}

} // namespace savorytrestle::core
