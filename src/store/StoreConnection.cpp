#include "store/StoreConnection.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <boost/beast/http/write.hpp>

#include "platform/StoreProtocol.h"
#include "support/SocketOptions.h"

namespace savorytrestle::store {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Limits that detect a dead connection while a watch waits for its reply,
/// within three seconds: that is the time in which a change must be in force.
constexpr milliseconds ProbeInterval{1000};
constexpr int MaxProbes = 2;
constexpr milliseconds UnackedTimeout{1500};
/// Covers many round trips between any two regions. If the first packet of the
/// handshake is lost, the call fails and has to be made again.
constexpr milliseconds ConnectTimeout{700};
constexpr std::size_t ReadBytes = 16 << 10;

std::optional<Era> eraOf(const http::response<http::string_body> &response) {
  const auto text = response[platform::StoreEraHeader];
  Era era = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &era))
    return std::nullopt;
  return era;
}

} // namespace

StoreConnection::StoreConnection(boost::asio::io_context &io,
                                 tcp::endpoint address,
                                 std::shared_ptr<EraTracker> eras)
    : Io(io), Address(std::move(address)), Eras(std::move(eras)), Timer(io) {}

void StoreConnection::call(const StoreCall &call, milliseconds timeout,
                           ReplyHandler onReply) {
  OnReply = std::move(onReply);
  // Shared with the write handler: the request of a call that has timed out may
  // still be being sent when the next call is made.
  PendingRequest = std::make_shared<Request>(http::string_to_verb(call.Method),
                                             call.Target, 11);
  PendingRequest->set(http::field::host, Address.address().to_string() + ":" +
                                             std::to_string(Address.port()));
  if (!call.Body.empty())
    PendingRequest->set(http::field::content_type, "application/json");
  PendingRequest->body() = call.Body;
  PendingRequest->prepare_payload();
  ++CallNumber;
  Interim = {};
  Sent = false;
  dropIfClosed();
  if (CurrentLink) {
    startTimeout(timeout, "no reply in time");
    return write(CurrentLink);
  }
  // A watch may wait long for its reply, but not for a connection: in a network
  // partition the first packet of the handshake is sent again only after
  // seconds.
  startTimeout(std::min(timeout, ConnectTimeout), "not connected in time");
  CurrentLink = std::make_shared<Link>(Io);
  CurrentLink->Socket.async_connect(
      Address,
      [self = shared_from_this(), link = CurrentLink, timeout](error_code ec) {
        if (self->CurrentLink != link)
          return;
        if (ec)
          return self->fail("connect: " + ec.message());
        self->startTimeout(timeout, "no reply in time");
        support::setNoDelay(link->Socket);
        support::setKeepAliveProbes(link->Socket, ProbeInterval, MaxProbes);
        support::setUnackedTimeout(link->Socket, UnackedTimeout);
        self->write(link);
      });
}

void StoreConnection::startTimeout(milliseconds after, const char *why) {
  Timer.expires_after(after);
  Timer.async_wait(
      [self = shared_from_this(), callNumber = CallNumber, why](error_code ec) {
        if (!ec && self->CallNumber == callNumber)
          self->fail(why);
      });
}

void StoreConnection::dropIfClosed() {
  if (!CurrentLink)
    return;
  // The store may have closed the connection since the last call. Bytes that
  // don't belong to a call would be taken for the next reply.
  error_code ec;
  char next = 0;
  CurrentLink->Socket.non_blocking(true, ec);
  CurrentLink->Socket.receive(boost::asio::buffer(&next, 1),
                              tcp::socket::message_peek, ec);
  if (ec != boost::asio::error::would_block)
    CurrentLink.reset();
}

void StoreConnection::close() {
  OnReply = nullptr;
  fail("closed");
}

void StoreConnection::write(const std::shared_ptr<Link> &link) {
  Sent = true;
  http::async_write(link->Socket, *PendingRequest,
                    [self = shared_from_this(), link,
                     sent = PendingRequest](error_code ec, std::size_t) {
                      if (self->CurrentLink != link)
                        return;
                      if (ec)
                        return self->fail("write: " + ec.message());
                      self->startResponse(*link);
                      self->read(link);
                    });
}

void StoreConnection::startResponse(Link &link) {
  link.Reply.emplace(support::MessageLimits{.MaxBody = MaxReplyBytes});
  link.ReplyBytes = 0;
}

void StoreConnection::read(const std::shared_ptr<Link> &link) {
  link->Socket.async_read_some(
      link->Buffer.prepare(ReadBytes),
      [self = shared_from_this(), link](error_code ec, std::size_t n) {
        if (self->CurrentLink != link)
          return;
        // A reply without a length ends when the connection is closed.
        if (ec == boost::asio::error::eof && link->Reply->parseEnd())
          return self->onResponse(link);
        if (ec)
          return self->fail("read: " + ec.message());
        self->onRead(link, n);
      });
}

void StoreConnection::onRead(const std::shared_ptr<Link> &link, std::size_t n) {
  link->Buffer.commit(n);
  link->ReplyBytes += n;
  do {
    if (!parseResponse(*link))
      return;
    if (link->Reply->done() &&
        support::responseKind(link->Reply->head().result_int()) ==
            support::ResponseKind::Final)
      return onResponse(link);
  } while (link->Reply->done() && skipInterimResponse(*link));
  if (CurrentLink == link)
    read(link);
}

bool StoreConnection::parseResponse(Link &link) {
  if (const error_code ec = link.Reply->parse(link.Buffer)) {
    fail("reply: " + ec.message());
    return false;
  }
  // The parser's limits leave out what surrounds chunks.
  if (link.ReplyBytes > 2 * MaxReplyBytes) {
    fail("reply exceeds " + std::to_string(2 * MaxReplyBytes) + " bytes");
    return false;
  }
  if (!link.Reply->headDone())
    return true;
  const unsigned status = link.Reply->head().result_int();
  if (support::responseKind(status) != support::ResponseKind::Invalid)
    return true;
  fail("status " + std::to_string(status) + " is not the status of a reply");
  return false;
}

bool StoreConnection::skipInterimResponse(Link &link) {
  const std::size_t n = link.ReplyBytes - link.Buffer.size();
  startResponse(link);
  link.ReplyBytes = link.Buffer.size();
  if (Interim.tryAdd(n))
    return true;
  fail("too many interim responses");
  return false;
}

void StoreConnection::onResponse(const std::shared_ptr<Link> &link) {
  const bool keep = link->Reply->keepAlive() && link->Buffer.size() == 0;
  auto response = link->Reply->release();
  if (Eras && !Eras->observe(eraOf(response)))
    return fail("reply of an older store era");
  // A handler of the rise may have closed the connection.
  if (CurrentLink != link)
    return;
  if (!keep)
    CurrentLink.reset();
  complete({response.result_int(), std::move(response.body()), "", true});
}

void StoreConnection::fail(const std::string &why) {
  if (CurrentLink) {
    error_code ignored; // the link is discarded either way
    CurrentLink->Socket.close(ignored);
    CurrentLink.reset();
  }
  complete({0, "", why, Sent});
}

void StoreConnection::complete(StoreReply reply) {
  ++CallNumber;
  Timer.cancel();
  const auto onReply = std::move(OnReply);
  OnReply = nullptr;
  if (onReply)
    onReply(std::move(reply));
}

} // namespace savorytrestle::store
