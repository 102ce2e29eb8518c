#ifndef SAVORYTRESTLE_CORE_DEPARTED_LEAVES_H
#define SAVORYTRESTLE_CORE_DEPARTED_LEAVES_H

/// @file
/// @brief Runs of leaves that are known to have left. A list that still shows
/// them, from the store, another host or an older copy of the store, doesn't
/// bring them back.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief One run of a leaf's process.
struct LeafRun {
  std::string Id;
  /// "ip:port"
  std::string Address;
  /// Start time in milliseconds since 1970, 0 if unknown.
  std::int64_t StartedAt = 0;

  bool operator==(const LeafRun &) const = default;
  bool operator<(const LeafRun &other) const {
    return std::tie(Id, Address, StartedAt) <
           std::tie(other.Id, other.Address, other.StartedAt);
  }
};

/// @brief Set of runs that have left; the oldest are dropped beyond a limit.
class DepartedLeaves {
public:
  /// @brief Adds a run. O(log n).
  /// @return whether it is new
  bool add(const LeafRun &run);

  /// @brief Whether a run has left. O(log n).
  bool contains(const LeafRun &run) const { return Runs.count(run) > 0; }

  std::size_t size() const { return Runs.size(); }

private:
  std::set<LeafRun> Runs;
  /// The same runs in the order in which they were added.
  std::deque<LeafRun> ByAge;
};

/// @brief Runs whose entries were removed of late. An older copy of the store
/// may show them again, until the store has removed them for their silence.
class RemovedRuns {
public:
  /// Time after which an entry in a copy is taken for one of a living leaf.
  static constexpr std::chrono::milliseconds CopyLifetime{5000};

  /// @brief Records a removal. O(log n) amortised.
  void onRemoved(const LeafRun &run, TimePoint now);

  /// @brief Whether the run was removed within the last minutes, so that a copy
  /// may show it. O(log n).
  bool contains(const LeafRun &run, TimePoint now) const;

private:
  std::map<LeafRun, TimePoint> RemovedAt;
};

/// @brief Time that a host waits before it tells the others of a leaf that is
/// leaving. The first host's notice saves the others theirs.
/// @param hosts number of hosts
/// @param draw uniform random number in [0, 1)
Duration departureNoticeDelay(std::size_t hosts, double draw);

} // namespace savorytrestle::core

#endif
