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
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace savorytrestle::leaf {

/// @brief A request as it goes to a leaf.
using LeafRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A leaf's whole answer.
using LeafAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Whether an answer's status is 2xx.
inline bool isSuccess(const LeafAnswer &answer) {
  return answer.result_int() >= 200 && answer.result_int() < 300;
}

/// @brief How a request on a connection ended.
enum class Delivery {
  Answered, ///< a whole answer came
  NotSent,  ///< no byte of the request has left
  Broken,   ///< sent in part or whole, and no whole answer came
};

/// @brief End of one request on a connection.
struct LeafReply {
  Delivery Result = Delivery::NotSent;
  LeafAnswer Answer;
  /// Reason when no answer came, for logs.
  std::string Reason;
};

/// @brief A connection that reads all the time, so that a close or bytes that
/// belong to no request are seen when they come.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
public:
  using ReplyHandler = std::function<void(LeafReply)>;
  using CloseHandler = std::function<void()>;

  /// @brief Makes a connection that is not yet open.
  /// @param context runs its handlers
  /// @param onClose called once, when it can carry no further request
  LeafConnection(boost::asio::io_context &context, CloseHandler onClose);

  /// @brief Sends a request, after connecting where needed.
  /// @param address the leaf's address
  /// @param request the request
  /// @param onReply called once, never within this call
  void send(const boost::asio::ip::tcp::endpoint &address, LeafRequest request,
            ReplyHandler onReply);

  /// @brief Closes the connection; a request on it ends without a call of its
  /// handler.
  void close();

  /// @brief Whether the connection can take a request now.
  bool ready() const { return Open && !OnReply; }

  /// @brief Whether a request waits for the connection to be established.
  bool connecting() const { return Connecting; }

  /// @brief Since when it has carried nothing.
  std::chrono::steady_clock::time_point idleSince() const { return IdleSince; }

  /// @brief How long the leaf keeps it without a request.
  std::chrono::milliseconds keepAlive() const { return KeepAlive; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect(const boost::asio::ip::tcp::endpoint &address);
  void write();
  void read();
  void onRead(boost::system::error_code ec, std::size_t n);
  void parse();
  void finishAnswer();
  void fail(Delivery result, const std::string &reason);
  void closeSocket();

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Answer;
  LeafRequest Request;
  ReplyHandler OnReply;
  CloseHandler OnClose;
  std::chrono::steady_clock::time_point IdleSince{};
  std::chrono::milliseconds KeepAlive;
  bool Open = false;
  bool Connecting = false;
  bool Writing = false;
  bool Closed = false;
};

} // namespace savorytrestle::leaf

#endif
