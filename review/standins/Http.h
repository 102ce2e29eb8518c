#ifndef SAVORYTRESTLE_REVIEW_HTTP_H
#define SAVORYTRESTLE_REVIEW_HTTP_H

/// @file
/// @brief HTTP/1.1 server and client of the stand-ins, on loopback only.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
/// Sends the answer; without one the connection is closed.
using Respond = std::function<void(std::optional<Response>)>;
using Handler = std::function<void(const Request &, Respond)>;

/// Field of a response that is sent as these bytes and nothing else.
constexpr const char *RawBytes = "x-raw-bytes";

inline std::string text(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

inline tcp::endpoint loopback(int port) {
  return {boost::asio::ip::address_v4::loopback(),
          static_cast<unsigned short>(port)};
}

/// @brief A port on which nothing listens. It lies below the range of the ports
/// of outgoing connections.
inline int freePort() {
  static int next = 10000 + (getpid() * 37) % 18000;
  for (;;) {
    next = next >= 31000 ? 10000 : next + 1;
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::v4());
    error_code ec;
    acceptor.bind(loopback(next), ec);
    if (!ec)
      return next;
  }
}

inline Response makeResponse(unsigned status, std::string body = "") {
  Response response{static_cast<http::status>(status), 11};
  response.body() = std::move(body);
  return response;
}

/// @brief Server side of one connection; one request at a time.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket socket, const Handler &handler)
      : Socket(std::move(socket)), OnRequest(handler) {}

  void read() {
    Parser.emplace();
    Parser->body_limit(64 << 20);
    http::async_read(Socket, Buffer, *Parser,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       if (!ec)
                         self->OnRequest(
                             self->Parser->get(),
                             [self](std::optional<Response> response) {
                               self->answer(std::move(response));
                             });
                     });
  }

  /// @brief Ends the connection with a reset.
  void reset() {
    error_code ignored;
    Socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Socket.close(ignored);
  }

private:
  void answer(std::optional<Response> response) {
    if (!response) {
      error_code ignored;
      Socket.close(ignored);
      return;
    }
    if (const auto raw = response->find(RawBytes); raw != response->end())
      return sendRaw(text(raw->value()));
    const bool keep = Parser->get().keep_alive();
    Answer.emplace(std::move(*response));
    Answer->keep_alive(keep);
    Answer->prepare_payload();
    http::async_write(
        Socket, *Answer,
        [self = shared_from_this(), keep](error_code ec, std::size_t) {
          if (!ec && keep)
            self->read();
        });
  }

  void sendRaw(std::string bytes) {
    Raw = std::move(bytes);
    boost::asio::async_write(
        Socket, boost::asio::buffer(Raw),
        [self = shared_from_this()](error_code ec, std::size_t) {
          if (!ec)
            self->read();
        });
  }

  tcp::socket Socket;
  Handler OnRequest;
  std::string Raw;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<Response> Answer;
};

/// @brief Listens on one port.
class Server {
public:
  Server(boost::asio::io_context &io, int port, Handler handler)
      : Acceptor(io, loopback(port)), OnRequest(std::move(handler)) {
    accept();
  }

  /// @brief Stops to listen and resets all connections, as if the process had
  /// ended.
  void crash() {
    error_code ignored;
    Acceptor.close(ignored);
    for (const auto &weak : std::exchange(Sessions, {}))
      if (const auto session = weak.lock())
        session->reset();
  }

private:
  void accept() {
    Acceptor.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec)
        return;
      socket.set_option(tcp::no_delay(true), ec);
      const auto session =
          std::make_shared<Session>(std::move(socket), OnRequest);
      std::erase_if(Sessions, [](const auto &it) { return it.expired(); });
      Sessions.push_back(session);
      session->read();
      accept();
    });
  }

  tcp::acceptor Acceptor;
  Handler OnRequest;
  std::vector<std::weak_ptr<Session>> Sessions;
};

/// @brief What a client got; status 0 if the connection ended without an
/// answer.
struct Answer {
  int Status = 0;
  std::string Body;
  std::map<std::string, std::string> Headers;
};

/// @brief Sends a request on a new connection and waits for the answer.
inline Answer call(int port, const std::string &method, const std::string &path,
                   const std::map<std::string, std::string> &headers = {},
                   const std::string &body = "",
                   milliseconds timeout = milliseconds(5000)) {
  boost::asio::io_context io;
  tcp::socket socket(io, tcp::v4());
  const timeval limit{timeout.count() / 1000,
                      static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
             sizeof limit);
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
             sizeof limit);
  error_code ec;
  socket.connect(loopback(port), ec);
  if (ec)
    return {};
  Request request{http::string_to_verb(method), path, 11};
  for (const auto &[name, value] : headers)
    request.set(name, value);
  request.set(http::field::connection, "close");
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request, ec);
  boost::beast::flat_buffer buffer;
  Response response;
  if (!ec)
    http::read(socket, buffer, response, ec);
  if (ec)
    return {};
  Answer answer{static_cast<int>(response.result_int()), response.body(), {}};
  for (const auto &field : response)
    answer.Headers[text(field.name_string())] = text(field.value());
  return answer;
}

} // namespace review

#endif
