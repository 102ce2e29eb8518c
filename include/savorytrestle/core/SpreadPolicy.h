#ifndef SAVORYTRESTLE_CORE_SPREAD_POLICY_H
#define SAVORYTRESTLE_CORE_SPREAD_POLICY_H

/// @file
/// @brief Who watches the store, whom a host pushes to and asks, and when it
/// looks at the store itself.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/Membership.h"
#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Sizes and times of the spread.
struct SpreadTiming {
  /// Hosts of each region that hold watches.
  std::uint32_t WatchersPerRegion = 2;
  /// Peers that a host passes a new revision on to.
  std::uint32_t Fanout = 6;
  /// Time between two asks of a random peer.
  std::chrono::milliseconds PeerPollInterval{1000};
  /// How long a watch waits at the store.
  std::chrono::milliseconds WatchWait{1000};
  /// A host that knows the store's state no later than this looks itself, at a
  /// rate shared with the other hosts.
  std::chrono::milliseconds SoftAge{2000};
  /// Past this age a host looks at once, whatever the others do.
  std::chrono::milliseconds HardAge{6000};
  /// Looks a second that all hosts past the soft age share.
  double FleetChecksPerSecond = 2.0;
  /// Each time the age grows by this past the soft age, the chance to look
  /// doubles.
  std::chrono::milliseconds ChanceDoubling{1000};
  /// Longest time between two looks while the store does not answer.
  std::chrono::milliseconds MaxBackoff{10000};
};

/// @brief Decides whether a host holds a watch on the store.
/// @param self identity of the host
/// @param live hosts that it believes live
/// @param perRegion watchers in each region
/// @return true when it is among the first of its region in rendezvous order;
///   hosts with different views may pick too many or too few; O(n)
bool isWatcher(const std::string &self, const std::vector<HostInfo> &live,
               std::uint32_t perRegion);

/// @brief Picks the peers that a host passes a new revision on to.
/// @param self identity of the host
/// @param live hosts that it believes live
/// @param revision the revision; another revision takes other paths
/// @param fanout how many
/// @return up to fanout hosts other than itself; O(n)
std::vector<HostInfo> pushTargets(const std::string &self,
                                  const std::vector<HostInfo> &live,
                                  std::uint64_t revision, std::uint32_t fanout);

/// @brief Picks the peer to compare revisions with.
/// @param self identity of the host
/// @param region region of the host; one ask in four goes elsewhere
/// @param live hosts that it believes live
/// @param rng random source
/// @return a host other than itself, or nothing when there is none; O(n)
std::optional<HostInfo> pollTarget(const std::string &self,
                                   const std::string &region,
                                   const std::vector<HostInfo> &live, Rng &rng);

/// @brief When a host looks at the store itself.
class StoreCheckTimer {
public:
  /// @brief Takes the times to keep.
  /// @param timing sizes and times
  explicit StoreCheckTimer(const SpreadTiming &timing) : Timing(timing) {}

  /// @brief Whether to look now; asked once in each ask interval.
  /// @param age how long ago the newest known state of the store was seen, by
  ///   this host or by a peer that passed it on
  /// @param liveHosts hosts believed live
  /// @param now the time
  /// @param rng random source
  /// @return true to look now
  bool due(Duration age, std::size_t liveHosts, TimePoint now, Rng &rng) const;

  /// @brief Records how a look ended.
  /// @param reachable whether the store answered
  /// @param now the time
  /// @param rng jitters the time of the next one
  void onChecked(bool reachable, TimePoint now, Rng &rng);

private:
  SpreadTiming Timing;
  Duration Backoff{};
  TimePoint NotBefore;
};

} // namespace savorytrestle::core

#endif
