#ifndef SAVORYTRESTLE_CORE_CONNECTION_SHARE_H
#define SAVORYTRESTLE_CORE_CONNECTION_SHARE_H

/// @file
/// @brief A host's share of a leaf's connections, derived without coordination.
///
/// A deployment has a fixed number of numbered host slots, a few more than
/// hosts. A host that holds a slot's lease computes its share of each leaf from
/// the slot number alone; the shares of all slots add up to the leaf's cap, so
/// no belief about which hosts are alive can make them exceed it.

#include <cstdint>
#include <string_view>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief The host slot that this process holds.
struct HostSlot {
  /// Slot number, below SlotCount.
  std::uint32_t Number = 0;
  /// Slots of the deployment: most hosts plus spares.
  std::uint32_t SlotCount = 1;
  /// When the slot may be given to another host; the share is 0 from then on.
  TimePoint ValidUntil = TimePoint::max();
};

/// @brief Connections of a leaf that a slot may use.
///
/// Each slot gets cap / slots; the remainder goes to the slots that rank first
/// for the leaf by rendezvous hashing. With fewer connections than slots, only
/// the cap first-ranked slots reach the leaf.
/// @param leafName name of the leaf, unique in its service
/// @param cap connections the leaf accepts over all hosts
/// @param slot slot number
/// @param slots slots of the deployment
/// @return the share, 0 for a slot out of range; the sum over all slots is cap;
/// O(slots)
std::uint32_t connectionShare(std::string_view leafName, std::uint32_t cap,
                              std::uint32_t slot, std::uint32_t slots);

} // namespace savorytrestle::core

#endif
