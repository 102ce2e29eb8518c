#ifndef SAVORYTRESTLE_ENTRY_CALLER_SESSION_H
#define SAVORYTRESTLE_ENTRY_CALLER_SESSION_H

/// @file
/// @brief One HTTP/1.1 connection of a caller, on the server side.

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "savorytrestle/core/ServingConfig.h"
#include "support/MessageParser.h"

namespace savorytrestle::entry {

/// @brief A caller's request.
using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief The answer to a caller's request.
using CallerAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Sends the answer to a request; must be called at most once.
using AnswerHandler = std::function<void(CallerAnswer)>;

/// @brief Cancels a request whose caller has disconnected.
using CancelHandler = std::function<void()>;

/// @brief Starts to handle a request; may call the answer handler before it
/// returns.
using RequestHandler =
    std::function<CancelHandler(CallerRequest, AnswerHandler)>;

/// @brief Like @ref RequestHandler, with the address of the other end.
using RemoteRequestHandler = std::function<CancelHandler(
    CallerRequest, const boost::asio::ip::address &, AnswerHandler)>;

/// @brief State that all connections of a listener share.
struct SessionContext {
  RequestHandler OnRequest;
  /// Used in place of OnRequest, if set.
  RemoteRequestHandler OnRequestFrom;
  core::CallerLimits Limits;
  /// Whether answers carry "Connection: close".
  bool Draining = false;
};

/// @brief Server side of one connection. It also reads while a request is being
/// handled, so that a disconnect of the caller is detected at once. Its
/// handlers hold a reference to it until it is closed.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// @brief Creates a session on an accepted connection.
  CallerSession(boost::asio::ip::tcp::socket socket,
                std::shared_ptr<const SessionContext> context);

  /// @brief Starts to read.
  void start();

  /// @brief Closes the connection if it was idle for too long; answers with 408
  /// if the request header takes too long, or its body doesn't go on for the
  /// idle time-out.
  /// @param now the current time
  void enforceTimeouts(TimePoint now);

  /// @brief Closes the connection if no request is being received, handled or
  /// answered.
  void closeIfIdle();

  /// @brief Whether a request is being handled or answered.
  bool busy() const {
    return State == Phase::Handling || State == Phase::Answering;
  }

private:
  using Parser = support::MessageParser<true>;

  enum class Phase {
    Idle,      ///< waiting for a request
    Receiving, ///< part of a request has been received
    Handling,  ///< the request handler is running
    Answering, ///< the answer is being written
    Closed,
  };

  void read();
  void onRead(boost::system::error_code ec, std::size_t n);
  void parse();
  void startRequest();
  void sendContinue();
  void dispatch();
  void refuse(boost::beast::http::status status, const std::string &reason);
  void answer(CallerAnswer callerAnswer, bool keepAlive);
  void onWritten(boost::system::error_code ec);
  void close();

  boost::asio::ip::tcp::socket Socket;
  /// Unspecified if the connection broke before it was accepted.
  boost::asio::ip::address Remote;
  std::shared_ptr<const SessionContext> Context;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::optional<CallerAnswer> Answer;
  CancelHandler Cancel;
  Phase State = Phase::Idle;
  /// When the connection became idle, or the current request's first byte came.
  TimePoint TimeoutStart{};
  /// When bytes have last come.
  TimePoint LastReadAt{};
  /// Number of the current request; a late answer to an earlier one is dropped.
  std::uint64_t RequestNumber = 0;
  bool ReadPending = false;
  bool KeepAlive = true;
  /// Whether "100 Continue" has been sent for the current request.
  bool ContinueSent = false;
};

} // namespace savorytrestle::entry

#endif
