#ifndef SAVORYTRESTLE_CORE_PLACEMENT_PLACEMENT_H
#define SAVORYTRESTLE_CORE_PLACEMENT_PLACEMENT_H

/// @file
/// @brief Placement: which host slots connect to which part of a service.
///
/// As long as each slot can have enough connections to each leaf, every slot
/// serves every service. In larger deployments the groups of a service are
/// divided into slices, and each slice is served by a few slots of its own. The
/// host that receives a search sends its part to one host of each slice, once,
/// and merges the answers. The placement depends on the settings and the number
/// of slots only, so the shares of a leaf add up to its cap even while hosts
/// disagree on which hosts are alive.
///
/// Placement alone does not carry the largest load: 46.5 million leaf requests
/// a second over 5,500 leaves are 8,455 for each leaf, while 5 slots at 8 ms
/// can execute 625 calls a second (500 at 80%). A host has to send 56,000 a
/// second, which at 30 us of processor time each take 1.7 cores. Both require
/// batches of about 17 requests in one call, provided that such a call holds a
/// slot no longer than a single request. Slices with few slots fill a batch
/// soonest (@ref estimateFleetCost).

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "savorytrestle/core/rates/ConnectionShare.h"

namespace savorytrestle::core {

/// @brief A service to place.
struct PlacedService {
  std::string Name;
  /// Connections of all hosts that one of its leaves accepts.
  std::uint32_t LeafConnections = 40;
  /// Share of the slots, relative to other sliced services.
  double Weight = 1;
};

/// @brief Settings of the placement.
struct PlacementSettings {
  /// Host slots of the deployment.
  std::uint32_t SlotCount = 8;
  /// Number of failure domains; slot n belongs to domain n modulo this.
  std::uint32_t FailureDomainCount = 3;
  /// Least connections of a slot to each leaf that it connects to.
  std::uint32_t MinConnectionsPerSlot = 3;
};

/// @brief The slots that serve one slice of a service.
struct SlicePlacement {
  std::string Service;
  /// Number of the slice, below SliceCount.
  std::uint32_t Slice = 0;
  /// Number of slices of the service; 1 if every slot serves all of it.
  std::uint32_t SliceCount = 1;
  /// Slot numbers in ascending order.
  std::vector<std::uint32_t> Slots;
};

/// @brief Places every slice of every service.
///
/// Slots are ranked by rendezvous hashing and spread over failure domains. A
/// slot serves at most one slice of the sliced services.
/// @param services the services, in any order
/// @param settings settings of the placement
/// @return the slices, ordered by service name and number;
/// O(slices x slots log slots)
std::vector<SlicePlacement> placeSlices(std::vector<PlacedService> services,
                                        const PlacementSettings &settings);

/// @brief Renumbers a slot within a slice, for the pool of that slice's leaves.
/// @param slice the slice
/// @param slot the host's slot
/// @return the slot's position among those of the slice and their number, or
/// nothing if the slot does not serve the slice
std::optional<HostSlot> slotWithinSlice(const SlicePlacement &slice,
                                        const HostSlot &slot);

/// @brief Assigns groups to slices. No slice exceeds the mean by more than a
/// tenth, rounded up to a whole group.
/// @param groups names of the service's groups, in any order
/// @param slices number of slices, not 0
/// @return slice numbers in the order of groups; O(groups x slices)
std::vector<std::uint32_t> assignGroups(std::span<const std::string> groups,
                                        std::uint32_t slices);

/// @brief Size and load of a fleet.
struct FleetLoad {
  double Hosts = 7;
  double Leaves = 75;
  double Replicas = 3;
  double Services = 2;
  double QueriesPerSecond = 1260;
  double LeavesPerQuery = 75;
  double LeafConnections = 40;
  double LeafSlots = 5;
  /// Time that one call holds a slot of a leaf.
  Duration SlotTime = std::chrono::milliseconds(8);
  /// Processor time of a host for one call.
  Duration CpuPerCall = std::chrono::microseconds(30);
  /// Fraction of a leaf's slots to use.
  double Utilisation = 0.8;
};

/// @brief Cost of a fleet in which `HostsPerLeaf` hosts connect to each leaf.
struct FleetCost {
  double HostsPerLeaf = 0;
  double ConnectionsPerHost = 0;
  /// Other hosts to which the parts of one search are sent, one for each slice.
  double SlicesPerQuery = 0;
  /// Calls a second that a host sends to other hosts.
  double PeerCallsPerHost = 0;
  /// Requests a second that a leaf receives, before batching.
  double LeafRequestsPerLeaf = 0;
  /// Requests a second that a host sends to leaves, before batching.
  double LeafRequestsPerHost = 0;
  /// Batch size at which the leaf's slots can execute all requests.
  double RequestsPerCall = 0;
  /// Time in which a host collects such a batch for one group.
  Duration BatchFillTime{};
  /// Calls a second on one connection to a leaf, after batching.
  double CallsPerConnection = 0;
  /// Processor cores of a host for its calls to leaves and, at both ends, to
  /// other hosts.
  double Cores = 0;
};

/// @brief Estimates the cost of a fleet.
/// @param load size and load of the fleet
/// @param hostsPerLeaf hosts that connect to each leaf
/// @return the cost; O(1)
FleetCost estimateFleetCost(const FleetLoad &load, double hostsPerLeaf);

} // namespace savorytrestle::core

#endif
