#ifndef SAVORYTRESTLE_CORE_RATES_LEAF_RATE_LIMIT_H
#define SAVORYTRESTLE_CORE_RATES_LEAF_RATE_LIMIT_H

/// @file
/// @brief Rate that a leaf in need names in its answers, for the requests of
/// all hosts together, and this host's part of it.

#include <optional>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief What this host sent to a leaf in some time, for logs.
struct RateUse {
  Duration Period{};
  int Sent = 0;
};

/// @brief The limit of one leaf, as known to one host.
///
/// Each host spends its own part, so that the hosts keep the limit together
/// without a message for each request. A part of less than one request in the
/// time that may be saved up is spent by lot: saved whole requests of hundreds
/// of hosts would be several times the limit.
class LeafRateLimit {
public:
  /// @brief Makes a limit that saves up chances for two seconds.
  LeafRateLimit() = default;

  /// @brief Makes a limit.
  /// @param chanceSaving time over which unused chances are saved up
  explicit LeafRateLimit(Duration chanceSaving) : ChanceSaving(chanceSaving) {}

  /// @brief Sets the limit. O(1).
  /// @param perSecond requests a second from all hosts together; nothing if
  /// there is no limit
  /// @param now current time
  void set(std::optional<double> perSecond, TimePoint now);

  /// @brief Sets the limit that an answer to this host names. O(1).
  void observe(std::optional<double> perSecond, TimePoint now) {
    set(perSecond, now);
    ObservedAt = now;
  }

  /// @brief When an answer to this host named the limit, or none, last;
  /// TimePoint{} if never.
  TimePoint observedAt() const { return ObservedAt; }

  /// @brief Sets this host's part of the limit. O(1).
  /// @param share the part, 0 to 1
  void setShare(double share) { Share = share; }

  /// @brief Requests a second from all hosts together, if limited.
  std::optional<double> limit() const { return Limit; }

  /// @brief Probability with which a request may be sent now: 1 without a
  /// limit or with a whole request saved up. O(1).
  double sendChance(TimePoint now) const;

  /// @brief Records that a request is sent. O(1).
  void onSend(TimePoint now);

  /// @brief Records that a request was not sent since it lost the draw against
  /// @ref sendChance, which it has used up then. O(1).
  void onDrawLost(TimePoint now);

  /// @brief When the next request can be sent; now if one can. O(1).
  TimePoint nextSend(TimePoint now) const;

  /// @brief Takes the use of a limit, once in each period of some seconds.
  /// @return nothing while the period lasts or if there is no limit. O(1)
  std::optional<RateUse> takeUse(TimePoint now);

private:
  /// Requests a second that this host may send.
  double ownRate() const;
  /// Whether this host's part is too small to save up whole requests.
  bool sendsByLot() const;
  /// Requests that this host may save up.
  double capacity() const;
  double savedRequests(TimePoint now) const;

  Duration ChanceSaving = std::chrono::seconds(2);
  std::optional<double> Limit;
  double Share = 1;
  /// Requests saved up at SavedAt.
  double Saved = 0;
  TimePoint SavedAt{};
  TimePoint ObservedAt{};
  TimePoint PeriodStart{};
  int Sent = 0;
};

} // namespace savorytrestle::core

#endif
