#include "support/FinalResponseGuard.h"

#include <thread>

#include <gtest/gtest.h>

#include "backend/LeafTransport.h"
#include "standins/RawLeaf.h"
#include "standins/ResponseHeads.h"
#include "support/HttpClient.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using backend::CallFailure;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// A server on a thread of its own that sends the same bytes for each request.
class RawServer {
public:
  explicit RawServer(RawAnswer answer)
      : Leaf(Io, [answer = std::move(answer)](
                     const std::string &) { return answer; }),
        Thread([this] { Io.run(); }) {}
  ~RawServer() {
    Io.stop();
    Thread.join();
  }

  std::string url() const { return "http://" + Leaf.addressText() + "/x"; }
  int requests() const { return Leaf.requests(); }

private:
  boost::asio::io_context Io;
  RawLeaf Leaf;
  std::thread Thread;
};

/// One call of the transport that searches and writes use.
backend::LeafCallResult callLeaf(const RawServer &server,
                                 std::chrono::milliseconds timeout) {
  backend::LeafTransport transport(backend::LeafTransportOptions{});
  backend::LeafCall call;
  call.Url = server.url();
  call.Body = "{}";
  call.Deadline = SteadyClock::now() + timeout;
  backend::LeafCallResult result;
  transport.send(std::move(call), SteadyClock::now(),
                 [&](backend::LeafCallResult got) { result = std::move(got); });
  while (transport.pendingCalls() > 0)
    transport.processEvents(10ms);
  return result;
}

core::Result<support::HttpReply> sendHttp(const RawServer &server) {
  support::HttpCall call;
  call.Url = server.url();
  call.Timeout = 20s;
  return support::HttpClient().send(call);
}

TEST(FinalResponseGuard, InterimResponsesBeforeTheReplyAreSkipped) {
  for (const std::string &interim : interimResponses()) {
    const RawServer server({.Bytes = repeat(interim, 20),
                            .Rest = leafAnswer("hello", "B: final\r\n")});
    const auto result = callLeaf(server, 20s);
    EXPECT_FALSE(result.Failure.has_value()) << interim;
    EXPECT_EQ(result.Status, 200) << interim;
    EXPECT_EQ(result.Body, "hello") << interim;
    const auto reply = sendHttp(server);
    ASSERT_TRUE(reply.has_value()) << interim;
    EXPECT_EQ(reply->Body, "hello") << interim;
    EXPECT_EQ(reply->Headers.at("b"), "final");
    EXPECT_EQ(reply->Headers.count("retry-after"), 0U) << interim;
  }
}

/// Guards against a call that waits until its deadline for a reply that the
/// peer has taken for given, or that counts as not sent.
TEST(FinalResponseGuard, AnInvalidStatusFailsTheCallAtOnce) {
  for (const std::string &head : invalidHeads()) {
    const RawServer server({head + "\r\n"});
    const auto start = SteadyClock::now();
    EXPECT_EQ(callLeaf(server, 20s).Failure, CallFailure::ConnectionLost)
        << head;
    const auto reply = sendHttp(server);
    ASSERT_FALSE(reply.has_value()) << head;
    EXPECT_EQ(reply.error().Code, core::ErrorCode::OutcomeUnknown);
    EXPECT_LT(SteadyClock::now() - start, 10s) << head;
    EXPECT_EQ(server.requests(), 2) << head;
  }
}

TEST(FinalResponseGuard, ACallWithoutAFinalReplyExpires) {
  const RawServer server({interimResponses().front()});
  EXPECT_EQ(callLeaf(server, 100ms).Failure, CallFailure::Expired);
}

TEST(FinalResponseGuard, InterimResponsesWithoutAnEndFailTheCall) {
  for (const std::string &bytes :
       {repeat("HTTP/1.1 100 Continue\r\n\r\n", 10000),
        "HTTP/1.1 103 X\r\n" + repeat("A: b\r\n", 100000)}) {
    const RawServer server({bytes});
    EXPECT_EQ(callLeaf(server, 20s).Failure, CallFailure::ConnectionLost)
        << bytes.substr(0, 12);
  }
}

TEST(FinalResponseGuard, AStatusIsANumberOfThreeDigits) {
  for (const char *line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n",
                           "HTTP/1.0 599 X\r\n", "HTTP/1.1 103 X\r\n"})
    EXPECT_TRUE(support::FinalResponseGuard().accept(line)) << line;
  for (const char *line : {"HTTP/1.1 2000 X\r\n", "HTTP/1.1 20 X\r\n",
                           "HTTP/1.1 x00 X\r\n", "HTTP/1.1\r\n", "HTTP/"})
    EXPECT_FALSE(support::FinalResponseGuard().accept(line)) << line;
}

} // namespace
