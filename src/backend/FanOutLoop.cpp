#include "backend/FanOutLoop.h"

#include <algorithm>

#include "support/RunHandlers.h"

namespace savorytrestle::backend {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds MaxWait{50};
/// Longest time for which tasks run before timers and calls have their turn:
/// starting a burst of 60 searches took 790 ms on a machine with other work.
constexpr milliseconds TaskSlice{5};

} // namespace

FanOutLoop::FanOutLoop(const LeafTransportOptions &options,
                       std::size_t queueCapacity, std::uint64_t seed)
    : QueueCapacity(queueCapacity), TaskQueue(queueCapacity),
      Transport(options), Random(seed), Thread([this] { run(); }) {}

FanOutLoop::~FanOutLoop() { stop(); }

bool FanOutLoop::post(Task task) {
  // ConcurrentQueue rounds its capacity up to whole blocks; this counter
  // enforces the exact bound.
  if (QueuedTasks.fetch_add(1) >= QueueCapacity ||
      !TaskQueue.enqueue(std::move(task))) {
    --QueuedTasks;
    return false;
  }
  Transport.wake();
  return true;
}

void FanOutLoop::stop() {
  Stopping = true;
  Transport.wake();
  if (Thread.joinable())
    Thread.join();
}

void FanOutLoop::scheduleAt(core::TimePoint when, Task task) {
  Timers.emplace(when, std::move(task));
}

void FanOutLoop::run() {
  while (!Stopping) {
    support::callGuarded([this] {
      runTasks();
      const auto wait = runTimers();
      Transport.processEvents(QueuedTasks > 0 ? milliseconds(0) : wait);
    });
  }
}

void FanOutLoop::runTasks() {
  const auto end = SteadyClock::now() + TaskSlice;
  Task task;
  while (TaskQueue.try_dequeue(task)) {
    --QueuedTasks;
    task();
    if (SteadyClock::now() >= end)
      return;
  }
}

milliseconds FanOutLoop::runTimers() {
  const auto now = SteadyClock::now();
  while (!Timers.empty() && Timers.begin()->first <= now) {
    const Task task = std::move(Timers.begin()->second);
    Timers.erase(Timers.begin());
    task();
  }
  if (Timers.empty())
    return MaxWait;
  const auto remaining = std::chrono::ceil<milliseconds>(Timers.begin()->first -
                                                         SteadyClock::now());
  return std::clamp(remaining, milliseconds(0), MaxWait);
}

} // namespace savorytrestle::backend
