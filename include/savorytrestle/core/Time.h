#ifndef SAVORYTRESTLE_CORE_TIME_H
#define SAVORYTRESTLE_CORE_TIME_H

/// @file
/// @brief Time types of the decision core, which never reads a clock itself.

#include <chrono>

namespace savorytrestle::core {

/// @brief Monotonic time of this process; the caller passes it in.
using TimePoint = std::chrono::steady_clock::time_point;

/// @brief A span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

/// @brief Wall-clock time, used only where hosts compare dates (key expiry,
/// audit entries).
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// @brief Monotonic time in the form of wall-clock time, for tables whose
/// records hosts pass on as ages.
/// @param now the time
inline WallTime steadyTimeAsWallTime(TimePoint now) {
  return WallTime(
      std::chrono::floor<WallTime::duration>(now.time_since_epoch()));
}

} // namespace savorytrestle::core

#endif
