#ifndef SAVORYTRESTLE_CORE_RATES_CONNECTION_SHARE_H
#define SAVORYTRESTLE_CORE_RATES_CONNECTION_SHARE_H

/// @file
/// @brief A host's share of a leaf's connections, computed without coordination
/// between hosts.
///
/// A deployment has a fixed number of numbered host slots, a few more than
/// hosts. A host that holds the lease of a slot computes its share of each leaf
/// from the slot number alone. The shares of all slots add up to the leaf's
/// cap, so the hosts together never exceed it, even while they disagree on
/// which hosts are alive.

#include <cstdint>
#include <string_view>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief The host slot that this process holds.
struct HostSlot {
  /// Slot number, below SlotCount.
  std::uint32_t Number = 0;
  /// Slots of the deployment: its maximum number of hosts plus spares.
  std::uint32_t SlotCount = 1;
  /// Time from which another host may hold the slot; the share is 0 from then
  /// on.
  TimePoint ValidUntil = TimePoint::max();
};

/// @brief Number of connections to a leaf that a slot may use.
///
/// Each slot gets cap / slots connections; the remainder goes, one each, to the
/// slots that rendezvous hashing ranks first for the leaf. With fewer
/// connections than slots, only the first-ranked slots connect to the leaf.
/// @param leafName name of the leaf, unique in its service
/// @param cap connections the leaf accepts over all hosts
/// @param slot slot number
/// @param slots number of slots of the deployment
/// @return the share; 0 if the slot is out of range. The shares of all slots
/// add up to cap. O(slots)
std::uint32_t connectionShare(std::string_view leafName, std::uint32_t cap,
                              std::uint32_t slot, std::uint32_t slots);

} // namespace savorytrestle::core

#endif
