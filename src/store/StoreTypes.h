#ifndef SAVORYTRESTLE_STORE_STORE_TYPES_H
#define SAVORYTRESTLE_STORE_STORE_TYPES_H

/// @file
/// @brief Data of the platform's store, and a call to it.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace savorytrestle::store {

/// @brief Revision of the store; it increases with each change.
using Revision = std::uint64_t;

/// @brief Revision of a key that has no item.
inline constexpr Revision NoItem = 0;

/// @brief Era of the store; it rises by one when the store comes back from an
/// older copy. Revisions are given out again in each era.
using Era = std::uint64_t;

/// @brief Position in the store's history.
struct Position {
  /// Nothing if the store or the host that states the position knows no eras.
  std::optional<Era> StoreEra{};
  Revision At = 0;

  bool operator==(const Position &) const = default;
  bool operator<(const Position &other) const {
    return std::tie(StoreEra, At) < std::tie(other.StoreEra, other.At);
  }
};

/// @brief Id of a lease.
using LeaseId = std::uint64_t;

/// @brief Lease of an item that no lease holds; it stays until it is removed.
inline constexpr LeaseId NoLease = 0;

/// @brief An item, or its removal.
struct StoredItem {
  std::string Key;
  std::string Value;
  /// Revision of its last change.
  Revision ModRevision = NoItem;
  /// Lease that holds the item; the item is deleted when it ends.
  LeaseId Lease = NoLease;
  bool Removed = false;
};

/// @brief Items or changes, with the revision up to which they are complete.
struct StorePage {
  std::vector<StoredItem> Items;
  /// Revision up to which Items is complete.
  Revision At = 0;
  /// Whether there are further items after the last key.
  bool HasMore = false;
};

/// @brief A lease as the store granted it.
struct GrantedLease {
  LeaseId Id = NoLease;
  std::chrono::milliseconds TimeToLive{0};
};

/// @brief Writes that are executed atomically, and only if the expected items
/// have not changed since they were read.
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
