#ifndef SAVORYTRESTLE_HOSTS_RPC_RPC_CLIENT_H
#define SAVORYTRESTLE_HOSTS_RPC_RPC_CLIENT_H

/// @file
/// @brief JSON-RPC client over a transport that its user supplies.
///
/// This header is compiled as C++14 and as C++20, so it uses only types whose
/// layout is the same in both.

#include <functional>
#include <memory>
#include <string>

namespace savorytrestle {
namespace hosts {

/// @brief Result of a remote call, or the reason of its failure.
struct RpcOutcome {
  bool Ok = false;
  /// Result as JSON text; empty on failure.
  std::string Value;
  /// Reason of the failure; empty on success.
  std::string Error;
};

/// @brief Calls remote methods; not safe for use by two threads at once.
class RpcClient {
public:
  /// @brief Sends a request and sets the reply; returns false if there is none.
  using Transport =
      std::function<bool(const std::string &request, std::string &reply)>;

  /// @brief Creates a client; makes no call.
  /// @param transport sends the requests
  explicit RpcClient(Transport transport);
  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;
  ~RpcClient();

  /// @brief Calls a method and waits for its result.
  /// @param method name of the method
  /// @param params JSON text of an object
  /// @return the result or the reason of the failure; never throws
  RpcOutcome call(const std::string &method, const std::string &params);

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace hosts
} // namespace savorytrestle

#endif
