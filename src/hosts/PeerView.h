#ifndef SAVORYTRESTLE_HOSTS_PEER_VIEW_H
#define SAVORYTRESTLE_HOSTS_PEER_VIEW_H

/// @file
/// @brief What this host knows of the others and of the store, shared by the
/// threads of a peer node.

#include <mutex>
#include <string>
#include <vector>

#include "savorytrestle/core/Membership.h"
#include "savorytrestle/core/VersionedBlob.h"

namespace savorytrestle::hosts {

/// @brief Membership, freshness and reachability of the store; any thread.
class PeerView {
public:
  /// @brief Starts knowing nothing.
  /// @param self identity of this host
  /// @param now the time, from which ages count
  PeerView(const std::string &self, core::TimePoint now)
      : Members(self), SettingsCurrentAt(now), HostsCurrentAt(now) {}

  /// @brief Takes a newer list of slot holders.
  /// @param blob JSON object of slot key to host text
  /// @return whether it was newer, intact and well-formed
  bool applyHosts(core::VersionedBlob blob);

  /// @brief The list of slot holders in force.
  /// @return the list; revision 0 when there is none yet
  core::VersionedBlob hosts() const;

  /// @brief Takes the identities that the platform calls leaving.
  /// @param leaving the identities
  void setLeaving(std::vector<std::string> leaving);

  /// @brief Hosts believed live.
  /// @param now the time
  /// @return the hosts by rising identity
  std::vector<core::HostInfo> live(core::TimePoint now) const;

  /// @brief All slot holders, believed live or not.
  /// @return the hosts by rising identity
  std::vector<core::HostInfo> all() const;

  /// @brief A call to a host ended.
  /// @param id identity of the host
  /// @param reached whether it answered
  /// @param now the time
  void onPeerCallEnded(const std::string &id, bool reached,
                       core::TimePoint now);

  /// @brief The store had nothing newer than what this host has.
  /// @param at when that was so
  void onSettingsCurrent(core::TimePoint at);

  /// @brief How long ago the store was last known to have nothing newer.
  /// @param now the time
  /// @return the age, never negative
  core::Duration settingsAge(core::TimePoint now) const;

  /// @brief The store's slots were no newer than this host's list.
  /// @param at when that was so
  void onHostsCurrent(core::TimePoint at);

  /// @brief How long ago the list of slots was last known to be the newest.
  /// @param now the time
  /// @return the age, never negative
  core::Duration hostsAge(core::TimePoint now) const;

  /// @brief A call to the store by this host ended.
  /// @param reached whether the store answered
  /// @param now the time
  void onStoreCallEnded(bool reached, core::TimePoint now);

  /// @brief Whether this host's last call to the store failed, of late.
  /// @param now the time
  /// @return true while the failure counts
  bool isStoreDown(core::TimePoint now) const;

  /// @brief A peer said that its calls to the store fail.
  /// @param now the time
  void onPeerReportedOutage(core::TimePoint now);

  /// @brief Whether a peer said of late that the store is down.
  /// @param now the time
  /// @return true while its word counts
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
