#ifndef SAVORYTRESTLE_HOSTS_PEER_CLIENT_H
#define SAVORYTRESTLE_HOSTS_PEER_CLIENT_H

/// @file
/// @brief JSON-RPC client for calls to other hosts.

#include <chrono>
#include <string>

#include "hosts/rpc/RpcClient.h"
#include "savorytrestle/core/Error.h"
#include "support/HttpClient.h"

namespace savorytrestle::hosts {

/// @brief Path of the JSON-RPC endpoint on a host's peer listener.
inline const std::string RpcPath = "/rpc";

/// @brief Calls methods of any peer; not safe for use by two threads at once.
class PeerClient {
public:
  /// @brief Creates a client; makes no call.
  /// @param timeout time-out of each call
  explicit PeerClient(std::chrono::milliseconds timeout);
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// @brief Calls a method of a peer.
  /// @param address "ip:port" of its peer listener
  /// @param method name of the method
  /// @param params JSON text of an object
  /// @return the result's JSON text, or OutcomeUnknown on failure: the
  ///   peer may have executed the call
  core::Result<std::string> call(const std::string &address,
                                 const std::string &method,
                                 const std::string &params);

private:
  bool send(const std::string &request, std::string &reply);

  std::chrono::milliseconds Timeout;
  support::HttpClient Http;
  std::string Url;
  RpcClient Rpc;
};

} // namespace savorytrestle::hosts

#endif
