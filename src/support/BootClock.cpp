#include "support/BootClock.h"

#include <ctime>

namespace savorytrestle::support {

core::TimePoint bootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::TimePoint(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace savorytrestle::support
