#include "entry/CallerSession.h"

#include <boost/beast/http/write.hpp>

#include "entry/Answers.h"
#include "support/RunHandlers.h"
#include "support/SocketOptions.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadBytes = 4096;
/// Bytes of pipelined requests that are buffered while a request is handled.
constexpr std::size_t MaxReadAhead = 65536;

} // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket,
                             std::shared_ptr<const SessionContext> context)
    : Socket(std::move(socket)), Context(std::move(context)),
      TimeoutStart(std::chrono::steady_clock::now()) {}

void CallerSession::start() {
  error_code ec;
  if (const auto remote = Socket.remote_endpoint(ec); !ec)
    Remote = remote.address();
  support::setNoDelay(Socket);
  read();
}

void CallerSession::startRequest() {
  State = Phase::Receiving;
  TimeoutStart = std::chrono::steady_clock::now();
  // Limits that changed while the connection was idle count for this request.
  Request.emplace(
      support::MessageLimits{.MaxHead = Context->Limits.MaxHeaderBytes,
                             .MaxBody = Context->Limits.MaxBodyBytes});
  ContinueSent = false;
}

void CallerSession::enforceTimeouts(TimePoint now) {
  if (State == Phase::Idle && now - TimeoutStart > Context->Limits.IdleTimeout)
    return close();
  if (State == Phase::Receiving && !Request->headDone() &&
      now - TimeoutStart > Context->Limits.HeaderTimeout)
    refuse(http::status::request_timeout,
           "request header not received within the header timeout");
  else if (State == Phase::Receiving && Request->headDone() &&
           now - LastReadAt > Context->Limits.IdleTimeout)
    refuse(http::status::request_timeout,
           "request body not received within the idle timeout");
}

void CallerSession::closeIfIdle() {
  if (State == Phase::Idle)
    close();
}

void CallerSession::read() {
  if (ReadPending || State == Phase::Closed)
    return;
  ReadPending = true;
  Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      [self = shared_from_this()](error_code ec, std::size_t n) {
        self->ReadPending = false;
        self->onRead(ec, n);
      });
}

void CallerSession::onRead(error_code ec, std::size_t n) {
  if (State == Phase::Closed)
    return;
  if (ec) {
    if (State == Phase::Handling && Cancel)
      Cancel();
    return close();
  }
  Buffer.commit(n);
  LastReadAt = std::chrono::steady_clock::now();
  if (busy()) {
    if (Buffer.size() < MaxReadAhead)
      read();
    return;
  }
  parse();
}

void CallerSession::parse() {
  if (State == Phase::Idle)
    startRequest();
  const error_code ec = Request->parse(Buffer);
  if (ec == http::error::header_limit)
    return refuse(http::status::request_header_fields_too_large,
                  "request header exceeds maxHeaderBytes");
  if (ec == http::error::body_limit)
    return refuse(http::status::payload_too_large,
                  "request body exceeds maxBodyBytes");
  if (ec)
    return refuse(http::status::bad_request, ec.message());
  if (Request->done())
    dispatch();
  else
    sendContinue();
  read();
}

void CallerSession::sendContinue() {
  if (ContinueSent || !Request->headDone() ||
      !boost::beast::iequals(Request->head()[http::field::expect],
                             "100-continue"))
    return;
  ContinueSent = true;
  // A synchronous write is safe here: no other write is pending and the line
  // fits into the socket's buffer. If it fails, the caller sends its body after
  // a time-out of its own.
  constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;
  Socket.non_blocking(true, ignored);
  Socket.write_some(boost::asio::buffer(Line), ignored);
}

void CallerSession::dispatch() {
  State = Phase::Handling;
  KeepAlive = Request->keepAlive();
  const std::uint64_t requestNumber = ++RequestNumber;
  auto respond = [self = shared_from_this(),
                  requestNumber](CallerAnswer callerAnswer) {
    if (self->RequestNumber == requestNumber && self->State == Phase::Handling)
      self->answer(std::move(callerAnswer), self->KeepAlive);
  };
  CancelHandler cancel;
  if (!support::callGuarded([&] {
        cancel =
            Context->OnRequestFrom
                ? Context->OnRequestFrom(Request->release(), Remote, respond)
                : Context->OnRequest(Request->release(), respond);
      }))
    respond(
        errorAnswer(http::status::internal_server_error, "unexpected error"));
  if (State == Phase::Handling && RequestNumber == requestNumber)
    Cancel = std::move(cancel);
}

void CallerSession::refuse(http::status status, const std::string &reason) {
  answer(errorAnswer(status, reason), false);
}

void CallerSession::answer(CallerAnswer callerAnswer, bool keepAlive) {
  State = Phase::Answering;
  Cancel = nullptr;
  KeepAlive = keepAlive && !Context->Draining;
  Answer.emplace(std::move(callerAnswer));
  Answer->version(11);
  Answer->keep_alive(KeepAlive);
  if (KeepAlive)
    Answer->set(http::field::keep_alive,
                "timeout=" +
                    std::to_string(std::chrono::floor<std::chrono::seconds>(
                                       Context->Limits.IdleTimeout)
                                       .count()));
  Answer->prepare_payload();
  http::async_write(Socket, *Answer,
                    [self = shared_from_this()](error_code ec, std::size_t) {
                      self->onWritten(ec);
                    });
}

void CallerSession::onWritten(error_code ec) {
  if (State == Phase::Closed)
    return;
  if (ec || !KeepAlive)
    return close();
  Answer.reset();
  Request.reset();
  State = Phase::Idle;
  TimeoutStart = std::chrono::steady_clock::now();
  if (Buffer.size() > 0)
    parse();
  else
    read();
}

void CallerSession::close() {
  State = Phase::Closed;
  Cancel = nullptr;
  error_code ignored; // the peer may have closed the connection already
  Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  Socket.close(ignored);
}

} // namespace savorytrestle::entry
