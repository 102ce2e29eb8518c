#include "leaf/LeafConnection.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include "support/SocketOptions.h"

namespace savorytrestle::leaf {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using support::ResponseKind;

namespace {

constexpr std::size_t ReadBytes = 8192;
/// The connection is closed if sent bytes stay unacknowledged for so long.
constexpr milliseconds UnackedTimeout{2000};
/// Idle time-out that is assumed for leaves whose answers state none.
constexpr milliseconds DefaultKeepAlive{4000};

/// Returns the "timeout=N" of the Keep-Alive header, or the default.
milliseconds statedKeepAlive(const LeafAnswer &answer) {
  const auto header = answer.find(http::field::keep_alive);
  if (header == answer.end())
    return DefaultKeepAlive;
  const auto text = header->value();
  const auto at = text.find("timeout=");
  int seconds = 0;
  if (at == boost::beast::string_view::npos)
    return DefaultKeepAlive;
  const auto rest = text.substr(at + 8);
  const auto end = rest.find_first_not_of("0123456789");
  const auto digits = rest.substr(0, end);
  if (!absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()),
                        &seconds))
    return DefaultKeepAlive;
  return std::chrono::seconds(seconds);
}

} // namespace

LeafConnection::LeafConnection(boost::asio::io_context &context,
                               CloseHandler onClose,
                               std::shared_ptr<AnswerMemory> memory)
    : Socket(context), OnClose(std::move(onClose)), Memory(std::move(memory)),
      KeepAlive(DefaultKeepAlive) {}

void LeafConnection::send(const tcp::endpoint &address, LeafRequest request,
                          ReplyHandler onReply) {
  Request = std::move(request);
  OnReply = std::move(onReply);
  Interim = {};
  startResponse();
  if (Open)
    write();
  else
    connect(address);
}

void LeafConnection::startResponse() {
  Answer.emplace(support::MessageLimits{.MaxBody = Memory->limits().MaxAnswer});
  if (Request.method() == http::verb::head)
    Answer->skipBody();
}

void LeafConnection::close() {
  OnReply = nullptr;
  closeSocket();
}

void LeafConnection::cancelConnect() {
  boost::asio::post(Socket.get_executor(), [self = shared_from_this()] {
    if (self->Connecting && !self->Closed)
      self->fail(Delivery::NotSent, "leaf accepts no requests");
  });
}

void LeafConnection::connect(const tcp::endpoint &address) {
  Connecting = true;
  Socket.async_connect(address, [self = shared_from_this()](error_code ec) {
    self->Connecting = false;
    if (self->Closed)
      return;
    if (ec)
      return self->fail(Delivery::NotSent, "connect: " + ec.message());
    self->Open = true;
    support::setNoDelay(self->Socket);
    support::setUnackedTimeout(self->Socket, UnackedTimeout);
    self->read();
    self->write();
  });
}

void LeafConnection::write() {
  Writing = true;
  http::async_write(Socket, Request,
                    [self = shared_from_this()](error_code ec, std::size_t) {
                      self->Writing = false;
                      if (ec && self->OnReply)
                        self->fail(Delivery::Broken, "write: " + ec.message());
                    });
}

void LeafConnection::read() {
  Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->onRead(ec, n);
      });
}

void LeafConnection::onRead(error_code ec, std::size_t n) {
  if (Closed)
    return;
  // An answer without a length ends when the connection is closed. Any other
  // has been truncated.
  if (ec == boost::asio::error::eof && OnReply && Answer->parseEnd()) {
    Open = false;
    return finishAnswer();
  }
  if (ec) {
    const bool unexpected =
        !OnReply && std::chrono::steady_clock::now() - IdleSince < KeepAlive;
    fail(Delivery::Broken, "read: " + ec.message());
    if (unexpected && OnUnexpectedClose)
      OnUnexpectedClose();
    return;
  }
  Buffer.commit(n);
  if (!OnReply)
    return fail(Delivery::Broken, "leaf sent bytes without a pending request");
  // The parser's own limits leave out what surrounds chunks.
  if (AnswerBytes + n > Memory->limits().MaxAnswer + Parser::MaxUnparsed)
    return fail(Delivery::Broken,
                "answer exceeds " + std::to_string(Memory->limits().MaxAnswer) +
                    " bytes");
  if (!Memory->tryAdd(n))
    return fail(Delivery::Broken,
                "unfinished answers exceed " +
                    std::to_string(Memory->limits().MaxUnfinished) + " bytes");
  AnswerBytes += n;
  parse();
}

void LeafConnection::parse() {
  do {
    if (!parseResponse())
      return;
    if (Answer->done() && responseKind() == ResponseKind::Final)
      return finishAnswer();
  } while (Answer->done() && skipInterimResponse());
  if (!Closed)
    read();
}

bool LeafConnection::parseResponse() {
  if (const error_code ec = Answer->parse(Buffer)) {
    fail(Delivery::Broken, "answer: " + ec.message());
    return false;
  }
  // Checked before the body arrives, which may never end.
  if (Answer->headDone() && responseKind() == ResponseKind::Invalid) {
    fail(Delivery::Broken, "answer: status " +
                               std::to_string(Answer->head().result_int()) +
                               " is not the status of an answer");
    return false;
  }
  return true;
}

ResponseKind LeafConnection::responseKind() const {
  return support::responseKind(Answer->head().result_int());
}

bool LeafConnection::skipInterimResponse() {
  const std::size_t n = AnswerBytes - Buffer.size();
  Memory->release(n);
  AnswerBytes -= n;
  if (!Interim.tryAdd(n)) {
    fail(Delivery::Broken, "answer: too many interim responses");
    return false;
  }
  startResponse();
  return true;
}

void LeafConnection::releaseMemory() {
  Memory->release(std::exchange(AnswerBytes, 0));
}

void LeafConnection::finishAnswer() {
  LeafReply reply;
  reply.Result = Delivery::Answered;
  // A leaf may answer before it has read the whole request body. It would then
  // take the next request on the connection for the rest of that body.
  const bool keep =
      Open && !Writing && Answer->keepAlive() && Buffer.size() == 0;
  reply.Answer = Answer->release();
  releaseMemory();
  KeepAlive = statedKeepAlive(reply.Answer);
  IdleSince = std::chrono::steady_clock::now();
  auto onReply = std::move(OnReply);
  OnReply = nullptr;
  if (keep)
    read();
  else
    closeSocket();
  onReply(std::move(reply));
}

void LeafConnection::fail(Delivery result, const std::string &reason) {
  auto onReply = std::move(OnReply);
  OnReply = nullptr;
  closeSocket();
  if (onReply)
    onReply({result, {}, reason});
}

void LeafConnection::closeSocket() {
  if (Closed)
    return;
  Closed = true;
  Open = false;
  releaseMemory();
  error_code ignored; // the socket may be closed already
  Socket.close(ignored);
  if (OnClose)
    OnClose();
}

} // namespace savorytrestle::leaf
