#ifndef SAVORYTRESTLE_TESTS_STAND_IN_HTTP_SERVER_H
#define SAVORYTRESTLE_TESTS_STAND_IN_HTTP_SERVER_H

/// @file
/// @brief A small HTTP server for stand-ins, which can close connections
/// without an answer.

#include <utility>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "savorytrestle/core/Error.h"
#include "support/SocketOptions.h"

namespace savorytrestle::tests {

using StandInRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StandInResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
/// Sends the answer; without one it closes the connection.
using SendResponse = std::function<void(std::optional<StandInResponse>)>;
using StandInRequestHandler =
    std::function<void(const StandInRequest &, SendResponse)>;

/// @brief One connection; handles one request at a time.
class StandInHttpSession
    : public std::enable_shared_from_this<StandInHttpSession> {
public:
  /// @param interim bytes sent before each answer
  StandInHttpSession(boost::asio::ip::tcp::socket socket,
                     const StandInRequestHandler &handler,
                     const std::string &interim)
      : Socket(std::move(socket)), Handler(handler), Interim(interim) {}

  void close() { Socket.close(); }

  void read() {
    Parser = std::make_unique<RequestParser>();
    Parser->body_limit(MaxBodyBytes);
    boost::beast::http::async_read(
        Socket, Buffer, *Parser,
        [self = shared_from_this()](const boost::system::error_code &ec,
                                    std::size_t) {
          if (!ec)
            self->Handler(self->Parser->get(), self->makeResponder());
        });
  }

private:
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  static constexpr std::size_t MaxBodyBytes = 8 << 20;

  SendResponse makeResponder() {
    return [self = shared_from_this()](std::optional<StandInResponse> answer) {
      if (!answer)
        return self->Socket.close();
      self->Answer = std::move(*answer);
      self->Answer.prepare_payload();
      boost::asio::async_write(
          self->Socket, boost::asio::buffer(self->Interim),
          [self](const boost::system::error_code &ec, std::size_t) {
            if (!ec)
              self->write();
          });
    };
  }

  void write() {
    boost::beast::http::async_write(
        Socket, Answer,
        [self = shared_from_this()](const boost::system::error_code &ec,
                                    std::size_t) {
          if (!ec)
            self->read();
        });
  }

  boost::asio::ip::tcp::socket Socket;
  const StandInRequestHandler &Handler;
  const std::string &Interim;
  boost::beast::flat_buffer Buffer;
  std::unique_ptr<RequestParser> Parser;
  StandInResponse Answer;
};

/// @brief Accepts connections; must outlive their sessions.
class StandInHttpServer {
public:
  StandInHttpServer(boost::asio::io_context &io, StandInRequestHandler handler)
      : Acceptor(io), Handler(std::move(handler)) {}

  core::Result<void> open(const std::string &address) {
    boost::asio::ip::tcp::endpoint endpoint;
    boost::system::error_code ec;
    if (!support::parseEndpoint(address, endpoint))
      return core::makeError(core::ErrorCode::InvalidSettings, address);
    Acceptor.open(endpoint.protocol());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(endpoint, ec);
    if (ec)
      return core::makeError(core::ErrorCode::InvalidSettings, ec.message());
    Acceptor.listen();
    accept();
    return {};
  }

  int port() const { return Acceptor.local_endpoint().port(); }

  /// @brief Sets interim responses that are sent before each answer. Sessions
  /// must not be writing.
  void setInterim(std::string bytes) { Interim = std::move(bytes); }

  void dropConnections() {
    for (const auto &weak : Sessions)
      if (const auto session = weak.lock())
        session->close();
    Sessions.clear();
  }

private:
  void accept() {
    Acceptor.async_accept([this](const boost::system::error_code &ec,
                                 boost::asio::ip::tcp::socket socket) {
      if (ec)
        return;
      support::setNoDelay(socket);
      const auto session = std::make_shared<StandInHttpSession>(
          std::move(socket), Handler, Interim);
      Sessions.push_back(session);
      session->read();
      accept();
    });
  }

  boost::asio::ip::tcp::acceptor Acceptor;
  StandInRequestHandler Handler;
  std::string Interim;
  std::vector<std::weak_ptr<StandInHttpSession>> Sessions;
};

} // namespace savorytrestle::tests

#endif
