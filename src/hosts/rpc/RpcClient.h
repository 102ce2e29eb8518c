#ifndef SAVORYTRESTLE_HOSTS_RPC_RPC_CLIENT_H
#define SAVORYTRESTLE_HOSTS_RPC_RPC_CLIENT_H

/// @file
/// @brief JSON-RPC client over a transport that the caller brings.
///
/// This header is read as C++14 and as C++20, so it holds only types whose
/// layout is the same in both.

#include <functional>
#include <memory>
#include <string>

namespace savorytrestle {
namespace hosts {

/// @brief How a remote call ended.
struct RpcOutcome {
  bool Ok = false;
  /// Result as JSON text; empty unless Ok.
  std::string Value;
  /// Reason of the failure; empty when Ok.
  std::string Error;
};

/// @brief Calls methods of one peer; one thread at a time.
class RpcClient {
public:
  /// @brief Carries a request and fills in the reply; false when none came.
  using Transport =
      std::function<bool(const std::string &request, std::string &reply)>;

  /// @brief Makes a client that makes no call yet.
  /// @param transport the transport
  explicit RpcClient(Transport transport);
  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;
  ~RpcClient();

  /// @brief Calls a method and waits for its result.
  /// @param method name of the method
  /// @param params a JSON object as text
  /// @return the result, or why there is none; never throws
  RpcOutcome call(const std::string &method, const std::string &params);

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace hosts
} // namespace savorytrestle

#endif
