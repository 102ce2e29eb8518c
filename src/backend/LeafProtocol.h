#ifndef SAVORYTRESTLE_BACKEND_LEAF_PROTOCOL_H
#define SAVORYTRESTLE_BACKEND_LEAF_PROTOCOL_H

/// @file
/// @brief Messages of the backend servers' HTTP/JSON interface.
///
/// POST /v1/search, POST /v1/write, POST /v1/cancel and GET /v1/status; see
/// docs/BACKEND.md for the bodies.

#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "backend/LeafTransport.h"
#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::backend {

/// @brief A sub-request of a search.
struct SearchMessage {
  std::string RequestId;
  core::AttemptId Attempt = 0;
  core::IndexVersion Version = 0;
  core::ShardIndex Shard = 0;
  /// The caller's query as JSON text, inserted into the body unchanged.
  std::string Query;
  /// Time that remains for the leaf.
  std::chrono::milliseconds Deadline{};
};

/// @brief A write.
struct WriteMessage {
  std::string RequestId;
  /// The caller's idempotency key; empty when it gave none.
  std::string Key;
  /// The caller's body as JSON text.
  std::string Body;
  std::chrono::milliseconds Deadline{};
};

/// @brief Version and shard that a leaf serves.
struct LeafIndexStatus {
  core::IndexVersion Version = 0;
  core::ShardIndex Shard = 0;
  std::uint32_t ShardCount = 0;
};

/// @brief A leaf's answer to GET /v1/status.
struct LeafStatus {
  bool Draining = false;
  core::LoadReport Load;
  /// Changes with each restart of the leaf.
  std::optional<std::uint64_t> Incarnation;
  std::vector<LeafIndexStatus> Indexes;
};

/// @brief Body of POST /v1/search.
/// @param message the sub-request
/// @return JSON text
std::string encode(const SearchMessage &message);

/// @brief Body of POST /v1/write.
/// @param message the write
/// @return JSON text
std::string encode(const WriteMessage &message);

/// @brief Body of POST /v1/cancel.
/// @param requestId the request
/// @param attempt its attempt
/// @return JSON text
std::string encodeCancel(const std::string &requestId, core::AttemptId attempt);

/// @brief A search reply, or why the attempt failed.
using SearchOutcome = tl::expected<core::LeafReply, core::AttemptFailure>;

/// @brief Reads a reply to POST /v1/search.
/// @param status HTTP status
/// @param body HTTP body
/// @param requestId id of the request, which the reply must contain
/// @return the reply, or why the attempt failed: Malformed when the body is
///   invalid or belongs to another request
SearchOutcome decodeSearch(int status, const std::string &body,
                           const std::string &requestId);

/// @brief Why a leaf refused, from the status and body of a reply.
/// @param status HTTP status, not 200
/// @param body HTTP body
/// @return Shed, Draining, WrongVersion or Malformed
core::AttemptFailure decodeRefusal(int status, const std::string &body);

/// @brief Whether a reply to POST /v1/write states that the write was not run.
/// @param status HTTP status
/// @param body HTTP body
/// @return true for 503 with the error `shed` or `draining` only: a leaf may
///   also fail with 503 after it has run a write
bool statesNotRun(int status, const std::string &body);

/// @brief What a transport failure means for an attempt.
/// @param failure how the call failed
/// @return ConnectionRefused, ConnectionLost or Expired
core::AttemptFailure toAttemptFailure(CallFailure failure);

/// @brief Reads a reply to GET /v1/status.
/// @param body HTTP body
/// @return the status, or nothing when the body is malformed
std::optional<LeafStatus> decodeStatus(const std::string &body);

} // namespace savorytrestle::backend

#endif
