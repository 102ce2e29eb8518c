#ifndef SAVORYTRESTLE_REGISTRY_HOST_ENTRY_H
#define SAVORYTRESTLE_REGISTRY_HOST_ENTRY_H

/// @file
/// @brief Store item in which a host publishes its addresses, its quarantine
/// records, the leaves that it found leaving and those with a rate limit.

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/DepartedLeaves.h"
#include "savorytrestle/core/Error.h"

namespace savorytrestle::registry {

/// @brief A host as described by its store item.
struct HostEntry {
  std::string Id;
  std::string FailureDomain;
  /// Address of the listener for callers.
  std::string CallerAddress;
  /// Address of the listener for other hosts, which get changes there and send
  /// relays to it; empty if the host has none.
  std::string PeerAddress;
  /// Its records of requests that crash leaves, newest last; for hosts of
  /// earlier versions only.
  std::vector<core::QuarantineRecord> QuarantineRecords{};
  /// Leaves that told it that they are leaving, newest last.
  std::vector<core::LeafRun> LeavingLeaves{};
  /// Requests a second that leaves take from all hosts, as they named them to
  /// it.
  std::map<core::LeafRun, double> RateLimits{};
  /// Leaves whose limit has ended, as their answers to it show, while hosts
  /// still published it.
  std::set<core::LeafRun> EndedRateLimits{};
  /// Whether it reaches no leaf and takes no relays.
  bool LeavesLost = false;
  /// Whether it serves the requests of a workspace as its own, and keeps them
  /// in the regions of their route and workspace; hosts of earlier versions
  /// don't.
  bool KeepsWorkspaces = true;
  /// Whether it reads the runs in which leaves ended from the store; hosts of
  /// earlier versions know only the records in entries.
  bool ReadsCrashRuns = true;
};

/// @brief Encodes a host's item. Records are stored with their age instead of
/// their time, as the clocks of hosts differ.
/// @param entry the host
/// @param now current time on the clock of the records
std::string encodeHostEntry(const HostEntry &entry, core::WallTime now);

/// @brief Decodes a host's item.
/// @param id host id, from the item's key
/// @param text the stored value
/// @param now current time on the clock of the records
/// @return the entry, or an error that says why the value is malformed
core::Result<HostEntry> decodeHostEntry(const std::string &id,
                                        std::string_view text,
                                        core::WallTime now);

} // namespace savorytrestle::registry

#endif
