#ifndef SAVORYTRESTLE_CORE_HOST_SHARE_H
#define SAVORYTRESTLE_CORE_HOST_SHARE_H

/// @file
/// @brief A host's share of a leaf's connections, derived without coordination.
///
/// A deployment has a fixed number of numbered host slots, a few more than
/// hosts. A host that holds a slot's lease computes its share of each leaf from
/// the slot number alone; the shares of all slots add up to the leaf's cap, so
/// no belief about which hosts are alive can make them exceed it.

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief The host slot that this process holds.
struct HostShare {
  /// Slot number, below Slots.
  std::uint32_t Slot = 0;
  /// Slots of the deployment: most hosts plus spares.
  std::uint32_t Slots = 1;
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

/// @brief What a starting host has seen of a slot's lease.
struct SlotObservation {
  /// Whether a host holds its lease now.
  bool Held = false;
  /// Whether any host ever held it.
  bool EverHeld = false;
  /// For how long this host itself has watched the lease absent, with the store
  /// answering all the while.
  Duration FreeFor{};
};

/// @brief Chooses the slot a starting host tries to lease.
///
/// A slot that was never held goes first, then the one free for longest, once
/// its former holder must have noticed its lapse.
/// @param slots observations by slot number
/// @param grace least time a lapsed slot stays unused; longer than a holder
/// goes on after its last renewal (@ref HostShare::ValidUntil)
/// @return the slot, or nothing while none is free; O(slots)
std::optional<std::uint32_t> chooseSlot(std::span<const SlotObservation> slots,
                                        Duration grace);

} // namespace savorytrestle::core

#endif
