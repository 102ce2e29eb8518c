#ifndef SAVORYTRESTLE_STORE_STORE_CONNECTION_H
#define SAVORYTRESTLE_STORE_STORE_CONNECTION_H

/// @file
/// @brief One connection to the platform's store, which carries one call at a
/// time.

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "store/StoreTypes.h"

namespace savorytrestle::store {

/// @brief Reply of the store.
struct StoreReply {
  /// 0 when no reply came.
  unsigned Status = 0;
  std::string Body;
  /// Why no reply came.
  std::string Error;
  /// Whether the store may have executed the call.
  bool MayHaveExecuted = true;
};

/// @brief A connection that opens when it is needed. It is dropped after any
/// call without a reply, since a late reply would be taken for the next one's.
class StoreConnection : public std::enable_shared_from_this<StoreConnection> {
public:
  using ReplyHandler = std::function<void(StoreReply)>;

  /// @brief Makes a connection that isn't open yet.
  /// @param io runs its handlers
  /// @param address the store's address
  StoreConnection(boost::asio::io_context &io,
                  boost::asio::ip::tcp::endpoint address);

  /// @brief Makes a call; the one before must have ended.
  /// @param call the call
  /// @param timeout how long to wait for its reply
  /// @param onReply called once, never within this call
  void call(const StoreCall &call, std::chrono::milliseconds timeout,
            ReplyHandler onReply);

  /// @brief Drops the connection; a call on it ends without its handler.
  void close();

private:
  /// One established connection; replaced as a whole, so that handlers of a
  /// dropped one find that it isn't the current one.
  struct Link {
    explicit Link(boost::asio::io_context &io) : Socket(io) {}
    boost::asio::ip::tcp::socket Socket;
    boost::beast::flat_buffer Buffer;
  };
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  void startTimeout(std::chrono::milliseconds after, const char *why);
  void dropIfClosed();
  void write(const std::shared_ptr<Link> &link);
  void read(const std::shared_ptr<Link> &link);
  void onResponse(const std::shared_ptr<Link> &link, Parser &parser);
  void fail(const std::string &why);
  void complete(StoreReply reply);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Address;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Link> CurrentLink;
  std::shared_ptr<Request> PendingRequest;
  ReplyHandler OnReply;
  std::uint64_t CallNumber = 0;
  /// Whether any of the present call may have left this host.
  bool Sent = false;
};

} // namespace savorytrestle::store

#endif
