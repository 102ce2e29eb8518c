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

/// @brief Identity of a running call.
using CallId = std::uint64_t;

/// @brief One call to a leaf.
struct LeafCall {
  /// "http://ip:port/path".
  std::string Url;
  /// Sent by POST; an empty body makes it a GET.
  std::string Body;
  /// When the call is given up.
  core::TimePoint Deadline;
  /// Uses a connection of its own, for calls that must not meet an idle
  /// connection which the leaf has just closed.
  bool FreshConnection = false;
  /// Status polls and cancels: they go before searches and writes, which leave
  /// them one connection where the leaf's limit is above 1.
  bool IsControl = false;
  /// Connections this host may have to the leaf from now on, idle ones
  /// included; nothing stands for the transport's default.
  std::optional<std::uint32_t> MaxConnections;
};

/// @brief Why a call brought no reply.
enum class CallFailure {
  NotSent,        ///< no connection: no byte of the request left this host
  ConnectionLost, ///< the connection broke after the request was sent
  Expired,        ///< no whole reply before the deadline
};

/// @brief How a call ended.
struct LeafCallResult {
  std::optional<CallFailure> Failure;
  /// HTTP status; 0 on failure.
  int Status = 0;
  std::string Body;
  core::Duration Latency{};
  /// Expired while it waited for a connection: says nothing about the leaf.
  bool ExpiredBeforeStart = false;
};

/// @brief Limits of the transport.
struct LeafTransportOptions {
  /// Connections to one leaf at most, for calls that name no limit.
  std::uint32_t ConnectionsPerLeaf = 5;
  /// Replies over this many bytes count as broken.
  std::size_t MaxReplyBytes = 8 << 20;
};

/// @brief Runs calls on the thread that calls @ref processEvents; only @ref
/// wake may be called by other threads.
///
/// All connections to a leaf, idle ones included, stay within the limit that
/// its calls name; calls beyond it wait. After the limit shrank, each call
/// closes one connection too many.
///
/// A request is never sent twice: libcurl would silently repeat one whose
/// reused connection broke, and this class stops it from doing so.
class LeafTransport {
public:
  /// @brief Takes the result, on the transport's thread.
  using Done = std::function<void(LeafCallResult)>;

  /// @brief Makes an idle transport.
  /// @param options limits
  explicit LeafTransport(const LeafTransportOptions &options);
  LeafTransport(const LeafTransport &) = delete;
  LeafTransport &operator=(const LeafTransport &) = delete;
  ~LeafTransport();

  /// @brief Starts a call.
  /// @param call what to send, and until when to wait
  /// @param now current time
  /// @param done takes the result; not called for a dropped call
  /// @return the call's identity
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
