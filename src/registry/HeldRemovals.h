#ifndef SAVORYTRESTLE_REGISTRY_HELD_REMOVALS_H
#define SAVORYTRESTLE_REGISTRY_HELD_REMOVALS_H

/// @file
/// @brief Removes entries that are no longer in the store, immediately or after
/// the grace period in which expired entries may be written again.

#include <utility>

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "savorytrestle/core/RemovalGracePeriod.h"

namespace savorytrestle::registry {

/// @brief Runs the removals of a @ref core::RemovalGracePeriod when they fall
/// due.
class HeldRemovals : public std::enable_shared_from_this<HeldRemovals> {
public:
  /// Removes an entry; `held` says whether the removal was held back.
  using RemoveHandler = std::function<void(const std::string &id, bool held)>;

  /// @brief Starts outside a grace period.
  /// @param io runs its timer
  /// @param graceTime how long after the store is reachable again an expired
  /// entry may still be rewritten
  /// @param onRemove removes an entry
  HeldRemovals(boost::asio::io_context &io, core::Duration graceTime,
               RemoveHandler onRemove);

  /// @brief Starts the grace period, as the store is reachable again.
  void onStoreReachable();

  /// @brief Entries were removed together; starts the grace period if they are
  /// a large fraction of all.
  /// @param removed number of removed entries
  /// @param known number of entries before the removal
  void onRemovals(std::size_t removed, std::size_t known);

  /// @brief An entry was written.
  void onPut(const std::string &id) { GracePeriod.onPut(id); }

  /// @brief An entry was removed or is no longer listed.
  void onRemoved(const std::string &id);

private:
  void startTimer();

  boost::asio::steady_timer Timer;
  core::RemovalGracePeriod GracePeriod;
  RemoveHandler OnRemove;
  bool TimerRunning = false;
};

} // namespace savorytrestle::registry

#endif
