#ifndef SAVORYTRESTLE_STORE_CLAIM_TYPES_H
#define SAVORYTRESTLE_STORE_CLAIM_TYPES_H

/// @file
/// @brief Options, counters and write rate of store/ClaimStore.h.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>

#include "savorytrestle/core/ClaimDocument.h"

namespace savorytrestle::store {

/// @brief Called once with the decision on a claim; see ClaimStore::submit for
/// the thread.
using ClaimDone = std::function<void(core::Result<core::ClaimResult>)>;

/// @brief Called once, when a change is stored, its first try has failed or its
/// time is up; in the latter cases it is tried again.
using ChangeDone = std::function<void(core::Result<void>)>;

/// @brief Limits of a host's claim thread.
struct ClaimStoreOptions {
  core::WriteLimits Limits;
  /// Bound on one store call.
  std::chrono::milliseconds StoreTimeout{250};
  /// Store writes per second; claims and changes that arrive faster are grouped
  /// into fewer writes.
  double WritesPerSecond = 25;
  /// Maximum number of pending claims; further ones are refused immediately.
  std::size_t MaxPending = 2048;
  /// Pause before changes are tried again after the store failed.
  std::chrono::milliseconds RetryPause{500};
  /// Interval at which one expired window is searched for documents to delete.
  std::chrono::milliseconds SweepInterval{std::chrono::minutes(5)};
  /// How far the searched windows go back from the newest expired one.
  std::chrono::milliseconds SweepLookback{std::chrono::hours(6)};
  /// Wall clock.
  std::function<core::WallTime()> WallClock = [] {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  };
};

/// @brief Counters of a claim thread; safe to read from any thread.
struct ClaimStoreStats {
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  /// Writes that failed because another host had changed the document.
  std::atomic<std::uint64_t> Conflicts{0};
  /// Writes whose reply was lost.
  std::atomic<std::uint64_t> LostReplies{0};
  std::atomic<std::uint64_t> Granted{0};
  /// Claims refused because they could not be confirmed.
  std::atomic<std::uint64_t> Refused{0};
  /// Refused attempts whose claim may be stored, and is then released.
  std::atomic<std::uint64_t> Abandoned{0};
  std::atomic<std::uint64_t> DocumentsDeleted{0};
};

/// @brief Limits the rate of store writes, with a small burst.
class WritePacer {
public:
  /// @brief Sets the rate.
  /// @param perSecond writes per second, above 0
  void setRate(double perSecond) {
    Interval = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(1.0 / perSecond));
  }

  /// @brief When the next store call is allowed.
  core::TimePoint next() const { return Next; }

  /// @brief Counts the store calls for one document against the rate.
  /// @param now current time
  /// @param wrote whether they include a write
  void spend(core::TimePoint now, bool wrote) {
    const auto cost = wrote ? Interval : Interval / ReadsPerWrite;
    Next = std::max(Next, now - Burst * Interval) + cost;
  }

private:
  /// Number of writes without a pause between them after an idle time.
  static constexpr int Burst = 8;
  /// The store allows several times as many reads as writes.
  static constexpr int ReadsPerWrite = 5;

  core::Duration Interval{};
  core::TimePoint Next;
};

} // namespace savorytrestle::store

#endif
