#include "support/HttpClient.h"
#include "support/HttpServer.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "standins/HostileBytes.h"
#include "standins/RawLeaf.h"

using namespace savorytrestle;
using support::HttpCall;
using support::HttpClient;
using support::HttpRequest;
using support::HttpResponse;
using support::HttpServer;

namespace {

std::unique_ptr<HttpServer> serve(HttpServer::Handler handler) {
  support::HttpServerOptions options;
  options.Listen = "127.0.0.1:0";
  options.Threads = 4;
  options.MaxBodyBytes = 1024;
  return std::move(HttpServer::start(options, std::move(handler)).value());
}

HttpCall put(const HttpServer &server, std::string body) {
  HttpCall call;
  call.Method = "PUT";
  call.Url = "http://127.0.0.1:" + std::to_string(server.port()) + "/x?a=b%20c";
  call.Body = std::move(body);
  return call;
}

TEST(Http, TransfersRequestAndResponse) {
  const auto server = serve([](const HttpRequest &request) {
    HttpResponse response;
    response.Status = 409;
    response.Body = request.Method + request.Path + request.Body +
                    request.parameter("a").value_or("");
    response.Headers["X-Test"] = "yes";
    return response;
  });
  HttpClient client;
  const auto reply = client.send(put(*server, "body"));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->Status, 409);
  EXPECT_EQ(reply->Body, "PUT/xbodyb c");
  EXPECT_EQ(reply->Headers.at("x-test"), "yes");
}

TEST(Http, RefusesALargeBodyWithoutCallingTheHandler) {
  std::atomic<int> handled{0};
  const auto server = serve([&](const HttpRequest &) {
    ++handled;
    return HttpResponse();
  });
  HttpClient client;
  const auto reply = client.send(put(*server, std::string(2000, 'x')));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->Status, 413);
  EXPECT_EQ(handled, 0);
}

TEST(Http, DoesNotResendARequestAfterALostReply) {
  std::atomic<int> handled{0};
  const auto server = serve([&](const HttpRequest &) {
    HttpResponse response;
    response.Abort = ++handled > 1;
    return response;
  });
  HttpClient client;
  ASSERT_TRUE(client.send(put(*server, "")));
  const auto lost = client.send(put(*server, ""));
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().Code, core::ErrorCode::OutcomeUnknown);
  EXPECT_EQ(handled, 2);
}

TEST(Http, ReportsStoreUnavailableWithoutAConnection) {
  HttpClient client;
  HttpCall call;
  call.Url = "http://127.0.0.1:9/";
  EXPECT_EQ(client.send(call).error().Code, core::ErrorCode::StoreUnavailable);
}

/// Guards against replies that fill the memory of the process: libcurl keeps
/// all headers, and a body has no bound of its own.
TEST(Http, RepliesWithoutAnEndFail) {
  const std::string endless(4 << 20, 'x');
  std::string fields;
  for (int i = 0; i < 5000; ++i)
    fields += "A-" + std::to_string(i) + ": " + std::string(80, 'x') + "\r\n";
  auto replies = tests::hostileMessages("HTTP/1.1 200 OK");
  replies.push_back({"body without end", "HTTP/1.1 200 OK\r\n\r\n" + endless});
  replies.push_back({"head of long fields", "HTTP/1.1 200 OK\r\n" + fields +
                                                "Content-Length: 1\r\n\r\nx"});
  for (const auto &[name, bytes] : replies) {
    boost::asio::io_context io;
    tests::RawLeaf peer(io, [&, reply = bytes](const std::string &) {
      return tests::RawAnswer{reply, std::chrono::milliseconds(0), true};
    });
    std::thread thread([&] { io.run(); });
    HttpCall call;
    call.Url = "http://" + peer.addressText() + "/";
    call.MaxReplyBytes = 1 << 20;
    call.Timeout = std::chrono::seconds(5);
    HttpClient client;
    const auto reply = client.send(call);
    // libcurl reads a body whose length is no number it holds up to the close.
    EXPECT_TRUE(!reply || (name == "length near the largest number" &&
                           reply->Body == "x"))
        << name;
    io.stop();
    thread.join();
  }
}

/// Guards against the end of the process by a request that its handler can't
/// bear.
TEST(Http, AHandlerThatThrowsAnswersWithAnError) {
  const auto server = serve([](const HttpRequest &request) -> HttpResponse {
    if (request.Body == "bad")
      throw std::length_error("too long");
    return {};
  });
  HttpClient client;
  EXPECT_EQ(client.send(put(*server, "bad"))->Status, 500);
  EXPECT_EQ(client.send(put(*server, "good"))->Status, 200);
}

} // namespace
