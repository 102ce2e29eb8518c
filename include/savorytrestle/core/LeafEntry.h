#ifndef SAVORYTRESTLE_CORE_LEAF_ENTRY_H
#define SAVORYTRESTLE_CORE_LEAF_ENTRY_H

/// @file
/// @brief The entry that a leaf writes about itself to the platform's store.

#include <chrono>
#include <cstdint>
#include <string>

namespace savorytrestle::core {

/// @brief Entry of one run of a leaf's process.
struct LeafEntry {
  /// Identity of the leaf; it rejects requests meant for another one.
  std::string Id;
  std::string Service;
  /// "ip:port"
  std::string Address;
  std::string FailureDomain;
  /// Requests that the leaf executes concurrently.
  int Slots = 1;
  /// Whether the leaf is shutting down and accepts no new requests.
  bool Draining = false;
  /// Remaining time in which the leaf is slow after its start.
  std::chrono::milliseconds WarmUpLeft{0};
  /// Start time in milliseconds since 1970, 0 if the entry has none;
  /// distinguishes two runs under the same identity.
  std::int64_t StartedAt = 0;
  /// Whether the entry states WarmUpLeft.
  bool StatesWarmUp = true;
  /// Revision of the store at which it was written; 0 if unknown.
  std::int64_t Revision = 0;
};

} // namespace savorytrestle::core

#endif
