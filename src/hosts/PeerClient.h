#ifndef SAVORYTRESTLE_HOSTS_PEER_CLIENT_H
#define SAVORYTRESTLE_HOSTS_PEER_CLIENT_H

/// @file
/// @brief JSON-RPC calls from this host to another.

#include <chrono>
#include <string>

#include "hosts/rpc/RpcClient.h"
#include "savorytrestle/core/Error.h"
#include "support/HttpClient.h"

namespace savorytrestle::hosts {

/// @brief Path of the JSON-RPC end point on a host's peer listener.
inline const std::string RpcPath = "/rpc";

/// @brief Calls any peer; one thread at a time.
class PeerClient {
public:
  /// @brief Makes a caller that makes no call yet.
  /// @param timeout bound on each call
  explicit PeerClient(std::chrono::milliseconds timeout);
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// @brief Calls a method of a peer.
  /// @param address "ip:port" of its peer listener
  /// @param method name of the method
  /// @param params JSON text of an object
  /// @return the result's JSON text; OutcomeUnknown when the peer may have
  ///   acted
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
