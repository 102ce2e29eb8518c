#ifndef SAVORYTRESTLE_STORE_STORE_TYPES_H
#define SAVORYTRESTLE_STORE_STORE_TYPES_H

/// @file
/// @brief What the platform's store tells, and a call to it.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorytrestle::store {

/// @brief Position in the store's history; grows with each change.
using Revision = std::uint64_t;

/// @brief Revision of a key that has no item.
inline constexpr Revision NoItem = 0;

/// @brief Identity of a lease.
using LeaseId = std::uint64_t;

/// @brief Lease of an item that stays until it is removed.
inline constexpr LeaseId NoLease = 0;

/// @brief One item, or its removal.
struct StoredItem {
  std::string Key;
  std::string Value;
  Revision ModRevision = NoItem;
  /// Lease that the item goes with.
  LeaseId Lease = NoLease;
  bool Removed = false;
};

/// @brief Items or changes, with the position up to which they are known.
struct StorePage {
  std::vector<StoredItem> Items;
  Revision AtRevision = 0;
  /// Further items follow after the last key.
  bool HasMore = false;
};

/// @brief A lease as the store granted it.
struct GrantedLease {
  LeaseId Id = NoLease;
  std::chrono::milliseconds TimeToLive{0};
};

/// @brief Writes that are done together or not at all, and only if the items
/// named are still as they were read.
struct StoreTransaction {
  struct Expected {
    std::string Key;
    Revision ModRevision = NoItem;
  };
  struct Put {
    std::string Key;
    std::string Value;
    LeaseId Lease = NoLease;
  };
  std::vector<Expected> Expects{};
  std::vector<Put> Puts{};
  std::vector<std::string> Removals{};
};

/// @brief A call to the store, ready to be sent.
struct StoreCall {
  std::string Method;
  std::string Target;
  std::string Body;
};

} // namespace savorytrestle::store

#endif
