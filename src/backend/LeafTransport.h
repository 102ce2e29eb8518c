#ifndef SAVORYTRESTLE_BACKEND_LEAF_TRANSPORT_H
#define SAVORYTRESTLE_BACKEND_LEAF_TRANSPORT_H

/// @file
/// @brief Many concurrent HTTP calls to leaves on one thread, over libcurl's
/// multi interface.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::backend {

/// @brief Identifies a call that has not ended.
using CallId = std::uint64_t;

/// @brief One call to a leaf.
struct LeafCall {
  /// "http://ip:port/path".
  std::string Url;
  /// Sent by POST; an empty body makes it a GET.
  std::string Body;
  /// Time at which the call expires.
  core::TimePoint Deadline;
  /// Whether the call opens a new connection, for calls that must not be sent
  /// over an idle connection that the leaf has just closed.
  bool FreshConnection = false;
  /// Whether the call is a status poll or a cancel. Control calls start before
  /// waiting searches and writes, and one connection is reserved for them if
  /// the leaf's limit is above 1.
  bool IsControl = false;
  /// Most connections, idle ones included, that this host may have to the leaf
  /// from now on; the transport's default if not set.
  std::optional<std::uint32_t> MaxConnections;
};

/// @brief Why a call got no reply.
enum class CallFailure {
  NotSent,        ///< no connection; no byte of the request was sent
  ConnectionLost, ///< the connection broke after the request was sent, or the
                  ///< response had a status that no reply may have
  Expired,        ///< no complete reply before the deadline
};

/// @brief How a call ended.
struct LeafCallResult {
  std::optional<CallFailure> Failure;
  /// HTTP status; 0 on failure.
  int Status = 0;
  std::string Body;
  core::Duration Latency{};
  /// Whether the call expired while it waited for a connection, which shows
  /// nothing about the leaf's health.
  bool ExpiredBeforeStart = false;
};

/// @brief Limits of the transport.
struct LeafTransportOptions {
  /// Most connections to one leaf, for calls that set no limit.
  std::uint32_t ConnectionsPerLeaf = 5;
  /// Longest reply body; a longer one fails the call with ConnectionLost.
  std::size_t MaxReplyBytes = 8 << 20;
};

/// @brief Runs calls on the thread that calls @ref processEvents; only @ref
/// wake may be called by other threads.
///
/// All connections to a leaf, idle ones included, stay within the limit that
/// its calls set; further calls wait. After the limit has been lowered, each
/// call closes one surplus connection.
///
/// A request is never sent twice: by default libcurl silently resends one whose
/// reused connection broke; this class prevents that.
class LeafTransport {
public:
  /// @brief Called with the result, on the transport's thread.
  using Done = std::function<void(LeafCallResult)>;

  /// @brief Creates an idle transport.
  /// @param options limits
  explicit LeafTransport(const LeafTransportOptions &options);
  LeafTransport(const LeafTransport &) = delete;
  LeafTransport &operator=(const LeafTransport &) = delete;
  ~LeafTransport();

  /// @brief Starts a call.
  /// @param call what to send, and its deadline
  /// @param now current time
  /// @param done called with the result; not called for a dropped call
  /// @return the call's id
  CallId send(LeafCall call, core::TimePoint now, Done done);

  /// @brief Drops a call that still waits for a connection.
  /// @param id the call
  /// @return false when it has started or ended, or is unknown; O(waiting calls
  ///   of the leaf)
  bool dropWaitingCall(CallId id);

  /// @brief Sends and receives what is ready, waiting up to the given time.
  /// @param wait longest wait
  void processEvents(std::chrono::milliseconds wait);

  /// @brief Ends the current wait of @ref processEvents; safe from any thread.
  void wake();

  /// @brief Calls that have not ended, waiting ones included.
  /// @return their number
  std::size_t pendingCalls() const;

  /// @brief Connections open to a leaf, idle ones included.
  /// @param url any URL of the leaf
  /// @return their number
  std::uint32_t openConnections(const std::string &url) const;

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace savorytrestle::backend

#endif
