#ifndef SAVORYTRESTLE_STORE_CLAIM_TYPES_H
#define SAVORYTRESTLE_STORE_CLAIM_TYPES_H

/// @file
/// @brief Options, counters and the write pace of platform/ClaimStore.h.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>

#include "savorytrestle/core/ClaimDocument.h"

namespace savorytrestle::store {

/// @brief Takes the decision on a claim, once, on the claim thread.
using ClaimDone = std::function<void(core::Result<core::ClaimResult>)>;

/// @brief Told once when a change is stored, or when the first try failed; the
/// change is tried again after that.
using ChangeDone = std::function<void(core::Result<void>)>;

/// @brief Limits of a host's claim thread.
struct ClaimStoreOptions {
  core::WriteLimits Limits;
  /// Bound on one store call.
  std::chrono::milliseconds StoreTimeout{250};
  /// Store writes a second; what arrives faster is grouped into fewer.
  double WritesPerSecond = 25;
  /// Claims that may wait; beyond it they are refused at once.
  std::size_t MaxPending = 2048;
  /// Pause before changes are tried again while the store is down.
  std::chrono::milliseconds RetryPause{500};
  /// How often one expired window is looked through and deleted.
  std::chrono::milliseconds SweepInterval{std::chrono::minutes(5)};
  /// How far back the windows go that are looked through.
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
  /// Writes that lost to another host's.
  std::atomic<std::uint64_t> Conflicts{0};
  /// Writes whose reply was lost.
  std::atomic<std::uint64_t> LostReplies{0};
  std::atomic<std::uint64_t> Granted{0};
  /// Claims refused because they could not be confirmed.
  std::atomic<std::uint64_t> Refused{0};
  /// Attempts given up whose claim may be stored.
  std::atomic<std::uint64_t> Abandoned{0};
  std::atomic<std::uint64_t> DocumentsDeleted{0};
};

/// @brief Spreads store writes evenly, with a small burst.
class WritePacer {
public:
  /// @brief Sets the pace.
  /// @param perSecond writes a second
  void setRate(double perSecond) {
    Interval = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(1.0 / perSecond));
  }

  /// @brief When the next document may be worked on.
  core::TimePoint next() const { return Next; }

  /// @brief Accounts for one document.
  /// @param now current time
  /// @param wrote whether it cost a write, or only a read
  void spend(core::TimePoint now, bool wrote) {
    const auto cost = wrote ? Interval : Interval / ReadsPerWrite;
    Next = std::max(Next, now - Burst * Interval) + cost;
  }

private:
  /// Writes that may follow each other at once after a pause.
  static constexpr int Burst = 8;
  /// The store takes several times as many reads as writes.
  static constexpr int ReadsPerWrite = 5;

  core::Duration Interval{};
  core::TimePoint Next;
};

} // namespace savorytrestle::store

#endif
