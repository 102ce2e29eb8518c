#ifndef SAVORYTRESTLE_STORE_HTTP_KV_STORE_H
#define SAVORYTRESTLE_STORE_HTTP_KV_STORE_H

/// @file
/// @brief The platform's key-value service over its HTTP interface.
///
/// Speaks the key-value and session calls of the Consul HTTP API (KV store with
/// `cas`, `index`/`wait` blocking queries and sessions), of which it needs no
/// more than tests/standins/kv-standin.cpp implements.

#include <string>

#include "store/KvStore.h"
#include "support/HttpClient.h"

namespace savorytrestle::store {

/// @brief Client of the key-value service; one thread at a time.
class HttpKvStore {
public:
  /// @brief Names the service; makes no call yet.
  /// @param address "ip:port"
  explicit HttpKvStore(std::string address);

  /// @brief Reads one key.
  /// @param key the key
  /// @param timeout bound on the call
  /// @return the entry, or nothing when absent
  core::Result<std::optional<KvEntry>> get(const std::string &key,
                                           std::chrono::milliseconds timeout);

  /// @brief Reads all entries under a prefix; one call.
  /// @param prefix start of the keys
  /// @param timeout bound on the call
  /// @return the entries in key order
  core::Result<std::vector<KvEntry>> list(const std::string &prefix,
                                          std::chrono::milliseconds timeout);

  /// @brief Writes if the entry is still at the named revision.
  /// @param key the key
  /// @param value up to 1 MB
  /// @param revision expected revision; NoEntry when it must not exist
  /// @param timeout bound on the call
  /// @return whether it was written
  core::Result<bool> compareAndSet(const std::string &key,
                                   const std::string &value, Revision revision,
                                   std::chrono::milliseconds timeout);

  /// @brief Deletes if the entry is still at the named revision.
  /// @param key the key
  /// @param revision expected revision
  /// @param timeout bound on the call
  /// @return whether it was deleted
  core::Result<bool> compareAndDelete(const std::string &key, Revision revision,
                                      std::chrono::milliseconds timeout);

  /// @brief Waits for a change under a prefix; counts as one call.
  /// @param prefix start of the keys
  /// @param after index to wait beyond; 0 answers at once
  /// @param wait how long to wait; the call is bounded by twice that and 1 s
  /// @return the entries now, and the index for the next watch
  core::Result<WatchResult> watch(const std::string &prefix, Revision after,
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
  core::Result<bool> renewLease(const LeaseId &lease,
                                std::chrono::milliseconds timeout);

  /// @brief Ends a lease, deleting what it holds.
  /// @param lease the lease
  /// @param timeout bound on the call
  /// @return true once ended
  core::Result<bool> endLease(const LeaseId &lease,
                              std::chrono::milliseconds timeout);

  /// @brief Writes an entry held by a lease.
  /// @param key the key
  /// @param value its value
  /// @param lease the holder
  /// @param timeout bound on the call
  /// @return false when another lease holds the key
  core::Result<bool> acquire(const std::string &key, const std::string &value,
                             const LeaseId &lease,
                             std::chrono::milliseconds timeout);

private:
  core::Result<support::HttpReply> call(const std::string &method,
                                        const std::string &pathAndQuery,
                                        const std::string &body,
                                        std::chrono::milliseconds timeout);
  core::Result<bool> callForFlag(const std::string &method,
                                 const std::string &pathAndQuery,
                                 const std::string &body,
                                 std::chrono::milliseconds timeout);

  std::string Base;
  support::HttpClient Http;
};

static_assert(KvStore<HttpKvStore>);

} // namespace savorytrestle::store

#endif
