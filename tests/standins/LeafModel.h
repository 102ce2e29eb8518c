#ifndef SAVORYTRESTLE_TESTS_STANDINS_LEAF_MODEL_H
#define SAVORYTRESTLE_TESTS_STANDINS_LEAF_MODEL_H

/// @file
/// @brief State of one stand-in leaf: slots, queue, indexes, faults, counters.

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "backend/LeafProtocol.h"

namespace savorytrestle::standins {

/// @brief Faults and settings that /control changes while the leaf runs.
struct StandInLeafSettings {
  std::chrono::milliseconds Service{8};
  double SlowPercent = 0;
  std::chrono::milliseconds SlowServiceTime{400};
  /// Greatest number of waiting requests; the leaf sheds those beyond it.
  unsigned QueueLimit = 32;
  bool Draining = false;
  bool Shedding = false;
  /// The status endpoint reports "ready" in every state.
  bool AlwaysReportReady = false;
  /// One of "", "truncated", "crossed", "wrong_version", "empty", "garbage".
  std::string ReplyFault;
  /// Writes are executed, but their reply is lost.
  bool LoseWriteReplies = false;
  /// Answers writes with 503 after they have run.
  bool FailWrites = false;
};

/// @brief Counters that /control returns.
struct LeafCounters {
  unsigned Connections = 0;
  unsigned PeakConnections = 0;
  unsigned PeakBusySlots = 0;
  unsigned Searches = 0;
  unsigned ShedRequests = 0;
  unsigned Cancelled = 0;
  /// Executions by idempotency key or request id.
  std::map<std::string, unsigned> Writes;
};

/// @brief How a request's wait for a slot and its execution ended.
enum class ExecutionOutcome { Done, Shed, Cancelled, Expired };

/// @brief Slots, queue and state of a leaf.
class LeafModel {
public:
  LeafModel(unsigned slots, std::uint64_t seed) : Slots(slots), Random(seed) {}

  /// Waits for a slot and occupies it for the service time; returns the
  /// outcome.
  ExecutionOutcome execute(const std::pair<std::string, unsigned> &id,
                           std::chrono::milliseconds deadline) {
    std::unique_lock guard(Lock);
    const auto until = std::chrono::steady_clock::now() + deadline;
    if (Settings.Shedding || Waiting >= Settings.QueueLimit) {
      ++Counters.ShedRequests;
      return ExecutionOutcome::Shed;
    }
    ++Waiting;
    const bool slot = StateChanged.wait_until(guard, until, [&] {
      return Busy < Slots || CancelledRequests.count(id) > 0;
    });
    --Waiting;
    if (CancelledRequests.erase(id) > 0)
      return ExecutionOutcome::Cancelled;
    if (!slot)
      return ExecutionOutcome::Expired;
    Counters.PeakBusySlots = std::max(Counters.PeakBusySlots, ++Busy);
    const auto ready =
        std::min(std::chrono::steady_clock::now() + serviceTime(), until);
    StateChanged.wait_until(guard, ready,
                            [&] { return CancelledRequests.count(id) > 0; });
    --Busy;
    StateChanged.notify_all();
    if (CancelledRequests.erase(id) > 0)
      return ExecutionOutcome::Cancelled;
    return ready == until ? ExecutionOutcome::Expired : ExecutionOutcome::Done;
  }

  void cancel(const std::pair<std::string, unsigned> &id) {
    const std::lock_guard guard(Lock);
    ++Counters.Cancelled;
    CancelledRequests.insert(id);
    // A cancellation may arrive after its request has ended; the limit keeps
    // such entries from accumulating.
    if (CancelledRequests.size() > 4096)
      CancelledRequests.erase(CancelledRequests.begin());
    StateChanged.notify_all();
  }

  core::LoadReport load() {
    const std::lock_guard guard(Lock);
    return {Busy, Waiting, Settings.Draining};
  }

  /// Calls a function with the settings, counters and indexes under the lock.
  template <typename F> auto withState(F f) {
    const std::lock_guard guard(Lock);
    return f(Settings, Counters, Indexes);
  }

private:
  std::chrono::milliseconds serviceTime() {
    std::uniform_real_distribution<double> percent(0, 100);
    return percent(Random) < Settings.SlowPercent ? Settings.SlowServiceTime
                                                  : Settings.Service;
  }

  const unsigned Slots;
  std::mutex Lock;
  std::condition_variable StateChanged;
  unsigned Busy = 0;
  unsigned Waiting = 0;
  std::set<std::pair<std::string, unsigned>> CancelledRequests;
  std::mt19937_64 Random;
  StandInLeafSettings Settings;
  LeafCounters Counters;
  std::vector<backend::LeafIndexStatus> Indexes;
};

} // namespace savorytrestle::standins

#endif
