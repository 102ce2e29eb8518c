#ifndef SAVORYTRESTLE_TESTS_LOAD_MODEL_PARTS_H
#define SAVORYTRESTLE_TESTS_LOAD_MODEL_PARTS_H

/// @file
/// @brief Kinds of requests, their outcomes and the virtual time of LoadModel.

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::load {

using core::Duration;
using core::TimePoint;
using namespace std::chrono_literals;

/// @brief One kind of requests.
struct Kind {
  core::RouteRule Route;
  Duration Work{};
  double PerSecond = 0;
};

/// @brief What callers of one kind got.
struct Outcome {
  int Sent = 0, InTime = 0, RetriedInTime = 0, Late = 0, Refused = 0,
      Failed = 0, HeldLong = 0;
  double share(int count) const { return count / std::max(1.0, double(Sent)); }
  /// Answered at all.
  double served() const { return share(InTime + RetriedInTime + Late); }
};

/// @brief Time of work that a pause of 300 ms every 7.5 s interrupts.
inline Duration withPause(Duration work, TimePoint now, Duration phase) {
  const auto sincePause = (now.time_since_epoch() + phase) % Duration(7500ms);
  if (sincePause < 300ms)
    return work + 300ms - sincePause;
  return sincePause + work > 7500ms ? work + 300ms : work;
}

/// @brief Events in virtual time.
class EventQueue {
protected:
  void at(Duration wait, std::function<void()> action) {
    Events.emplace(Now + wait, std::move(action));
  }

  void runEvents() {
    while (!Events.empty()) {
      const auto first = Events.begin();
      Now = first->first;
      const auto action = std::move(first->second);
      Events.erase(first);
      action();
    }
  }

  TimePoint Now{};

private:
  std::multimap<TimePoint, std::function<void()>> Events;
};

} // namespace savorytrestle::load

#endif
