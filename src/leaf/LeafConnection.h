#ifndef SAVORYTRESTLE_LEAF_LEAF_CONNECTION_H
#define SAVORYTRESTLE_LEAF_LEAF_CONNECTION_H

/// @file
/// @brief One HTTP/1.1 connection to a leaf, which carries one request at a
/// time.

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "leaf/AnswerMemory.h"
#include "support/MessageParser.h"
#include "support/ResponseKind.h"

namespace savorytrestle::leaf {

/// @brief A request as it is sent to a leaf.
using LeafRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief The final answer of a leaf, complete.
using LeafAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Whether an answer's status is 2xx.
inline bool isSuccess(const LeafAnswer &answer) {
  return answer.result_int() >= 200 && answer.result_int() < 300;
}

/// @brief How a request on a connection ended.
enum class Delivery {
  Answered, ///< a complete final answer was received
  NotSent,  ///< no byte of the request was sent
  Broken,   ///< sent at least in part, but no complete answer was received
};

/// @brief Result of one request on a connection.
struct LeafReply {
  Delivery Result = Delivery::NotSent;
  LeafAnswer Answer;
  /// Reason if there is no answer, for logs.
  std::string Reason;
};

/// @brief Client side of one connection. It reads even when idle, so that it
/// detects at once that the leaf closes it or sends unexpected bytes. Interim
/// responses (1xx) are skipped; a status that no answer may have breaks the
/// connection.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
public:
  using ReplyHandler = std::function<void(LeafReply)>;
  using CloseHandler = std::function<void()>;

  /// @brief Creates a connection that is not yet open.
  /// @param context runs its handlers
  /// @param onClose called once, when the connection is closed
  /// @param memory bounds of answers, shared by all connections
  LeafConnection(boost::asio::io_context &context, CloseHandler onClose,
                 std::shared_ptr<AnswerMemory> memory);

  /// @brief Sets what is called if the leaf closes the connection while it
  /// carries no request, before its idle time-out.
  void onUnexpectedClose(CloseHandler handler) {
    OnUnexpectedClose = std::move(handler);
  }

  /// @brief Sends a request; connects first if the connection isn't open.
  /// @param address the leaf's address
  /// @param request the request
  /// @param onReply called once, after this function has returned, unless
  /// @ref close is called before
  void send(const boost::asio::ip::tcp::endpoint &address, LeafRequest request,
            ReplyHandler onReply);

  /// @brief Closes the connection without a call of the pending reply handler.
  void close();

  /// @brief Ends a request that still waits for the connection, with NotSent.
  /// The handler is called after this function has returned.
  void cancelConnect();

  /// @brief Whether the connection is open and carries no request.
  bool ready() const { return Open && !OnReply; }

  /// @brief Whether the connection is being established.
  bool connecting() const { return Connecting; }

  /// @brief When the last answer was received.
  std::chrono::steady_clock::time_point idleSince() const { return IdleSince; }

  /// @brief Idle time after which the leaf closes the connection.
  std::chrono::milliseconds keepAlive() const { return KeepAlive; }

  /// @brief Interim responses to the current request, or else the last one.
  std::size_t interimResponses() const { return Interim.count(); }

private:
  using Parser = support::MessageParser<false>;

  void connect(const boost::asio::ip::tcp::endpoint &address);
  void write();
  void read();
  void onRead(boost::system::error_code ec, std::size_t n);
  void startResponse();
  void parse();
  /// Parses received bytes up to the end of a response.
  /// @return false if the response is invalid; the connection is closed then
  bool parseResponse();
  /// @return false if there are too many; the connection is closed then
  bool skipInterimResponse();
  support::ResponseKind responseKind() const;
  void finishAnswer();
  void fail(Delivery result, const std::string &reason);
  void releaseMemory();
  void closeSocket();

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Answer;
  LeafRequest Request;
  ReplyHandler OnReply;
  CloseHandler OnClose;
  CloseHandler OnUnexpectedClose;
  std::shared_ptr<AnswerMemory> Memory;
  /// Bytes received of the current answer.
  std::size_t AnswerBytes = 0;
  support::InterimResponses Interim;
  std::chrono::steady_clock::time_point IdleSince{};
  std::chrono::milliseconds KeepAlive;
  bool Open = false;
  bool Connecting = false;
  bool Writing = false;
  bool Closed = false;
};

} // namespace savorytrestle::leaf

#endif
