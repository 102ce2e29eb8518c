#ifndef SAVORYTRESTLE_SUPPORT_BOOT_CLOCK_H
#define SAVORYTRESTLE_SUPPORT_BOOT_CLOCK_H

/// @file
/// @brief Clock that goes on while the machine is suspended.

#include "savorytrestle/core/Time.h"

namespace savorytrestle::support {

/// @brief Time since the start of the machine, with the time for which it was
/// suspended (CLOCK_BOOTTIME). Leases between hosts end by it: the steady clock
/// stops in a suspension and would let them hold for too long.
core::TimePoint bootTime();

} // namespace savorytrestle::support

#endif
