#ifndef SAVORYTRESTLE_CORE_ADMISSION_LEAF_ROOM_H
#define SAVORYTRESTLE_CORE_ADMISSION_LEAF_ROOM_H

/// @file
/// @brief How long a request would wait at a leaf, at a service and at the
/// shards that it needs. Missing knowledge never makes a wait.

#include <cstddef>
#include <optional>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief What a host knows about the load of one leaf.
struct LeafLoad {
  /// Requests that the leaf executes concurrently.
  int Slots = 1;
  /// Requests that it executed and queued at its last report.
  int Running = 0;
  int Waiting = 0;
  /// Age of that report; nothing if there was none.
  std::optional<Duration> Age;
  /// This host's requests without an answer, and those of them that were sent
  /// after the report.
  std::size_t Outstanding = 0;
  std::size_t SentSince = 0;
  /// Most requests that the leaf queues; nothing if unknown.
  std::optional<int> QueueLimit;
};

/// @brief Room of a leaf, of a service or of the services of a request.
struct Room {
  /// Whether the queues of all leaves that may be used are full, by fresh
  /// reports.
  bool Full = false;
  /// Time until a request sent now is executed, at the least, by fresh reports;
  /// zero without them.
  Duration LeastWait{};
  /// The same as expected, from older reports or those of a part of the leaves;
  /// nothing without them.
  std::optional<Duration> LikelyWait{};
};

/// @brief Room of one leaf.
/// @param load its load
/// @param work mean time that it executes a request; zero if unknown
Room roomOf(const LeafLoad &load, Duration work);

/// @brief Room of a service whose requests may be sent to any of some leaves.
/// @param leaves their rooms; none makes an unknown room. O(leaves)
Room roomOfAny(const std::vector<Room> &leaves);

/// @brief Room for a request that needs some of its services.
/// @param services their rooms
/// @param needed how many the request needs, at least 1. O(services)
Room roomOfSome(const std::vector<Room> &services, std::size_t needed);

} // namespace savorytrestle::core

#endif
