#include "store/StoreConnection.h"

#include <algorithm>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "support/SocketOptions.h"

namespace savorytrestle::store {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Finds a connection that has gone silent while a watch waits on it: within
/// three seconds, which is what a change may take to be in force.
constexpr milliseconds ProbeInterval{1000};
constexpr int Probes = 2;
constexpr milliseconds UnackedTimeout{1500};
/// Many round trips between any two regions; a lost opening packet costs one
/// more try.
constexpr milliseconds ConnectTimeout{700};
/// A range of the longest page, with room for its encoding.
constexpr std::size_t MaxReplyBytes = 8 << 20;

} // namespace

StoreConnection::StoreConnection(boost::asio::io_context &io,
                                 tcp::endpoint address)
    : Io(io), Address(std::move(address)), Timer(io) {}

void StoreConnection::call(const StoreCall &call, milliseconds timeout,
                           ReplyHandler onReply) {
  OnReply = std::move(onReply);
  // Owned by its write: a call that is given up may still be being sent when
  // the next one is made.
  Out = std::make_shared<Request>(http::string_to_verb(call.Method),
                                  call.Target, 11);
  Out->set(http::field::host, Address.address().to_string() + ":" +
                                  std::to_string(Address.port()));
  if (!call.Body.empty())
    Out->set(http::field::content_type, "application/json");
  Out->body() = call.Body;
  Out->prepare_payload();
  ++Turn;
  Sent = false;
  dropIfEnded();
  if (Current) {
    expire(timeout, "no reply in time");
    return write(Current);
  }
  // A watch may wait long for its reply, but not for a connection: behind a cut
  // the opening packet is repeated only after seconds.
  expire(std::min(timeout, ConnectTimeout), "not connected in time");
  Current = std::make_shared<Link>(Io);
  Current->Socket.async_connect(
      Address,
      [self = shared_from_this(), link = Current, timeout](error_code ec) {
        if (self->Current != link)
          return;
        if (ec)
          return self->fail("connect: " + ec.message());
        self->expire(timeout, "no reply in time");
        support::setNoDelay(link->Socket);
        support::setKeepAliveProbes(link->Socket, ProbeInterval, Probes);
        support::setUnackedTimeout(link->Socket, UnackedTimeout);
        self->write(link);
      });
}

void StoreConnection::expire(milliseconds after, const char *why) {
  Timer.expires_after(after);
  Timer.async_wait(
      [self = shared_from_this(), turn = Turn, why](error_code ec) {
        if (!ec && self->Turn == turn)
          self->fail(why);
      });
}

void StoreConnection::dropIfEnded() {
  if (!Current)
    return;
  // The store may have ended the connection since the last call. Bytes that
  // nobody asked for would be taken for the next reply.
  error_code ec;
  char next = 0;
  Current->Socket.non_blocking(true, ec);
  Current->Socket.receive(boost::asio::buffer(&next, 1),
                          tcp::socket::message_peek, ec);
  if (ec != boost::asio::error::would_block)
    Current.reset();
}

void StoreConnection::close() {
  OnReply = nullptr;
  fail("closed");
}

void StoreConnection::write(const std::shared_ptr<Link> &link) {
  Sent = true;
  http::async_write(link->Socket, *Out,
                    [self = shared_from_this(), link, sent = Out](error_code ec,
                                                                  std::size_t) {
                      if (self->Current != link)
                        return;
                      if (ec)
                        return self->fail("write: " + ec.message());
                      self->read(link);
                    });
}

void StoreConnection::read(const std::shared_ptr<Link> &link) {
  auto parser = std::make_shared<Parser>();
  parser->body_limit(MaxReplyBytes);
  http::async_read(
      link->Socket, link->Buffer, *parser,
      [self = shared_from_this(), link, parser](error_code ec, std::size_t) {
        if (self->Current != link)
          return;
        if (ec)
          return self->fail("read: " + ec.message());
        self->onAnswer(link, *parser);
      });
}

void StoreConnection::onAnswer(const std::shared_ptr<Link> &link,
                               Parser &parser) {
  auto answer = parser.release();
  if (!answer.keep_alive() || link->Buffer.size() > 0)
    Current.reset();
  reply({answer.result_int(), std::move(answer.body()), "", true});
}

void StoreConnection::fail(const std::string &why) {
  if (Current) {
    error_code ignored; // the link is given up either way
    Current->Socket.close(ignored);
    Current.reset();
  }
  reply({0, "", why, Sent});
}

void StoreConnection::reply(StoreReply reply) {
  ++Turn;
  Timer.cancel();
  const auto onReply = std::move(OnReply);
  OnReply = nullptr;
  if (onReply)
    onReply(std::move(reply));
}

} // namespace savorytrestle::store
