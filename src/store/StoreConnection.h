#ifndef SAVORYTRESTLE_STORE_STORE_CONNECTION_H
#define SAVORYTRESTLE_STORE_STORE_CONNECTION_H

/// @file
/// @brief Connection to the platform's store with one call at a time.

#include <utility>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "store/EraTracker.h"
#include "support/MessageParser.h"
#include "support/ResponseKind.h"

namespace savorytrestle::store {

/// @brief Reply of the store.
struct StoreReply {
  /// HTTP status; 0 if there was no reply.
  unsigned Status = 0;
  std::string Body;
  /// Reason if there was no reply.
  std::string Error;
  /// Whether the store may have executed the call.
  bool MayHaveExecuted = true;
};

/// @brief Connection that is opened by the first call that needs it. It is
/// closed after a call without a reply, because a late reply would be taken for
/// that of the next call. Interim responses (1xx) are skipped; a status that no
/// reply may have fails the call.
class StoreConnection : public std::enable_shared_from_this<StoreConnection> {
public:
  using ReplyHandler = std::function<void(StoreReply)>;

  /// @brief Makes a connection; it is not opened yet.
  /// @param io runs its handlers
  /// @param address the store's address
  /// @param eras takes the eras of the replies, if given; replies of an older
  /// era than the newest are dropped, and their calls fail
  StoreConnection(boost::asio::io_context &io,
                  boost::asio::ip::tcp::endpoint address,
                  std::shared_ptr<EraTracker> eras = nullptr);

  /// @brief Makes a call; the previous one must have ended.
  /// @param call the call
  /// @param timeout how long to wait for the reply
  /// @param onReply called once, never within this call
  void call(const StoreCall &call, std::chrono::milliseconds timeout,
            ReplyHandler onReply);

  /// @brief Closes the connection; the handler of a call in flight isn't
  /// called.
  void close();

private:
  using Parser = support::MessageParser<false>;

  /// Enough for a watch that returns some seconds of large configurations.
  static constexpr std::size_t MaxReplyBytes = 32 << 20;

  /// Socket and buffer of one TCP connection. They are replaced together, so
  /// that handlers of a closed connection detect that it isn't the current one.
  struct Link {
    explicit Link(boost::asio::io_context &io) : Socket(io) {}
    boost::asio::ip::tcp::socket Socket;
    boost::beast::flat_buffer Buffer;
    std::optional<Parser> Reply;
    /// Bytes of the current response.
    std::size_t ReplyBytes = 0;
  };
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  void startTimeout(std::chrono::milliseconds after, const char *why);
  void dropIfClosed();
  void write(const std::shared_ptr<Link> &link);
  void read(const std::shared_ptr<Link> &link);
  void startResponse(Link &link);
  void onRead(const std::shared_ptr<Link> &link, std::size_t n);
  /// Parses received bytes up to the end of a response.
  /// @return false if the response is invalid; the call has failed then
  bool parseResponse(Link &link);
  /// @return false if there are too many; the call has failed then
  bool skipInterimResponse(Link &link);
  void onResponse(const std::shared_ptr<Link> &link);
  void fail(const std::string &why);
  void complete(StoreReply reply);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Address;
  std::shared_ptr<EraTracker> Eras;
  boost::asio::steady_timer Timer;
  std::shared_ptr<Link> CurrentLink;
  std::shared_ptr<Request> PendingRequest;
  ReplyHandler OnReply;
  /// Changes at the start and the end of each call, so that a timeout detects
  /// that its call has ended.
  std::uint64_t CallNumber = 0;
  support::InterimResponses Interim;
  /// Whether any byte of the current call may have been sent.
  bool Sent = false;
};

} // namespace savorytrestle::store

#endif
