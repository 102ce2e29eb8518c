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

/// Sends the library's messages over the client's transport.
class TransportConnector : public jsonrpc::IClientConnector {
public:
  explicit TransportConnector(RpcClient::Transport transport)
      : SendRequest(std::move(transport)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  void SendRPCMessage(const std::string &message, std::string &result) throw(
      jsonrpc::JsonRpcException) override {
    if (!SendRequest(message, result))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no reply from peer");
  }

private:
  RpcClient::Transport SendRequest;
};

#pragma GCC diagnostic pop

} // namespace

struct RpcClient::Impl {
  explicit Impl(Transport transport)
      : Connector(std::move(transport)), Client(Connector) {}

  TransportConnector Connector;
  jsonrpc::Client Client;
};

RpcClient::RpcClient(Transport transport)
    : State(new Impl(std::move(transport))) {}

RpcClient::~RpcClient() = default;

RpcOutcome RpcClient::call(const std::string &method,
                           const std::string &params) {
  RpcOutcome outcome;
  try {
    Json::Value input;
    if (!parseJson(params, input)) {
      outcome.Error = "parameters are not valid JSON";
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
