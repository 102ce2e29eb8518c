#ifndef SAVORYTRESTLE_STORE_HOST_LIST_H
#define SAVORYTRESTLE_STORE_HOST_LIST_H

/// @file
/// @brief Client of the platform's list of live and leaving hosts.
///
/// The list lags and is only a hint: a host that is missing from it keeps its
/// slot, and a host that it names may have stopped.

#include <chrono>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Membership.h"
#include "support/HttpClient.h"

namespace savorytrestle::store {

/// @brief The hosts in the platform's list.
struct ListedHosts {
  /// Hosts listed as live; some may have stopped.
  std::vector<core::HostInfo> Live;
  /// Ids of hosts listed as leaving.
  std::vector<std::string> Leaving;
};

/// @brief Parses the list.
/// @param text JSON array of objects with "id", "peer_address",
///   "failure_domain", "region" and "state", which is "live" or "leaving"
/// @return the list without malformed entries; BadRequest if the text is not a
///   JSON array
core::Result<ListedHosts> readHostList(const std::string &text);

/// @brief Client of the list; not thread-safe.
class HostList {
public:
  /// @brief Sets the address of the service; makes no call.
  /// @param address "ip:port"
  explicit HostList(const std::string &address);

  /// @brief Reads the list once.
  /// @param timeout bound on the call
  /// @return the list; StoreUnavailable if the platform did not answer with it
  core::Result<ListedHosts> read(std::chrono::milliseconds timeout);

private:
  std::string Url;
  support::HttpClient Http;
};

} // namespace savorytrestle::store

#endif
