#include "EventLoop.h"
#include "entry/Answers.h"
#include "entry/Listener.h"

#include <stdexcept>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A listener and a caller that writes bytes to it.
class CallerSessionTest : public ::testing::Test {
protected:
  CallerSessionTest() {
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                const entry::AnswerHandler &respond) {
      ++Requests;
      if (request.target() == "/throws")
        throw std::length_error("too long");
      respond(entry::textAnswer(boost::beast::http::status::ok, "fine"));
      return entry::CancelHandler();
    };
    EXPECT_TRUE(Callers->open("127.0.0.1:0"));
    Caller.connect(Callers->address());
  }

  void send(const std::string &bytes) {
    boost::asio::write(Caller, boost::asio::buffer(bytes));
  }

  /// Reads until a part of an answer has come.
  bool receives(const std::string &part) {
    readMore();
    return runUntil(
        Io, [&] { return Got.find(part) != std::string::npos; }, 5s);
  }

  void readMore() {
    Caller.async_read_some(boost::asio::buffer(Piece),
                           [this](boost::system::error_code ec, std::size_t n) {
                             Got.append(Piece.data(), n);
                             if (!ec)
                               readMore();
                           });
  }

  boost::asio::io_context Io;
  std::shared_ptr<entry::SessionContext> Context =
      std::make_shared<entry::SessionContext>();
  std::shared_ptr<entry::Listener> Callers =
      std::make_shared<entry::Listener>(Io, Context);
  tcp::socket Caller{Io};
  std::array<char, 4096> Piece{};
  std::string Got;
  int Requests = 0;
};

/// Guards against connections and memory that callers hold for good with bodies
/// that never go on.
TEST_F(CallerSessionTest, ABodyThatStallsIsRefused) {
  Context->Limits.IdleTimeout = 300ms;
  send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_TRUE(receives("HTTP/1.1 408 "));
  EXPECT_EQ(Requests, 0);
}

/// Guards against kept connections that go by the limits of an older version.
TEST_F(CallerSessionTest, LimitsThatChangeWhileAConnectionIsIdleCount) {
  const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x');
  Context->Limits.MaxBodyBytes = 50;
  send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(receives("fine"));
  Got.clear();
  Context->Limits.MaxBodyBytes = 100;
  send(request);
  ASSERT_TRUE(runUntil(
      Io, [&] { return Got.find("fine") != std::string::npos; }, 5s))
      << Got;
  Got.clear();
  Context->Limits.MaxBodyBytes = 99;
  send(request);
  EXPECT_TRUE(runUntil(
      Io, [&] { return Got.find("HTTP/1.1 413 ") != std::string::npos; }, 5s))
      << Got;
}

/// Guards against the end of the host by one request.
TEST_F(CallerSessionTest, ARequestWhoseHandlerThrowsGetsAnError) {
  send("GET /throws HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(receives("HTTP/1.1 500 "));
  send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(runUntil(
      Io, [&] { return Got.find("fine") != std::string::npos; }, 5s));
}

} // namespace
