#ifndef SAVORYTRESTLE_STORE_PLATFORM_STORE_H
#define SAVORYTRESTLE_STORE_PLATFORM_STORE_H

/// @file
/// @brief Blocking client of the platform's store.

#include <utility>

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "store/KvStore.h"
#include "store/StoreConnection.h"

namespace savorytrestle::store {

/// @brief Makes each call on its own connection and waits for the reply; not
/// thread-safe. Satisfies @ref KvStore.
class PlatformStore {
public:
  /// @brief Sets the address of the store; makes no call.
  /// @param address "ip:port"; with any other text, all calls fail
  explicit PlatformStore(const std::string &address);
  PlatformStore(PlatformStore &&other) noexcept = default;
  PlatformStore &operator=(PlatformStore &&other) noexcept = default;
  ~PlatformStore();

  /// @brief Reads one key.
  /// @param key the key
  /// @param timeout bound on the call
  /// @return the item, or nothing if absent
  core::Result<std::optional<StoredItem>>
  get(const std::string &key, std::chrono::milliseconds timeout);

  /// @brief Reads all items under a prefix; makes one call for each page.
  /// @param prefix prefix of the keys
  /// @param timeout bound on each call
  /// @return the items in key order
  core::Result<std::vector<StoredItem>> list(const std::string &prefix,
                                             std::chrono::milliseconds timeout);

  /// @brief Writes if the item is still at the expected revision.
  /// @param key the key
  /// @param value its new value, held by no lease
  /// @param revision expected revision; NoItem if the key must be absent
  /// @param timeout bound on the call
  /// @return whether it was written
  core::Result<bool> compareAndSet(const std::string &key,
                                   const std::string &value, Revision revision,
                                   std::chrono::milliseconds timeout);

  /// @brief Makes all further compare-and-sets expect one more item, or none.
  void guardWrites(std::optional<StoreTransaction::Expected> guard) {
    Guard = std::move(guard);
  }

  /// @brief Newest era that a reply stated; nothing if none did.
  std::optional<Era> era() const { return Eras->current(); }

  /// @brief Deletes if the item is still at the expected revision.
  /// @param key the key
  /// @param revision expected revision
  /// @param timeout bound on the call
  /// @return whether it was deleted
  core::Result<bool> compareAndDelete(const std::string &key, Revision revision,
                                      std::chrono::milliseconds timeout);

  /// @brief Waits for a change under a prefix, then reads all items under it.
  /// @param prefix prefix of the keys
  /// @param after revision after which to wait for a change; 0 does not wait
  /// @param wait upper bound on the wait; the watch is bounded by it plus 1 s,
  /// and each read by 1 s
  /// @return the items, and the revision for the next watch
  core::Result<StorePage> watch(const std::string &prefix, Revision after,
                                std::chrono::milliseconds wait);

  /// @brief Opens a lease.
  /// @param timeToLive how long it lasts without renewal
  /// @param timeout bound on the call
  /// @return its id
  core::Result<LeaseId> openLease(std::chrono::milliseconds timeToLive,
                                  std::chrono::milliseconds timeout);

  /// @brief Renews a lease.
  /// @param lease the lease
  /// @param timeout bound on the call
  /// @return false when it has ended
  core::Result<bool> renewLease(LeaseId lease,
                                std::chrono::milliseconds timeout);

  /// @brief Ends a lease and deletes the items that it holds.
  /// @param lease the lease
  /// @param timeout bound on the call
  /// @return whether the store ended it
  core::Result<bool> endLease(LeaseId lease, std::chrono::milliseconds timeout);

  /// @brief Writes an item held by a lease; makes a read and a write.
  /// @param key the key
  /// @param value its value
  /// @param lease the lease that holds the item
  /// @param timeout bound on each call
  /// @return false if another lease holds the item or this one has ended
  core::Result<bool> acquire(const std::string &key, const std::string &value,
                             LeaseId lease, std::chrono::milliseconds timeout);

private:
  core::Result<StoreReply> call(const StoreCall &call,
                                std::chrono::milliseconds timeout);
  core::Result<bool> write(const StoreTransaction &transaction,
                           std::chrono::milliseconds timeout);
  core::Result<StorePage> readPages(const std::string &prefix,
                                    std::chrono::milliseconds timeout);

  // The connection is declared after the context, so that it is destroyed
  // first: its sockets use the context.
  std::unique_ptr<boost::asio::io_context> Io;
  std::shared_ptr<EraTracker> Eras = std::make_shared<EraTracker>();
  std::optional<StoreTransaction::Expected> Guard;
  std::shared_ptr<StoreConnection> Connection;
};

static_assert(KvStore<PlatformStore>);

} // namespace savorytrestle::store

#endif
