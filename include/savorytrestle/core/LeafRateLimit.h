#ifndef SAVORYTRESTLE_CORE_LEAF_RATE_LIMIT_H
#define SAVORYTRESTLE_CORE_LEAF_RATE_LIMIT_H

/// @file
/// @brief Rate that a leaf in need names in its answers, for the requests of
/// all hosts together.

#include <optional>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief What this host sent to a leaf in some time, for logs.
struct RateUse {
  Duration Period{};
  int Sent = 0;
};

/// @brief The limit of one leaf, as known to one host.
class LeafRateLimit {
public:
  /// @brief Sets the limit. O(1).
  /// @param perSecond requests a second from all hosts together; nothing if
  /// there is no limit
  /// @param now current time
  void set(std::optional<double> perSecond, TimePoint now);

  /// @brief Requests a second from all hosts together, if limited.
  std::optional<double> limit() const { return Limit; }

  /// @brief Records that a request is sent. O(1).
  void onSend() { ++Sent; }

  /// @brief Takes the use of a limit, once in each period of some seconds.
  /// @return nothing while the period lasts or if there is no limit. O(1)
  std::optional<RateUse> takeUse(TimePoint now);

private:
  std::optional<double> Limit;
  TimePoint PeriodStart{};
  int Sent = 0;
};

} // namespace savorytrestle::core

#endif
