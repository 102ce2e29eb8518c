#include "hosts/rpc/RpcClient.h"
#include "hosts/rpc/RpcServer.h"

#include <gtest/gtest.h>

using namespace savorytrestle::hosts;

namespace {

RpcClient::Transport loopback(const RpcServer &server) {
  return [&server](const std::string &request, std::string &reply) {
    reply = server.handle(request);
    return true;
  };
}

TEST(Rpc, PassesParametersAndResultUnchanged) {
  RpcServer server;
  server.addMethod("echo", [](const std::string &params) { return params; });
  RpcClient client(loopback(server));
  const auto outcome =
      client.call("echo", R"({"revision":18446744073709551615})");
  EXPECT_TRUE(outcome.Ok) << outcome.Error;
  EXPECT_EQ(outcome.Value, R"({"revision":18446744073709551615})");
}

TEST(Rpc, CallOfAnUnknownMethodReturnsAFailure) {
  RpcServer server;
  RpcClient client(loopback(server));
  EXPECT_FALSE(client.call("none", "{}").Ok);
}

TEST(Rpc, CallReturnsAFailureIfTheResultIsNotJson) {
  RpcServer server;
  server.addMethod("broken", [](const std::string &) { return "{"; });
  RpcClient client(loopback(server));
  EXPECT_FALSE(client.call("broken", "{}").Ok);
}

TEST(Rpc, CallReturnsAFailureIfThereIsNoReply) {
  RpcClient client([](const std::string &, std::string &) { return false; });
  EXPECT_FALSE(client.call("echo", "{}").Ok);
}

TEST(Rpc, CallReturnsAFailureIfTheReplyIsMalformed) {
  RpcClient client([](const std::string &, std::string &reply) {
    reply = R"({"jsonrpc":"2.0")";
    return true;
  });
  EXPECT_FALSE(client.call("echo", "{}").Ok);
}

TEST(Rpc, AMalformedRequestGetsAnErrorReply) {
  const RpcServer server;
  EXPECT_NE(server.handle("not json").find("error"), std::string::npos);
  EXPECT_NE(server.handle(std::string(20000, '[')).find("error"),
            std::string::npos);
}

} // namespace
