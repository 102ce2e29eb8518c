#ifndef SAVORYTRESTLE_CORE_LEAF_ENTRY_H
#define SAVORYTRESTLE_CORE_LEAF_ENTRY_H

/// @file
/// @brief What a leaf says of itself in the platform's store.

#include <chrono>
#include <cstdint>
#include <string>

namespace savorytrestle::core {

/// @brief One start of a leaf.
struct LeafEntry {
  /// Identity that the leaf checks requests against.
  std::string Id;
  std::string Service;
  /// "ip:port"
  std::string Address;
  std::string FailureDomain;
  /// Requests that it executes at a time.
  int Slots = 1;
  /// Leaving: takes no new requests from us.
  bool Draining = false;
  /// How much longer it is slow after its start.
  std::chrono::milliseconds WarmUpLeft{0};
  /// When it started, in milliseconds since 1970; tells two starts under one
  /// identity apart, and is 0 when not said.
  std::int64_t StartedAt = 0;
};

} // namespace savorytrestle::core

#endif
