#ifndef SAVORYTRESTLE_HOSTS_PEER_VIEW_H
#define SAVORYTRESTLE_HOSTS_PEER_VIEW_H

/// @file
/// @brief A host's view of the other hosts and of the store, shared by the
/// threads of a peer node.

#include <mutex>
#include <string>
#include <vector>

#include "savorytrestle/core/Membership.h"
#include "savorytrestle/core/VersionedBlob.h"

namespace savorytrestle::hosts {

/// @brief Hosts and their reachability, age of the settings and of the host
/// list, and reachability of the store. Safe for use by any thread.
class PeerView {
public:
  /// @brief Starts with an empty host list.
  /// @param self identity of this host
  /// @param now the time from which the ages are counted until the first update
  PeerView(const std::string &self, core::TimePoint now)
      : Members(self), SettingsCurrentAt(now), HostsCurrentAt(now) {}

  /// @brief Replaces the list of slot holders by a newer one.
  /// @param blob JSON object that maps slot keys to serialized hosts
  /// @return true if applied; false if its revision is not newer, its checksum
  ///   does not match or its payload is not a JSON object
  bool applyHosts(core::VersionedBlob blob);

  /// @brief The list of slot holders in force.
  /// @return the list; revision 0 if there is none yet
  core::VersionedBlob hosts() const;

  /// @brief Replaces the hosts that the platform's list marks as leaving.
  /// @param leaving identities of hosts
  void setLeaving(std::vector<std::string> leaving);

  /// @brief Hosts considered live.
  /// @param now the time
  /// @return the hosts by rising identity
  std::vector<core::HostInfo> live(core::TimePoint now) const;

  /// @brief All slot holders, whether considered live or not.
  /// @return the hosts by rising identity
  std::vector<core::HostInfo> all() const;

  /// @brief A call to a host ended.
  /// @param id identity of the host
  /// @param reached whether it answered
  /// @param now when the call ended
  void onPeerCallEnded(const std::string &id, bool reached,
                       core::TimePoint now);

  /// @brief The settings in force were the newest in the store.
  /// @param at a time at which this held
  void onSettingsCurrent(core::TimePoint at);

  /// @brief Time since the settings in force were last known to be the newest.
  /// @param now the time
  /// @return the age, never negative
  core::Duration settingsAge(core::TimePoint now) const;

  /// @brief The host list matched the slots in the store.
  /// @param at a time at which this held
  void onHostsCurrent(core::TimePoint at);

  /// @brief Time since the host list was last known to match the slots in the
  /// store.
  /// @param now the time
  /// @return the age, never negative
  core::Duration hostsAge(core::TimePoint now) const;

  /// @brief A call to the store by this host ended.
  /// @param reached whether the store answered
  /// @param now when the call ended
  void onStoreCallEnded(bool reached, core::TimePoint now);

  /// @brief Whether this host's last call to the store failed recently.
  /// @param now the time
  /// @return true until a later call succeeds or the failure is too old to
  ///   count
  bool isStoreDown(core::TimePoint now) const;

  /// @brief A peer reported that it cannot reach the store.
  /// @param now when it reported so
  void onPeerReportedOutage(core::TimePoint now);

  /// @brief Whether a peer recently reported that the store is down.
  /// @param now the time
  /// @return true until the last report is too old to count
  bool peerReportedOutage(core::TimePoint now) const;

private:
  mutable std::mutex Lock;
  core::Membership Members;
  core::VersionedBlob Hosts;
  core::TimePoint SettingsCurrentAt;
  core::TimePoint HostsCurrentAt;
  std::optional<core::TimePoint> LastStoreFailure;
  std::optional<core::TimePoint> PeerReportAt;
};

} // namespace savorytrestle::hosts

#endif
