#ifndef SAVORYTRESTLE_STORE_KV_STORE_H
#define SAVORYTRESTLE_STORE_KV_STORE_H

/// @file
/// @brief What the system needs of the platform's key-value service.
///
/// Code that uses the store is a template over this concept; production uses
/// platform/HttpKvStore.h and unit tests use tests/FakeKvStore.h.

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::store {

/// @brief Revision of an entry: the store's index of its last modification.
using Revision = std::uint64_t;

/// @brief Revision that a compare-and-swap names for "must not exist".
inline constexpr Revision NoEntry = 0;

/// @brief Identity of a lease (the store's session).
using LeaseId = std::string;

/// @brief One stored entry.
struct KvEntry {
  std::string Key;
  std::string Value;
  Revision ModifyRevision = NoEntry;
  /// Lease that holds the entry; it is deleted when the lease ends.
  std::optional<LeaseId> Lease;
};

/// @brief What a watch saw.
struct WatchResult {
  /// Store index to wait beyond in the next watch.
  Revision Index = 0;
  /// Entries under the watched prefix, or the one key.
  std::vector<KvEntry> Entries;
};

/// @brief The store, as the system sees it.
///
/// Every call is bounded by its timeout. Errors: StoreUnavailable when the call
/// certainly had no effect, OutcomeUnknown when it may have had one. A lost
/// compare-and-swap is the value false, not an error.
template <typename S>
concept KvStore = requires(S store, const std::string &key,
                           const std::string &value, Revision revision,
                           std::chrono::milliseconds timeout,
                           const LeaseId &lease) {
  // Reads one key.
  {
    store.get(key, timeout)
    } -> std::same_as<core::Result<std::optional<KvEntry>>>;
  // Reads all entries whose keys start with the given prefix.
  {
    store.list(key, timeout)
    } -> std::same_as<core::Result<std::vector<KvEntry>>>;
  // Writes if the entry is still at the named revision.
  {
    store.compareAndSet(key, value, revision, timeout)
    } -> std::same_as<core::Result<bool>>;
  // Deletes if the entry is still at the named revision.
  {
    store.compareAndDelete(key, revision, timeout)
    } -> std::same_as<core::Result<bool>>;
  // Waits until something under the prefix is newer than the revision, or the
  // time is up; then gives what is there.
  {
    store.watch(key, revision, timeout)
    } -> std::same_as<core::Result<WatchResult>>;
  // Opens a lease that ends unless it is renewed within its time to live.
  { store.openLease(timeout, timeout) } -> std::same_as<core::Result<LeaseId>>;
  // Renews a lease; false when it has ended.
  { store.renewLease(lease, timeout) } -> std::same_as<core::Result<bool>>;
  // Ends a lease and deletes the entries it holds.
  { store.endLease(lease, timeout) } -> std::same_as<core::Result<bool>>;
  // Writes an entry held by a lease; false when another lease holds it.
  {
    store.acquire(key, value, lease, timeout)
    } -> std::same_as<core::Result<bool>>;
};

} // namespace savorytrestle::store

#endif
