#ifndef SAVORYTRESTLE_HOSTS_RPC_RPC_SERVER_H
#define SAVORYTRESTLE_HOSTS_RPC_RPC_SERVER_H

/// @file
/// @brief JSON-RPC method table that answers request bodies.
///
/// This header is read as C++14 and as C++20, so it holds only types whose
/// layout is the same in both.

#include <functional>
#include <memory>
#include <string>

namespace savorytrestle {
namespace hosts {

/// @brief Dispatches JSON-RPC requests to handlers.
///
/// Methods are added before the first request; after that any number of threads
/// may call handle at once.
class RpcServer {
public:
  /// @brief Turns the parameters (JSON text) into a result (JSON text).
  using Handler = std::function<std::string(const std::string &params)>;

  RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;
  ~RpcServer();

  /// @brief Adds a method.
  /// @param method its name
  /// @param handler answers its calls; may run on several threads
  void addMethod(const std::string &method, Handler handler);

  /// @brief Answers one request.
  /// @param request the request body
  /// @return the response body, also for a malformed request; never throws
  std::string handle(const std::string &request) const;

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace hosts
} // namespace savorytrestle

#endif
