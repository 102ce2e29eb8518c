#ifndef SAVORYTRESTLE_CORE_CLAIM_DOCUMENT_H
#define SAVORYTRESTLE_CORE_CLAIM_DOCUMENT_H

/// @file
/// @brief The store document that holds claims and outcomes of writes, and the
/// only changes that may be made to it.

#include <cstdint>
#include <map>
#include <string>

#include "savorytrestle/core/WriteKey.h"

namespace savorytrestle::core {

/// @brief Ordinal of a send of one key, counted by its caller from 1.
using SendNumber = std::uint32_t;

/// @brief When to come back after a refused or unfinished write.
inline constexpr std::chrono::milliseconds WriteRetryAfter{1000};

/// @brief The caller did not say which send this is.
inline constexpr SendNumber UnknownSend = 0;

/// @brief How a dispatched write ended.
struct WriteOutcome {
  /// Ran when a backend server replied, else Unknown.
  RunState Run = RunState::Unknown;
  /// The backend server's result.
  std::string Body;
  /// False when Body was too long to keep; BodyDigest still tells it.
  bool BodyKept = true;
  std::string BodyDigest;
};

/// @brief One host's wish to dispatch a key once.
struct ClaimRequest {
  WriteKey Key;
  /// @ref requestDigest of route and body.
  std::string Digest;
  /// Unique over all hosts, their restarts and their requests.
  std::string Attempt;
  SendNumber Send = UnknownSend;
};

/// @brief The refusal of a write whose claim could not be confirmed. Only a
/// first send is known not to have run: an earlier one may have been dispatched
/// by another host.
/// @param request the claim, which is never dispatched
/// @param code why
/// @param message human-readable reason
/// @return the error with its run state and Retry-After
Error unconfirmedClaimError(const ClaimRequest &request, ErrorCode code,
                            std::string message);

/// @brief Where a key stands.
enum class ClaimState {
  Claimed,  ///< its attempt may have been dispatched
  Released, ///< no attempt so far has been or will be dispatched
  Finished, ///< the outcome is final
};

/// @brief What the store keeps of one key.
struct ClaimEntry {
  ClaimState State = ClaimState::Claimed;
  std::string Attempt;
  std::string Digest;
  /// Sends up to this one have been told that the write was not run.
  SendNumber ClosedSend = UnknownSend;
  /// Set when finished.
  WriteOutcome Outcome;
};

/// @brief Answer to a claim.
enum class ClaimDecision {
  Granted,    ///< this attempt, and no other, may be dispatched
  Finished,   ///< the outcome is known
  InProgress, ///< another attempt may have been dispatched
  Closed,     ///< a later or equal send was told "not run"
  KeyReused,  ///< the key belongs to another request
  Full,       ///< the document takes no further claims
};

/// @brief A decision with the outcome, if there is one.
struct ClaimResult {
  ClaimDecision Decision = ClaimDecision::InProgress;
  WriteOutcome Outcome;
};

/// @brief What the caller of a write that must not be dispatched is told.
/// @param request the claim
/// @param result its decision, other than Granted
/// @return the first outcome, or an error with what is proved about the key
Result<WriteOutcome> resultWithoutDispatch(const ClaimRequest &request,
                                           const ClaimResult &result);

/// @brief Claims of one document.
///
/// A change holds only once the document has been written by compare-and-swap;
/// until then it is a proposal.
class ClaimDocument {
public:
  /// @brief Reads a document.
  /// @param text the stored value
  /// @return the bucket, or Internal when it can't be read; O(text)
  static Result<ClaimDocument> parse(const std::string &text);

  /// @brief Writes the document.
  /// @return the value to store; O(entries)
  std::string dump() const;

  /// @brief Proposes a claim. An attempt that holds its claim already is
  /// granted it again.
  /// @param request the claim
  /// @param limits size bounds
  /// @return the decision; Granted holds once the document is stored
  ClaimResult claim(const ClaimRequest &request, const WriteLimits &limits);

  /// @brief Proposes the outcome of a claimed attempt.
  /// @param request the claim
  /// @param outcome how it ended
  /// @param limits bounds on kept bodies
  /// @return whether the entry is the attempt's; without effect otherwise
  bool recordOutcome(const ClaimRequest &request, WriteOutcome outcome,
                     const WriteLimits &limits);

  /// @brief Proposes to give up an attempt that was never dispatched. An absent
  /// key gets an entry too, which stops a claim that is still under way.
  /// @param request the claim
  /// @return whether the entry is the attempt's; without effect otherwise
  bool releaseClaim(const ClaimRequest &request);

  /// @brief Whether a proposal differs from what was read.
  /// @return true if the document must be written
  bool isModified() const { return Modified; }

  /// @brief Looks a key up.
  /// @param key the key
  /// @return its entry, or nullptr
  const ClaimEntry *find(const WriteKey &key) const;

  /// @brief Estimated size of the stored value.
  /// @return bytes; O(1)
  std::size_t sizeBytes() const { return Bytes; }

private:
  ClaimEntry &setEntry(const std::string &name, ClaimEntry entry);

  std::map<std::string, ClaimEntry> Entries;
  std::size_t Bytes = 0;
  bool Modified = false;
};

} // namespace savorytrestle::core

#endif
