#ifndef SAVORYTRESTLE_CORE_TIME_H
#define SAVORYTRESTLE_CORE_TIME_H

/// @file
/// @brief Time types of the core, which receives the current time from its
/// callers and reads no clock.

#include <chrono>

namespace savorytrestle::core {

/// @brief Monotonic time of this process.
using TimePoint = std::chrono::steady_clock::time_point;

/// @brief Difference of two monotonic times.
using Duration = std::chrono::steady_clock::duration;

/// @brief Wall-clock time, used only where several hosts compare times (expiry
/// of idempotency keys, audit entries).
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// @brief Monotonic time as a WallTime, for tables whose records hosts send to
/// each other with their age in place of a time.
/// @param now the monotonic time
/// @return the time since the steady clock's epoch; not a date
inline WallTime steadyTimeAsWallTime(TimePoint now) {
  return WallTime(
      std::chrono::floor<WallTime::duration>(now.time_since_epoch()));
}

} // namespace savorytrestle::core

#endif
