#ifndef SAVORYTRESTLE_CORE_PLACEMENT_H
#define SAVORYTRESTLE_CORE_PLACEMENT_H

/// @file
/// @brief Which host slots reach which part of a service.
///
/// While each slot can have enough connections to each leaf, every slot serves
/// every service. Beyond that a service's groups are cut into slices and each
/// slice is served by a few slots of its own: the host that a caller asked
/// sends each slice its part of the search, once, and merges. The placement
/// follows from the settings and the number of slots alone, so that the shares
/// of a leaf add up to its cap whatever hosts believe about each other.
///
/// Not closed by placement: 46.5 million leaf requests a second over 5,500
/// leaves are 8,455 a leaf, while 5 slots at 8 ms bear 625 calls (500 at 80%),
/// and 56,000 a host at 30 us of processor time each are 1.7 cores. Both need
/// about 17 requests in one call, if such a call holds a slot no longer than a
/// single one; slices of few slots fill it soonest (@ref estimateFleetCost).

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "savorytrestle/core/ConnectionShare.h"

namespace savorytrestle::core {

/// @brief A service as the placement sees it.
struct PlacedService {
  std::string Name;
  /// Connections one of its leaves accepts over all hosts.
  std::uint32_t LeafConnections = 40;
  /// Share of the slots relative to other sliced services.
  double Weight = 1;
};

/// @brief Bounds of the placement.
struct PlacementSettings {
  /// Host slots of the deployment.
  std::uint32_t SlotCount = 8;
  /// Failure domains; slot n belongs to domain n modulo this.
  std::uint32_t FailureDomainCount = 3;
  /// Connections a slot has at least to each leaf it reaches.
  std::uint32_t MinConnectionsPerSlot = 3;
};

/// @brief The slots that serve one slice of a service.
struct SlicePlacement {
  std::string Service;
  /// Number of the slice, below SliceCount.
  std::uint32_t Slice = 0;
  /// Slices of the service; 1 when every slot serves all of it.
  std::uint32_t SliceCount = 1;
  /// Slot numbers in rising order.
  std::vector<std::uint32_t> Slots;
};

/// @brief Places every slice of every service.
///
/// Slots are ranked by rendezvous hashing and spread over failure domains; a
/// slot serves one slice of the sliced services at most.
/// @param services the services, in any order
/// @param settings bounds
/// @return the slices by service name and number; O(slices x slots log slots)
std::vector<SlicePlacement> placeSlices(std::vector<PlacedService> services,
                                        const PlacementSettings &settings);

/// @brief Share of a slot within a slice, for the pool of that slice's leaves.
/// @param slice the slice
/// @param slot the host's slot
/// @return its place among the slice's slots, or nothing when it serves others
std::optional<HostSlot> slotWithinSlice(const SlicePlacement &slice,
                                        const HostSlot &slot);

/// @brief Assigns groups to slices, evenly up to a tenth and one group.
/// @param groups names of the service's groups, in any order
/// @param slices number of slices, not 0
/// @return slice by position in groups; O(groups x slices)
std::vector<std::uint32_t> assignGroups(std::span<const std::string> groups,
                                        std::uint32_t slices);

/// @brief Load that a fleet carries.
struct FleetLoad {
  double Hosts = 7;
  double Leaves = 75;
  double Replicas = 3;
  double Services = 2;
  double QueriesPerSecond = 1260;
  double LeavesPerQuery = 75;
  double LeafConnections = 40;
  double LeafSlots = 5;
  Duration SlotTime = std::chrono::milliseconds(8);
  /// Processor time of a host for one call.
  Duration CpuPerCall = std::chrono::microseconds(30);
  /// Fraction of a leaf's slots to use.
  double Utilisation = 0.8;
};

/// @brief What a fleet costs when `HostsPerLeaf` hosts reach each leaf.
struct FleetCost {
  double HostsPerLeaf = 0;
  double ConnectionsPerHost = 0;
  /// Hosts that a search's parts are sent to.
  double SlicesPerQuery = 0;
  double PeerCallsPerHost = 0;
  double LeafRequestsPerLeaf = 0;
  double LeafRequestsPerHost = 0;
  /// Requests in one call, so that the leaf's slots bear them.
  double RequestsPerCall = 0;
  /// Time in which a host collects such a batch for one group.
  Duration BatchFillTime{};
  double CallsPerConnection = 0;
  /// Cores of a host for calls, to peers (both ends) and leaves.
  double Cores = 0;
};

/// @brief Computes a fleet's cost.
/// @param load the load
/// @param hostsPerLeaf hosts that reach each leaf
/// @return the cost; O(1)
FleetCost estimateFleetCost(const FleetLoad &load, double hostsPerLeaf);

} // namespace savorytrestle::core

#endif
