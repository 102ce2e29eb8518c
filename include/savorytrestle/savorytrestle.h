#ifndef SAVORYTRESTLE_SAVORYTRESTLE_H
#define SAVORYTRESTLE_SAVORYTRESTLE_H

/// @file
/// @brief Main header of the savorytrestle core library.

#include "savorytrestle/core/BaselineSearch.h"
#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/SearchTypes.h"
#include "savorytrestle/core/Time.h"

#endif
