#include "support/HttpClient.h"
#include "support/HttpServer.h"

#include <atomic>

#include <gtest/gtest.h>

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

} // namespace
