#ifndef SAVORYTRESTLE_ENTRY_REFUSAL_H
#define SAVORYTRESTLE_ENTRY_REFUSAL_H

/// @file
/// @brief Why a request is refused before it has been sent to any leaf.

#include <chrono>
#include <optional>
#include <string>

#include <boost/beast/http/status.hpp>

namespace savorytrestle::entry {

/// @brief The answer to a request that isn't started.
struct Refusal {
  boost::beast::http::status Status;
  std::string Reason;
  std::optional<std::chrono::milliseconds> RetryAfter;
  /// Why this host takes no relays, if that is the reason.
  const char *RelayRefused = nullptr;
};

} // namespace savorytrestle::entry

#endif
