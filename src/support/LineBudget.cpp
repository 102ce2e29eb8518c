#include "support/LineBudget.h"

#include "support/Log.h"

namespace savorytrestle::support {

bool LineBudget::take(std::chrono::steady_clock::time_point now) {
  if (now - Second >= std::chrono::seconds(1)) {
    Second = now;
    Written = 0;
    if (LeftOut > 0)
      LogLine("log_lines_left_out").with("lines", LeftOut);
    LeftOut = 0;
  }
  if (Written < LinesPerSecond) {
    ++Written;
    return true;
  }
  ++LeftOut;
  return false;
}

} // namespace savorytrestle::support
