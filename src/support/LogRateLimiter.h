#ifndef SAVORYTRESTLE_SUPPORT_LOG_RATE_LIMITER_H
#define SAVORYTRESTLE_SUPPORT_LOG_RATE_LIMITER_H

/// @file
/// @brief Limits the rate of log lines of one kind.

#include <chrono>
#include <cstdint>

namespace savorytrestle::support {

/// @brief Allows a fixed number of lines a second. Before the first line of the
/// next second, logs how many lines were suppressed.
class LogRateLimiter {
public:
  /// Several times the usual number of lines of a host.
  static constexpr std::uint32_t LinesPerSecond = 300;

  /// @brief Whether a line may be written now.
  /// @param now the time
  /// @return true when it may
  bool allowLine(std::chrono::steady_clock::time_point now);

private:
  std::chrono::steady_clock::time_point WindowStart{};
  std::uint32_t WrittenInWindow = 0;
  std::uint32_t Suppressed = 0;
};

} // namespace savorytrestle::support

#endif
