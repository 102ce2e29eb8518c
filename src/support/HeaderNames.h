#ifndef SAVORYTRESTLE_SUPPORT_HEADER_NAMES_H
#define SAVORYTRESTLE_SUPPORT_HEADER_NAMES_H

/// @file
/// @brief Names of the headers that callers and leaves use. The platform
/// adapter sets them; request handling does not depend on the spelling.

#include <string>

namespace savorytrestle::support {

/// @brief The header names on the wire.
struct HeaderNames {
  /// Id of one attempt of a caller; leaves echo it.
  std::string RequestId;
  /// Remaining time until the sender's deadline, in whole milliseconds.
  std::string Deadline;
  /// Signature with which a caller verifies that a leaf made the answer.
  std::string LeafSignature;
  /// Id of the leaf that a request is addressed to.
  std::string ExpectedLeaf;
  /// Id of the leaf that answers.
  std::string LeafId;
  /// Load that the leaf reports: "running,waiting,slots".
  std::string LeafLoad;
  /// Present when the leaf has not executed the request.
  std::string NotExecuted;
  /// "1" in answers of a leaf that is shutting down.
  std::string LeafLeaving;
  /// Requests a second that the leaf takes from all hosts together.
  std::string LeafRateLimit;
  /// Signatures of the parts in an answer, separated by commas.
  std::string PartSignatures;
  /// Number of shards that an answer leaves out.
  std::string MissingShards;
  /// Name of the caller's workspace, for leaves.
  std::string Workspace;
};

} // namespace savorytrestle::support

#endif
