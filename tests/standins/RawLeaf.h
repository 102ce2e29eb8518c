#ifndef SAVORYTRESTLE_TESTS_RAW_LEAF_H
#define SAVORYTRESTLE_TESTS_RAW_LEAF_H

/// @file
/// @brief Stand-in for a leaf that answers with given bytes, valid or not.

#include <utility>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>

namespace savorytrestle::tests {

/// @brief The bytes sent for one request and how the connection ends.
struct RawAnswer {
  std::string Bytes;
  std::chrono::milliseconds Delay{0};
  /// Closes the connection after the bytes.
  bool Close = false;
  /// Closes it with a reset.
  bool Reset = false;
  /// Ends the leaf, see @ref RawLeaf::crash.
  bool Crash = false;
  /// Sent after the bytes, once a pause has passed.
  std::string Rest{};
  std::chrono::milliseconds RestDelay{5};
};

/// @brief A complete HTTP answer of a leaf.
inline std::string leafAnswer(const std::string &body,
                              const std::string &headers = "",
                              const std::string &status = "200 OK") {
  return absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Length: ", body.size(),
                      "\r\n", headers, "\r\n", body);
}

/// @brief The leaf; runs on one thread.
class RawLeaf {
public:
  /// Returns the answer to a request, given its head.
  using RequestHandler = std::function<RawAnswer(const std::string &)>;

  RawLeaf(boost::asio::io_context &io, RequestHandler script)
      : Acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}),
        Handler(std::move(script)) {
    // Hosts that inherited the socket would keep it open.
    fcntl(Acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    accept();
  }

  boost::asio::ip::tcp::endpoint address() const {
    return Acceptor.local_endpoint();
  }
  std::string addressText() const {
    return "127.0.0.1:" + std::to_string(address().port());
  }
  int requests() const { return Requests; }
  int connections() const { return Connections; }
  /// Connections that the peer closed or that failed on reading.
  int ended() const { return EndedConnections; }

  /// @brief Stops listening and resets all connections, as the end of the
  /// leaf's process does.
  void crash() {
    boost::system::error_code ignored; // it may have crashed already
    Acceptor.close(ignored);
    for (const auto &weak : std::exchange(Sessions, {}))
      if (const auto session = weak.lock())
        reset(*session);
  }

private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket socket)
        : Socket(std::move(socket)), Timer(Socket.get_executor()) {}
    boost::asio::ip::tcp::socket Socket;
    boost::asio::steady_timer Timer;
    boost::asio::streambuf Buffer;
    std::string Out;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void accept() {
    Acceptor.async_accept([this, alive = std::weak_ptr(Lifetime)](
                              const boost::system::error_code &ec,
                              boost::asio::ip::tcp::socket socket) {
      if (ec || alive.expired())
        return;
      ++Connections;
      const auto session = std::make_shared<Session>(std::move(socket));
      std::erase_if(Sessions, [](const auto &it) { return it.expired(); });
      Sessions.push_back(session);
      read(session);
      accept();
    });
  }

  void read(const SessionPtr &session) {
    boost::asio::async_read_until(
        session->Socket, session->Buffer, "\r\n\r\n",
        [this, session, alive = std::weak_ptr(Lifetime)](
            const boost::system::error_code &ec, std::size_t n) {
          if (alive.expired())
            return;
          if (ec) {
            ++EndedConnections;
            return;
          }
          const auto data = session->Buffer.data();
          const std::string head(boost::asio::buffers_begin(data),
                                 boost::asio::buffers_begin(data) +
                                     static_cast<long>(n));
          session->Buffer.consume(n);
          ++Requests;
          answer(session, Handler(head));
        });
  }

  static void reset(Session &session) {
    boost::system::error_code ignored; // the peer may have closed it
    session.Socket.set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
    session.Socket.close(ignored);
  }

  void answer(const SessionPtr &session, const RawAnswer &raw) {
    if (raw.Crash)
      return crash();
    session->Timer.expires_after(raw.Delay);
    session->Timer.async_wait(
        [this, session, raw,
         alive = std::weak_ptr(Lifetime)](const boost::system::error_code &) {
          if (!alive.expired())
            write(session, raw);
        });
  }

  void write(const SessionPtr &session, const RawAnswer &raw) {
    session->Out = raw.Bytes;
    boost::asio::async_write(
        session->Socket, boost::asio::buffer(session->Out),
        [this, session, raw, alive = std::weak_ptr(Lifetime)](
            const boost::system::error_code &ec, std::size_t) {
          if (ec || alive.expired())
            return;
          if (!raw.Rest.empty())
            answer(session, {raw.Rest, raw.RestDelay, raw.Close, raw.Reset});
          else if (raw.Reset)
            reset(*session);
          else if (raw.Close)
            session->Socket.close();
          else
            read(session);
        });
  }

  boost::asio::ip::tcp::acceptor Acceptor;
  RequestHandler Handler;
  std::vector<std::weak_ptr<Session>> Sessions;
  int Requests = 0;
  int Connections = 0;
  int EndedConnections = 0;
  /// Ends before the handlers that may still be called.
  std::shared_ptr<char> Lifetime = std::make_shared<char>();
};

} // namespace savorytrestle::tests

#endif
