#ifndef SAVORYTRESTLE_CORE_CLAIM_DOCUMENT_H
#define SAVORYTRESTLE_CORE_CLAIM_DOCUMENT_H

/// @file
/// @brief Store document that holds the claims and outcomes of writes, and the
/// changes that may be made to it.

#include <cstdint>
#include <map>
#include <string>

#include "savorytrestle/core/WriteKey.h"

namespace savorytrestle::core {

/// @brief Ordinal of a send of one key; the caller counts its sends from 1.
using SendNumber = std::uint32_t;

/// @brief Retry-After of a refused or unfinished write.
inline constexpr std::chrono::milliseconds WriteRetryAfter{1000};

/// @brief Send number of a request that carries none.
inline constexpr SendNumber UnknownSend = 0;

/// @brief Outcome of a dispatched write.
struct WriteOutcome {
  /// Ran if a backend server replied, otherwise Unknown.
  RunState Run = RunState::Unknown;
  /// Reply body of the backend server.
  std::string Body;
  /// False when only BodyDigest is stored, because Body was too long, not
  /// UTF-8, or the document too large.
  bool BodyKept = true;
  /// Digest of the reply body; set when BodyKept is false.
  std::string BodyDigest;
};

/// @brief Request of a host to dispatch the write of a key.
struct ClaimRequest {
  WriteKey Key;
  /// @ref requestDigest of route and body.
  std::string Digest;
  /// Attempt id, unique across hosts, restarts and requests.
  std::string Attempt;
  SendNumber Send = UnknownSend;
};

/// @brief Adapts the error of a send that was refused before its claim: only
/// the first send of a key proves that the write has not run, since another
/// host may have dispatched an earlier send.
/// @param error the error
/// @param send number of the refused send
/// @return the error, with run state Unknown instead of NotRun where that isn't
/// proved
Error withProvenRunState(Error error, SendNumber send);

/// @brief Makes the error for a write whose claim could not be confirmed.
///
/// Its run state is that of @ref withProvenRunState.
/// @param request the claim, which is never dispatched
/// @param code kind of the failure
/// @param message human-readable reason
/// @return the error with run state and Retry-After
Error unconfirmedClaimError(const ClaimRequest &request, ErrorCode code,
                            std::string message);

/// @brief State of a key.
enum class ClaimState {
  Claimed,  ///< the claiming attempt may have been dispatched
  Released, ///< no attempt so far has been or will be dispatched
  Finished, ///< the outcome is final
};

/// @brief Stored entry of one key.
struct ClaimEntry {
  ClaimState State = ClaimState::Claimed;
  /// Attempt that claimed or released the key last.
  std::string Attempt;
  /// @ref requestDigest of route and body.
  std::string Digest;
  /// Highest send number answered with "not run"; sends up to this one must
  /// not be dispatched.
  SendNumber ClosedSend = UnknownSend;
  /// Set when State is Finished.
  WriteOutcome Outcome;
};

/// @brief Decision on a claim.
enum class ClaimDecision {
  Granted,    ///< this attempt, and no other, may be dispatched
  Finished,   ///< the outcome is final
  InProgress, ///< another attempt may have been dispatched
  Closed,     ///< this or a later send was answered with "not run"
  Lost,       ///< the store may have lost what it knew of the key
  KeyReused,  ///< the key was used for a request with another digest
  Full,       ///< the document has reached its size limit for claims
};

/// @brief Decision on a claim, with the outcome of a finished key.
struct ClaimResult {
  ClaimDecision Decision = ClaimDecision::InProgress;
  WriteOutcome Outcome;
};

/// @brief Makes the answer to a write that must not be dispatched.
/// @param request the claim
/// @param result the decision on it, other than Granted
/// @return the stored outcome, or an error whose run state is proved
Result<WriteOutcome> resultWithoutDispatch(const ClaimRequest &request,
                                           const ClaimResult &result);

/// @brief Claims of one document.
///
/// A change takes effect only once the document has been written by
/// compare-and-swap; until then it is a proposal.
class ClaimDocument {
public:
  /// @brief Parses a stored document.
  /// @param text the stored value
  /// @return the document, or Internal when the value is malformed; O(text)
  static Result<ClaimDocument> parse(const std::string &text);

  /// @brief Serializes the document.
  /// @return the value to store; O(entries)
  std::string dump() const;

  /// @brief Decides on the claim of a key that was made before the store came
  /// back from an older copy: only a stored outcome is known.
  /// @param request the claim
  /// @return Finished, KeyReused or Lost
  ClaimResult claimAfterLoss(const ClaimRequest &request) const;

  /// @brief Proposes a claim. An attempt that already holds the claim is
  /// granted it again.
  /// @param request the claim
  /// @param limits size limits
  /// @return the decision; Granted takes effect once the document is stored
  ClaimResult claim(const ClaimRequest &request, const WriteLimits &limits);

  /// @brief Proposes the outcome of a claimed attempt.
  /// @param request the claim
  /// @param outcome the outcome of the write
  /// @param limits limits on kept bodies
  /// @return false, without effect, unless the key is claimed or finished by
  /// this attempt
  bool recordOutcome(const ClaimRequest &request, WriteOutcome outcome,
                     const WriteLimits &limits);

  /// @brief Proposes the outcome of an attempt whose claim the store may have
  /// lost with its return from an older copy. No other attempt is granted such
  /// a key.
  /// @param request the claim
  /// @param outcome the outcome of the write
  /// @param limits limits on kept bodies
  void restoreOutcome(const ClaimRequest &request, WriteOutcome outcome,
                      const WriteLimits &limits);

  /// @brief Proposes to release the claim of an attempt that was not
  /// dispatched.
  ///
  /// An absent key gets a released entry as well: it rejects a claim of the
  /// same attempt that is written later.
  /// @param request the claim
  /// @return false, without effect, if the entry is another attempt's or the
  /// outcome is final
  bool releaseClaim(const ClaimRequest &request);

  /// @brief Whether the document differs from the stored value it was parsed
  /// from.
  /// @return true if the document must be written
  bool isModified() const { return Modified; }

  /// @brief Finds the entry of a key.
  /// @param key the key
  /// @return the entry, or nullptr when absent
  const ClaimEntry *find(const WriteKey &key) const;

  /// @brief Estimated size of the stored value.
  /// @return size in bytes; O(1)
  std::size_t sizeBytes() const { return Bytes; }

private:
  void finish(const ClaimRequest &request, ClaimEntry entry,
              WriteOutcome outcome, const WriteLimits &limits);
  ClaimEntry &setEntry(const std::string &name, ClaimEntry entry);

  std::map<std::string, ClaimEntry> Entries;
  std::size_t Bytes = 0;
  bool Modified = false;
};

} // namespace savorytrestle::core

#endif
