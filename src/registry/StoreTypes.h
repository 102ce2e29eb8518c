#ifndef SAVORYTRESTLE_REGISTRY_STORE_TYPES_H
#define SAVORYTRESTLE_REGISTRY_STORE_TYPES_H

/// @file
/// @brief What the platform's store tells, and a call to it.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorytrestle::registry {

/// @brief Position in the store's history; grows with each change.
using Revision = std::uint64_t;

/// @brief Identity of a lease; 0 is none.
using LeaseId = std::uint64_t;

/// @brief One item, or its removal.
struct StoredItem {
  std::string Key;
  std::string Value;
  Revision Changed = 0;
  bool Removed = false;
};

/// @brief Items or changes, with the position up to which they are known.
struct StorePage {
  std::vector<StoredItem> Items;
  Revision At = 0;
  /// Further items follow after the last key.
  bool HasMore = false;
};

/// @brief A lease as the store granted it.
struct GrantedLease {
  LeaseId Id = 0;
  std::chrono::milliseconds TimeToLive{0};
};

/// @brief A call to the store, ready to be sent.
struct StoreCall {
  std::string Method;
  std::string Target;
  std::string Body;
};

} // namespace savorytrestle::registry

#endif
