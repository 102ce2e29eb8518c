#ifndef SAVORYTRESTLE_STORE_KV_STORE_H
#define SAVORYTRESTLE_STORE_KV_STORE_H

/// @file
/// @brief Requirements of blocking callers on a client of the platform's store.
///
/// Code that uses the store is a template over this concept. Production code
/// uses store/PlatformStore.h and unit tests use tests/FakeKvStore.h.

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/Error.h"
#include "store/StoreTypes.h"

namespace savorytrestle::store {

/// @brief Blocking client of the store.
///
/// Every call is bounded by its timeout. Errors: StoreUnavailable if the call
/// had no effect, OutcomeUnknown if it may have had one. A compare-and-swap
/// whose expected revision doesn't match gives the value false, not an error.
template <typename S>
concept KvStore = requires(S store, const std::string &key,
                           const std::string &value, Revision revision,
                           std::chrono::milliseconds timeout, LeaseId lease) {
  // Reads one key.
  {
    store.get(key, timeout)
    } -> std::same_as<core::Result<std::optional<StoredItem>>>;
  // Reads all entries whose keys start with the given prefix.
  {
    store.list(key, timeout)
    } -> std::same_as<core::Result<std::vector<StoredItem>>>;
  // Writes if the entry is still at the expected revision.
  {
    store.compareAndSet(key, value, revision, timeout)
    } -> std::same_as<core::Result<bool>>;
  // Deletes if the entry is still at the expected revision.
  {
    store.compareAndDelete(key, revision, timeout)
    } -> std::same_as<core::Result<bool>>;
  // Waits until there is a change under the prefix after the revision, or the
  // timeout has passed; then reads all entries under the prefix.
  {
    store.watch(key, revision, timeout)
    } -> std::same_as<core::Result<StorePage>>;
  // Makes all further compare-and-sets expect one more item, or none.
  store.guardWrites(std::optional<StoreTransaction::Expected>());
  // Newest era that a reply stated; nothing if none did.
  { store.era() } -> std::same_as<std::optional<Era>>;
  // Opens a lease that ends if it is not renewed within its time to live.
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
