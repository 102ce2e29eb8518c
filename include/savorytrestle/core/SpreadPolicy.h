#ifndef SAVORYTRESTLE_CORE_SPREAD_POLICY_H
#define SAVORYTRESTLE_CORE_SPREAD_POLICY_H

/// @file
/// @brief Which hosts watch the store, which peers a host pushes to and polls,
/// and when it checks the store itself.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/Membership.h"
#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Sizes and times of the spread of the settings tree.
struct SpreadTiming {
  /// Hosts of each region that hold watches.
  std::uint32_t WatchersPerRegion = 2;
  /// Peers to which a host pushes a new revision.
  std::uint32_t Fanout = 6;
  /// Time between two polls of a random peer.
  std::chrono::milliseconds PeerPollInterval{1000};
  /// Longest wait of a watch at the store.
  std::chrono::milliseconds WatchWait{1000};
  /// Age of the newest known state of the store past which a host checks the
  /// store itself, at a rate shared with the other hosts.
  std::chrono::milliseconds SoftAge{2000};
  /// Age past which a host checks the store at once, whatever the others do.
  std::chrono::milliseconds HardAge{6000};
  /// Checks per second of all hosts past the soft age together.
  double FleetChecksPerSecond = 2.0;
  /// Increase of the age past the soft age that doubles the chance of a check.
  std::chrono::milliseconds ChanceDoubling{1000};
  /// Longest time until it is decided anew whether a check is due.
  std::chrono::milliseconds MaxCheckInterval{1500};
  /// Longest time between two checks while the store does not answer.
  std::chrono::milliseconds MaxBackoff{5000};

  /// @brief Longest time until a host whose peers don't answer has a change.
  /// @param storeCall longest time of a call that the store answers
  std::chrono::milliseconds
  inForceAfterChange(std::chrono::milliseconds storeCall) const;

  /// @brief Longest time from the store's return until such a host has all
  /// changes.
  /// @param storeTimeout time after which a call without an answer ends
  /// @param storeCall longest time of a call that the store answers
  std::chrono::milliseconds
  inForceAfterReturn(std::chrono::milliseconds storeTimeout,
                     std::chrono::milliseconds storeCall) const;
};

/// @brief Draws the time until the next poll of a peer, so that hosts don't
/// stay in step.
/// @param interval mean time
/// @param rng random source
/// @return three to five quarters of the interval
std::chrono::milliseconds drawPollInterval(std::chrono::milliseconds interval,
                                           Rng &rng);

/// @brief Decides whether a host holds a watch on the store.
/// @param self identity of the host
/// @param live hosts that it considers live
/// @param perRegion watchers in each region
/// @return true if it is among the first of its region in rendezvous order;
///   hosts with different views may pick too many or too few; O(n)
bool isWatcher(const std::string &self, const std::vector<HostInfo> &live,
               std::uint32_t perRegion);

/// @brief Picks the peers to which a host pushes a new revision.
/// @param self identity of the host
/// @param live hosts that it considers live
/// @param revision the revision; different revisions take different paths
/// @param fanout most peers to pick
/// @return up to fanout hosts other than itself; O(n)
std::vector<HostInfo> pushTargets(const std::string &self,
                                  const std::vector<HostInfo> &live,
                                  std::uint64_t revision, std::uint32_t fanout);

/// @brief Picks the peer to compare revisions with.
/// @param self identity of the host
/// @param region region of the host; one poll in four goes to another region
/// @param live hosts that it considers live
/// @param rng random source
/// @return a host other than itself, or nothing if there is none; O(n)
std::optional<HostInfo> pollTarget(const std::string &self,
                                   const std::string &region,
                                   const std::vector<HostInfo> &live, Rng &rng);

/// @brief Decides when a host checks the store itself.
class StoreCheckTimer {
public:
  /// @brief Creates a timer of a host that has made no check yet.
  /// @param timing sizes and times
  explicit StoreCheckTimer(const SpreadTiming &timing) : Timing(timing) {}

  /// @brief Whether to check now; to be called once per poll interval.
  /// @param age how long ago the newest known state of the store was seen, by
  /// this host or by the peer that sent it
  /// @param liveHosts number of hosts considered live
  /// @param now the time
  /// @param rng random source
  /// @return true if the store is to be checked now
  bool due(Duration age, std::size_t liveHosts, TimePoint now, Rng &rng) const;

  /// @brief Records the result of a check.
  /// @param reachable whether the store answered
  /// @param now the time
  /// @param rng adds jitter to the time of the next check
  void onChecked(bool reachable, TimePoint now, Rng &rng);

private:
  SpreadTiming Timing;
  Duration Backoff{};
  TimePoint NotBefore;
};

} // namespace savorytrestle::core

#endif
