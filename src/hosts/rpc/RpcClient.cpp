#include "hosts/rpc/RpcClient.h"

#include <exception>
#include <utility>

#include <jsonrpccpp/client/client.h>

#include "hosts/rpc/JsonText.h"

namespace savorytrestle {
namespace hosts {

namespace {

// The library declares its connector with a dynamic exception specification,
// and an override must repeat it.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated"

/// Hands the library's messages to our own transport.
class SendConnector : public jsonrpc::IClientConnector {
public:
  explicit SendConnector(RpcClient::Send send) : Carry(std::move(send)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  void SendRPCMessage(const std::string &message, std::string &result) throw(
      jsonrpc::JsonRpcException) override {
    if (!Carry(message, result))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "the peer did not reply");
  }

private:
  RpcClient::Send Carry;
};

#pragma GCC diagnostic pop

} // namespace

struct RpcClient::Impl {
  explicit Impl(Send send) : Connector(std::move(send)), Client(Connector) {}

  SendConnector Connector;
  jsonrpc::Client Client;
};

RpcClient::RpcClient(Send send) : State(new Impl(std::move(send))) {}

RpcClient::~RpcClient() = default;

RpcOutcome RpcClient::call(const std::string &method,
                           const std::string &params) {
  RpcOutcome outcome;
  try {
    Json::Value input;
    if (!parseJson(params, input)) {
      outcome.Error = "the parameters are no JSON";
      return outcome;
    }
    outcome.Value = writeJson(State->Client.CallMethod(method, input));
    outcome.Ok = true;
  } catch (const std::exception &ec) {
    outcome.Error = ec.what();
  }
  return outcome;
}

} // namespace hosts
} // namespace savorytrestle
