#ifndef SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H
#define SAVORYTRESTLE_REGISTRY_HOST_PRESENCE_H

/// @file
/// @brief Publishes this host's entry in the store, where other hosts read it.

#include <utility>

#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "registry/HostEntry.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief Keeps this host's item in the store, under a lease.
class HostPresence : public std::enable_shared_from_this<HostPresence> {
public:
  /// @brief Makes a presence; the entry is written from @ref start on.
  /// @param io runs its handlers
  /// @param store the store's address
  /// @param entry the entry of this host
  /// @param eras era of the store, shared with the host's other connections
  HostPresence(boost::asio::io_context &io,
               const boost::asio::ip::tcp::endpoint &store, HostEntry entry,
               std::shared_ptr<store::EraTracker> eras);

  /// @brief Writes the entry under a lease and renews the lease.
  void start();

  /// @brief Sets the number of hosts, over which new leases after a rise of the
  /// store's era are spread.
  void setHostCount(std::size_t hosts) { HostCount = hosts; }

  /// @brief Replaces the quarantine records in the entry, which is written soon
  /// after if they have changed.
  void setRecords(const std::vector<core::QuarantineRecord> &records);

  /// @brief Adds leaves that are leaving to the entry, which is written soon
  /// after.
  void addLeavingLeaves(const std::vector<core::LeafRun> &runs);

  /// @brief Replaces the limits in the entry, which is written soon after.
  /// @param limits see HostEntry::RateLimits
  /// @param ended see HostEntry::EndedRateLimits
  void setRateLimits(const std::map<core::LeafRun, double> &limits,
                     const std::set<core::LeafRun> &ended);

  /// @brief Sets whether this host reaches no leaf; the entry is written soon
  /// after.
  void setLeavesLost(bool lost);

  /// @brief Ends the lease, with which the store deletes the item.
  void stop();

private:
  /// Writes the entry soon, or with the next renewal of the lease if that is
  /// due.
  void scheduleWrite();
  void onEraRise();
  /// Whether the lease was granted in an older era; asks for a new one then.
  bool replacedLostLease();
  void requestLease();
  void writeEntry();
  void renewLease();
  void scheduleCall(std::chrono::milliseconds delay,
                    void (HostPresence::*next)());

  boost::asio::steady_timer Timer;
  std::shared_ptr<store::StoreConnection> Connection;
  HostEntry Entry;
  std::shared_ptr<store::EraTracker> Eras;
  store::LeaseId Lease = store::NoLease;
  /// Era in which the lease was requested.
  std::optional<store::Era> LeaseEra{};
  std::size_t HostCount = 1;
  std::minstd_rand Random{std::random_device{}()};
  core::TimePoint RenewBy{};
  /// Whether the entry has data that hasn't been written to the store.
  bool HasUnsentData = false;
  /// Whether no call is in flight and the timer for the next one runs; only
  /// then may the next call be made earlier.
  bool CallScheduled = false;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
