#ifndef SAVORYTRESTLE_ENTRY_CALLER_SESSION_H
#define SAVORYTRESTLE_ENTRY_CALLER_SESSION_H

/// @file
/// @brief One HTTP/1.1 connection of a caller.

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::entry {

/// @brief A caller's request.
using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief The answer to it.
using CallerAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Takes the answer; to be called once.
using AnswerHandler = std::function<void(CallerAnswer)>;

/// @brief Ends a request whose caller has left.
using CancelHandler = std::function<void()>;

/// @brief Begins a request. May answer at once.
using RequestHandler =
    std::function<CancelHandler(CallerRequest, AnswerHandler)>;

/// @brief What all connections of a listener share.
struct SessionContext {
  RequestHandler OnRequest;
  core::CallerLimits Limits;
  /// Answers tell callers to leave the connection.
  bool Draining = false;
};

/// @brief A connection that reads all the time, so that a caller who leaves is
/// noticed while the request is being worked on. It keeps itself alive until
/// it is closed.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// @brief Makes a session of an accepted connection.
  CallerSession(boost::asio::ip::tcp::socket socket,
                std::shared_ptr<const SessionContext> context);

  /// @brief Begins to read.
  void start();

  /// @brief Ends a connection that is idle or sends its head too slowly.
  /// @param now the time
  void enforceTimeouts(TimePoint now);

  /// @brief Ends the connection unless a request is being worked on.
  void closeIfIdle();

  /// @brief Whether a request is being worked on or answered.
  bool busy() const {
    return State == Phase::Handling || State == Phase::Answering;
  }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class Phase {
    Idle,      ///< waits for a request
    Receiving, ///< part of a request has come
    Handling,  ///< the handler has it
    Answering, ///< its answer is being sent
    Closed,
  };

  void read();
  void onRead(boost::system::error_code ec, std::size_t n);
  void parse();
  void resetParser();
  void sendContinue();
  void dispatch();
  void refuse(boost::beast::http::status status, const std::string &why);
  void answer(CallerAnswer answer, bool keepAlive);
  void onWritten(boost::system::error_code ec);
  void close();

  boost::asio::ip::tcp::socket Socket;
  std::shared_ptr<const SessionContext> Context;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Request;
  std::optional<CallerAnswer> Answer;
  CancelHandler Cancel;
  Phase State = Phase::Idle;
  TimePoint TimeoutStart{};
  std::uint64_t RequestNumber = 0;
  bool ReadPending = false;
  bool KeepAlive = true;
  /// Whether the caller has been told to send the request's body.
  bool ContinueSent = false;
};

} // namespace savorytrestle::entry

#endif
