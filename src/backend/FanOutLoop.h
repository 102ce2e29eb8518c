#ifndef SAVORYTRESTLE_BACKEND_FAN_OUT_LOOP_H
#define SAVORYTRESTLE_BACKEND_FAN_OUT_LOOP_H

/// @file
/// @brief The thread that owns all calls to leaves, and its timers.

#include <atomic>
#include <functional>
#include <map>
#include <thread>

#include <concurrentqueue/concurrentqueue.h>

#include "backend/LeafTransport.h"
#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::backend {

/// @brief Runs tasks, timers and leaf calls on one thread.
///
/// Other threads submit tasks through a bounded queue, which rejects tasks
/// while it is full.
class FanOutLoop {
public:
  /// @brief Work to run on the loop's thread.
  using Task = std::function<void()>;

  /// @brief Starts the thread.
  /// @param options limits of the transport
  /// @param queueCapacity tasks that may wait at once
  /// @param seed seed of the loop's random source
  FanOutLoop(const LeafTransportOptions &options, std::size_t queueCapacity,
             std::uint64_t seed);
  FanOutLoop(const FanOutLoop &) = delete;
  FanOutLoop &operator=(const FanOutLoop &) = delete;
  ~FanOutLoop();

  /// @brief Queues a task for the loop; thread-safe.
  /// @param task runs on the loop's thread
  /// @return false when the queue is full; the task does not run then
  bool post(Task task);

  /// @brief Stops the thread; the callbacks of pending calls are not called.
  void stop();

  /// @brief Schedules a task; loop thread only.
  /// @param when earliest time at which it runs
  /// @param task what to run
  void scheduleAt(core::TimePoint when, Task task);

  /// @brief The transport for calls to leaves; loop thread only.
  /// @return the transport
  LeafTransport &transport() { return Transport; }

  /// @brief The random source; loop thread only.
  /// @return the source
  core::Rng &rng() { return Random; }

private:
  void run();
  void runTasks();
  std::chrono::milliseconds runTimers();

  const std::size_t QueueCapacity;
  moodycamel::ConcurrentQueue<Task> TaskQueue;
  std::atomic<std::size_t> QueuedTasks{0};
  std::atomic<bool> Stopping{false};
  LeafTransport Transport;
  std::multimap<core::TimePoint, Task> Timers;
  core::Rng Random;
  std::thread Thread;
};

} // namespace savorytrestle::backend

#endif
