#ifndef SAVORYTRESTLE_SAVORYTRESTLE_H
#define SAVORYTRESTLE_SAVORYTRESTLE_H

/// @file
/// @brief Entry header of the savorytrestle decision core.

#include "savorytrestle/core/BaselineSearch.h"
#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/Time.h"

#endif
