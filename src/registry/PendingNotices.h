#ifndef SAVORYTRESTLE_REGISTRY_PENDING_NOTICES_H
#define SAVORYTRESTLE_REGISTRY_PENDING_NOTICES_H

/// @file
/// @brief Delays what this host has to tell the others about leaves.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "savorytrestle/core/DepartedLeaves.h"

namespace savorytrestle::registry {

/// @brief Runs of leaves, each due after a random time. In most cases one host
/// tells the others, and those that learn of it meanwhile drop their notice.
class PendingNotices : public std::enable_shared_from_this<PendingNotices> {
public:
  using DueHandler = std::function<void(const std::vector<core::LeafRun> &)>;

  /// @brief Makes an empty set.
  /// @param io runs its timer
  /// @param onDue called with the runs whose time has come
  PendingNotices(boost::asio::io_context &io, DueHandler onDue);

  /// @brief Sets the number of hosts, over which the times are spread.
  void setHostCount(std::size_t hosts) { HostCount = hosts; }

  /// @brief Adds a run, unless it is pending. O(log n).
  /// @param draw uniform random number in [0, 1)
  void add(const core::LeafRun &run, double draw);

  /// @brief Drops a run. O(log n).
  void drop(const core::LeafRun &run) { DueAt.erase(run); }

private:
  void startTimer();
  void handleDue();

  boost::asio::steady_timer Timer;
  DueHandler OnDue;
  std::map<core::LeafRun, core::TimePoint> DueAt;
  std::size_t HostCount = 1;
  bool TimerRunning = false;
};

} // namespace savorytrestle::registry

#endif
