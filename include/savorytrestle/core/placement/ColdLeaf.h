#ifndef SAVORYTRESTLE_CORE_PLACEMENT_COLD_LEAF_H
#define SAVORYTRESTLE_CORE_PLACEMENT_COLD_LEAF_H

/// @file
/// @brief Whether a leaf is cold, and the requests that this host may send to
/// it then.

#include "savorytrestle/core/Time.h"
#include "savorytrestle/core/rates/LeafRateLimit.h"

namespace savorytrestle::core {

/// @brief Bounds on the requests of all hosts to a cold leaf in one second. The
/// defaults allow nothing beyond the configured rate, so that a platform that
/// names no bounds is never exceeded.
struct ColdBounds {
  /// Factor on the rate that the service's configuration names.
  double Overage = 1;
  /// Requests beyond that.
  double Slack = 0;
};

/// @brief Bound on the requests to cold leaves of one service.
struct ColdLeafRule {
  /// Time for which a leaf is taken for cold after a start or an evacuation.
  Duration WarmUp{};
  /// Requests in one second, from all hosts together; 0 if there is no bound.
  double MaxInOneSecond = 0;

  bool operator==(const ColdLeafRule &) const = default;
};

/// @brief The rule of a service.
/// @param warmUp see @ref ColdLeafRule::WarmUp
/// @param perSecond requests a second that a cold leaf takes; 0 for no bound
/// @param bounds by how much they may be exceeded
ColdLeafRule coldLeafRule(Duration warmUp, double perSecond,
                          const ColdBounds &bounds);

/// @brief Rate of all hosts together at which a bound holds in each second, for
/// any number of hosts. Hosts don't coordinate their requests, so the rate is
/// well below the bound.
/// @param maxInOneSecond the bound
/// @return requests a second; 0 for a bound of one request or less
double coldLeafRate(double maxInOneSecond);

/// @brief This host's part of what one leaf gets while it is cold.
class ColdLeaf {
public:
  /// @brief Sets the rule of the leaf's service. O(1).
  void setRule(const ColdLeafRule &rule, TimePoint now);

  /// @brief Sets this host's part of the rate, 0 to 1. O(1).
  void setShare(double share) { Limit.setShare(share); }

  /// @brief Records a statement of the leaf. Statements don't shorten a time:
  /// they may come from an older copy of the store. O(1).
  /// @param end when the leaf expects to be warm
  void onStated(TimePoint end);

  /// @brief Records that the leaf's state is unknown since a time: after a
  /// start without a statement, or the end of an evacuation. O(1).
  void onUnknownSince(TimePoint since);

  /// @brief Whether the leaf may be cold and its service bounds the requests to
  /// cold leaves. O(1).
  bool isBound(TimePoint now) const;

  /// @brief When the leaf is warm, as far as is known. O(1).
  TimePoint end() const;

  /// @brief See @ref LeafRateLimit::sendChance; 1 unless the leaf is bound.
  double sendChance(TimePoint now) const;

  /// @brief Records that a request is sent, whether the leaf is cold or not:
  /// it may turn cold within the same second. O(1).
  void onSend(TimePoint now) { Limit.onSend(now); }

  /// @brief See @ref LeafRateLimit::onDrawLost.
  void onDrawLost(TimePoint now) { Limit.onDrawLost(now); }

  /// @brief When the next request can be sent; now if one can. O(1).
  TimePoint nextSend(TimePoint now) const;

private:
  ColdLeafRule Rule;
  TimePoint StatedEnd{};
  TimePoint UnknownSince{};
  LeafRateLimit Limit{ChanceSavingTime};

  /// A second of chances saved up by all hosts and the next second's share of
  /// them fall into one second at worst, see @ref coldLeafRate.
  static constexpr std::chrono::seconds ChanceSavingTime{1};
};

/// @brief This host's part of the rate of a cold leaf.
/// @param share its part if it knows all hosts
/// @param knowsHosts whether the list of hosts has been read and those that
/// started together with this one are in it
/// @return the part; a small one until then, since too few listed hosts give
/// each of them too large a part
double coldLeafShare(double share, bool knowsHosts);

} // namespace savorytrestle::core

#endif
