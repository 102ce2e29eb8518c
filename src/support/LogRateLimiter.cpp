#include "support/LogRateLimiter.h"

#include "support/Log.h"

namespace savorytrestle::support {

bool LogRateLimiter::allowLine(std::chrono::steady_clock::time_point now) {
  if (now - WindowStart >= std::chrono::seconds(1)) {
    WindowStart = now;
    WrittenInWindow = 0;
    if (Suppressed > 0)
      LogLine("log_lines_left_out").with("lines", Suppressed);
    Suppressed = 0;
  }
  if (WrittenInWindow < LinesPerSecond) {
    ++WrittenInWindow;
    return true;
  }
  ++Suppressed;
  return false;
}

} // namespace savorytrestle::support
