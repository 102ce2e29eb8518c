#include "hosts/PeerClient.h"

#include <utility>

namespace savorytrestle::hosts {

namespace {

constexpr int StatusOk = 200;

} // namespace

PeerClient::PeerClient(std::chrono::milliseconds timeout)
    : Timeout(timeout),
      Rpc([this](const std::string &request, std::string &reply) {
        return send(request, reply);
      }) {}

// The peer changes with each call, so a kept-alive connection would only occupy
// a worker thread of a peer that may not be called again for minutes.
bool PeerClient::send(const std::string &request, std::string &reply) {
  support::HttpCall call;
  call.Method = "POST";
  call.Url = Url;
  call.Body = request;
  call.Headers["Content-Type"] = "application/json";
  call.Headers["Connection"] = "close";
  call.Timeout = Timeout;
  auto answer = Http.send(call);
  if (!answer || answer->Status != StatusOk)
    return false;
  reply = std::move(answer->Body);
  return true;
}

core::Result<std::string> PeerClient::call(const std::string &address,
                                           const std::string &method,
                                           const std::string &params) {
  Url = "http://" + address + RpcPath;
  auto outcome = Rpc.call(method, params);
  if (!outcome.Ok)
    return core::makeError(core::ErrorCode::OutcomeUnknown,
                           address + " " + method + ": " + outcome.Error);
  return std::move(outcome.Value);
}

} // namespace savorytrestle::hosts
