#include "hosts/rpc/RpcServer.h"

#include <exception>
#include <map>
#include <utility>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "hosts/rpc/JsonText.h"

namespace savorytrestle {
namespace hosts {

namespace {

const char *const MalformedRequestReply =
    R"({"error":{"code":-32700,"message":"request is not valid JSON"},)"
    R"("id":null,"jsonrpc":"2.0"})";

} // namespace

struct RpcServer::Impl : jsonrpc::IProcedureInvokationHandler {
  Impl()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  void HandleMethodCall(jsonrpc::Procedure &proc, const Json::Value &input,
                        Json::Value &output) override {
    const auto it = Methods.find(proc.GetProcedureName());
    if (it == Methods.end() || !parseJson(it->second(writeJson(input)), output))
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
          "method is unknown or its result is not valid JSON");
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  void HandleNotificationCall(jsonrpc::Procedure & /*proc*/,
                              const Json::Value & /*input*/) override {}

  std::map<std::string, Handler> Methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
};

RpcServer::RpcServer() : State(new Impl) {}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &method, Handler handler) {
  State->Methods[method] = std::move(handler);
  State->Protocol->AddProcedure(jsonrpc::Procedure(
      method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string RpcServer::handle(const std::string &request) const {
  std::string response;
  try {
    State->Protocol->HandleRequest(request, response);
  } catch (const std::exception &) {
    // jsoncpp throws if the input is nested too deeply.
    return MalformedRequestReply;
  }
  return response;
}

} // namespace hosts
} // namespace savorytrestle
