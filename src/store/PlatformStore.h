#ifndef SAVORYTRESTLE_STORE_PLATFORM_STORE_H
#define SAVORYTRESTLE_STORE_PLATFORM_STORE_H

/// @file
/// @brief The platform's store for threads that wait for their calls.

#include <utility>

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "store/KvStore.h"
#include "store/StoreConnection.h"

namespace savorytrestle::store {

/// @brief Waits for each call on a connection of its own; one thread at a time.
/// Satisfies @ref KvStore.
class PlatformStore {
public:
  /// @brief Names the store; makes no call yet.
  /// @param address "ip:port"; calls to anything else fail
  explicit PlatformStore(const std::string &address);
  PlatformStore(PlatformStore &&other) noexcept = default;
  PlatformStore &operator=(PlatformStore &&other) noexcept = default;
  ~PlatformStore();

  /// @brief Reads one key.
  /// @param key the key
  /// @param timeout bound on the call
  /// @return the item, or nothing when absent
  core::Result<std::optional<StoredItem>>
  get(const std::string &key, std::chrono::milliseconds timeout);

  /// @brief Reads all items under a prefix, with as many calls as it has pages.
  /// @param prefix start of the keys
  /// @param timeout bound on each call
  /// @return the items in key order
  core::Result<std::vector<StoredItem>> list(const std::string &prefix,
                                             std::chrono::milliseconds timeout);

  /// @brief Writes if the item is still at the named revision.
  /// @param key the key
  /// @param value its new value, which goes with no lease
  /// @param revision expected revision; NoItem when it must not exist
  /// @param timeout bound on the call
  /// @return whether it was written
  core::Result<bool> compareAndSet(const std::string &key,
                                   const std::string &value, Revision revision,
                                   std::chrono::milliseconds timeout);

  /// @brief Deletes if the item is still at the named revision.
  /// @param key the key
  /// @param revision expected revision
  /// @param timeout bound on the call
  /// @return whether it was deleted
  core::Result<bool> compareAndDelete(const std::string &key, Revision revision,
                                      std::chrono::milliseconds timeout);

  /// @brief Waits for a change under a prefix, then reads what is there.
  /// @param prefix start of the keys
  /// @param after position to wait beyond; 0 answers at once
  /// @param wait how long to wait; the calls are bounded by that and 1 s each
  /// @return the items now, and the position for the next watch
  core::Result<StorePage> watch(const std::string &prefix, Revision after,
                                std::chrono::milliseconds wait);

  /// @brief Opens a lease.
  /// @param timeToLive how long it lasts without renewal
  /// @param timeout bound on the call
  /// @return its identity
  core::Result<LeaseId> openLease(std::chrono::milliseconds timeToLive,
                                  std::chrono::milliseconds timeout);

  /// @brief Renews a lease.
  /// @param lease the lease
  /// @param timeout bound on the call
  /// @return false when it has ended
  core::Result<bool> renewLease(LeaseId lease,
                                std::chrono::milliseconds timeout);

  /// @brief Ends a lease, deleting what goes with it.
  /// @param lease the lease
  /// @param timeout bound on the call
  /// @return true once ended
  core::Result<bool> endLease(LeaseId lease, std::chrono::milliseconds timeout);

  /// @brief Writes an item that goes with a lease; a read and a write.
  /// @param key the key
  /// @param value its value
  /// @param lease the holder
  /// @param timeout bound on each call
  /// @return false when another lease holds the key or this one has ended
  core::Result<bool> acquire(const std::string &key, const std::string &value,
                             LeaseId lease, std::chrono::milliseconds timeout);

private:
  core::Result<StoreReply> call(const StoreCall &call,
                                std::chrono::milliseconds timeout);
  core::Result<bool> write(const StoreTransaction &transaction,
                           std::chrono::milliseconds timeout);
  core::Result<StorePage> readPages(const std::string &prefix,
                                    std::chrono::milliseconds timeout);

  // In this order: the connection's sockets end before what runs them.
  std::unique_ptr<boost::asio::io_context> Io;
  std::shared_ptr<StoreConnection> Connection;
};

static_assert(KvStore<PlatformStore>);

} // namespace savorytrestle::store

#endif
