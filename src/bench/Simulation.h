#ifndef SAVORYTRESTLE_BENCH_SIMULATION_H
#define SAVORYTRESTLE_BENCH_SIMULATION_H

/// @file
/// @brief Virtual clock and event queue of the benchmark.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::bench {

/// @brief Runs events in the order of their virtual time.
class Simulation {
public:
  using Event = std::function<void()>;

  /// @brief Current virtual time.
  /// @return the time of the event that is running
  core::TimePoint now() const { return Now; }

  /// @brief Schedules an event; events at the same time run in scheduling
  /// order.
  /// @param when virtual time; an earlier time than @ref now counts as now
  /// @param event what to run
  void scheduleAt(core::TimePoint when, Event event) {
    Queue.push({std::max(when, Now), NextSequence++, std::move(event)});
  }

  /// @brief Schedules an event after a delay.
  /// @param delay from now
  /// @param event what to run
  void scheduleAfter(core::Duration delay, Event event) {
    scheduleAt(Now + delay, std::move(event));
  }

  /// @brief Runs until no event is left.
  void run() {
    while (!Queue.empty()) {
      ScheduledEvent item = Queue.top();
      Queue.pop();
      Now = item.When;
      item.Run();
    }
  }

private:
  struct ScheduledEvent {
    core::TimePoint When;
    std::uint64_t Sequence = 0;
    Event Run;

    bool operator<(const ScheduledEvent &other) const {
      return When != other.When ? When > other.When : Sequence > other.Sequence;
    }
  };

  core::TimePoint Now{};
  std::uint64_t NextSequence = 0;
  std::priority_queue<ScheduledEvent> Queue;
};

} // namespace savorytrestle::bench

#endif
