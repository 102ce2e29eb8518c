#ifndef SAVORYTRESTLE_HOSTS_RPC_RPC_SERVER_H
#define SAVORYTRESTLE_HOSTS_RPC_RPC_SERVER_H

/// @file
/// @brief Dispatch of JSON-RPC requests, independent of the transport.
///
/// This header is compiled as C++14 and as C++20, so it uses only types whose
/// layout is the same in both.

#include <functional>
#include <memory>
#include <string>

namespace savorytrestle {
namespace hosts {

/// @brief Dispatches JSON-RPC requests to handlers.
///
/// All methods must be added before the first request. After that, several
/// threads may call handle at once.
class RpcServer {
public:
  /// @brief Executes a call: takes the parameters and returns the result, both
  /// as JSON text.
  using Handler = std::function<std::string(const std::string &params)>;

  RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;
  ~RpcServer();

  /// @brief Adds a method.
  /// @param method its name
  /// @param handler executes its calls; several threads may call it at once
  void addMethod(const std::string &method, Handler handler);

  /// @brief Processes one request.
  /// @param request the request body
  /// @return the response body; an error response if the request is malformed;
  ///   never throws
  std::string handle(const std::string &request) const;

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace hosts
} // namespace savorytrestle

#endif
