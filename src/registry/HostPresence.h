#ifndef SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H
#define SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H

/// @file
/// @brief Tells the other hosts through the store that this one is there.

#include <utility>

#include <memory>
#include <vector>

#include "registry/HostEntry.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief Keeps one leased item of this host in the store.
class HostPresence : public std::enable_shared_from_this<HostPresence> {
public:
  /// @brief Makes a presence that isn't announced yet.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param entry what it tells of this host
  HostPresence(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &store, HostEntry entry);

  /// @brief Announces the host and keeps its lease.
  void start();

  /// @brief Tells the other hosts of requests that crash leaves, soon.
  void addRecords(const std::vector<core::QuarantineRecord> &records);

  /// @brief Takes it back; the store drops the item with its lease.
  void stop();

private:
  void requestLease();
  void writeEntry();
  void renewLease();
  void scheduleCall(std::chrono::milliseconds delay,
                    void (HostPresence::*next)());

  boost::asio::steady_timer Timer;
  std::shared_ptr<store::StoreConnection> Connection;
  HostEntry Entry;
  store::LeaseId Lease = store::NoLease;
  core::TimePoint RenewBy{};
  /// Whether there are records that the item doesn't show yet.
  bool HasUnsentRecords = false;
  /// Whether it waits for its next call, so that it may be called sooner.
  bool CallScheduled = false;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
