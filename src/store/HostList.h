#ifndef SAVORYTRESTLE_STORE_HOST_LIST_H
#define SAVORYTRESTLE_STORE_HOST_LIST_H

/// @file
/// @brief The platform's list of live and leaving hosts, which lags.
///
/// It is a hint: a host it forgets keeps its slot, and a host it still names
/// may be gone.

#include <chrono>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Membership.h"
#include "support/HttpClient.h"

namespace savorytrestle::store {

/// @brief What the platform lists.
struct ListedHosts {
  /// Hosts it calls live; some may be gone.
  std::vector<core::HostInfo> Live;
  /// Identities of hosts it calls leaving.
  std::vector<std::string> Leaving;
};

/// @brief Reads the list from its JSON text.
/// @param text array of objects with "id", "peer_address", "failure_domain",
///   "region" and "state", which is "live" or "leaving"
/// @return the list, entries that are malformed passed over; BadRequest when
///   the text is no JSON array
core::Result<ListedHosts> readHostList(const std::string &text);

/// @brief Client of the list; one thread at a time.
class HostList {
public:
  /// @brief Names the service; makes no call yet.
  /// @param address "ip:port"
  explicit HostList(const std::string &address);

  /// @brief Reads the list once.
  /// @param timeout bound on the call
  /// @return the list; StoreUnavailable when the platform does not answer
  core::Result<ListedHosts> read(std::chrono::milliseconds timeout);

private:
  std::string Url;
  support::HttpClient Http;
};

} // namespace savorytrestle::store

#endif
