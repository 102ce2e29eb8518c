#ifndef SAVORYTRESTLE_REGISTRY_HELD_REMOVALS_H
#define SAVORYTRESTLE_REGISTRY_HELD_REMOVALS_H

/// @file
/// @brief Drops what has left the store, at once or after the time in which
/// lapsed entries may come back.

#include <utility>

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "savorytrestle/core/RemovalGracePeriod.h"

namespace savorytrestle::registry {

/// @brief Removals of entries, some of them held back.
class HeldRemovals : public std::enable_shared_from_this<HeldRemovals> {
public:
  /// Drops an entry; told whether its removal was held back.
  using RemoveHandler = std::function<void(const std::string &id, bool held)>;

  /// @brief Makes a keeper.
  /// @param io runs its timer
  /// @param graceTime how long lapsed entries may take to come back
  /// @param onRemove drops an entry
  HeldRemovals(boost::asio::io_context &io, core::Duration graceTime,
               RemoveHandler onRemove);

  /// @brief The store is heard of again.
  void onStoreReachable();

  /// @brief Entries were removed together.
  /// @param removed how many
  /// @param known how many there were before
  void onRemovals(std::size_t removed, std::size_t known);

  /// @brief An entry was written.
  void onPut(const std::string &id) { GracePeriod.onPut(id); }

  /// @brief An entry was removed or isn't listed any more.
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
