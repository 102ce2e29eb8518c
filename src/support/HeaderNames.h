#ifndef SAVORYTRESTLE_SUPPORT_HEADER_NAMES_H
#define SAVORYTRESTLE_SUPPORT_HEADER_NAMES_H

/// @file
/// @brief Names of the headers that callers and leaves use; an adapter gives
/// them, so that the data path knows only what they mean.

#include <string>

namespace savorytrestle::support {

/// @brief The names, as they stand on the wire.
struct HeaderNames {
  /// Identity of one attempt of a caller; leaves echo it.
  std::string RequestId;
  /// Time that the sender still waits, in whole milliseconds.
  std::string Deadline;
  /// Signature by which a caller checks that a leaf made the answer.
  std::string LeafSignature;
  /// Identity of the leaf that a request is meant for.
  std::string ExpectedLeaf;
  /// Identity of the leaf that answers.
  std::string LeafId;
  /// Load that the leaf tells: "running,waiting,slots".
  std::string LeafLoad;
  /// Present when the leaf has not executed the request.
  std::string NotExecuted;
  /// Signatures of the parts in an answer, separated by commas.
  std::string PartSignatures;
  /// Number of shards that an answer leaves out.
  std::string MissingShards;
};

} // namespace savorytrestle::support

#endif
