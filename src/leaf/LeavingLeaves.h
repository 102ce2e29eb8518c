#ifndef SAVORYTRESTLE_LEAF_LEAVING_LEAVES_H
#define SAVORYTRESTLE_LEAF_LEAVING_LEAVES_H

/// @file
/// @brief Header value in which a host tells another one which leaves said that
/// they are leaving.

#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/DepartedLeaves.h"

namespace savorytrestle::leaf {

/// @brief Name of the header in answers to relays.
inline constexpr const char *LeavingLeavesHeader = "Relay-Leaving-Leaves";

/// @brief Formats runs as "ID ADDRESS START", separated by commas.
std::string formatLeavingLeaves(const std::vector<core::LeafRun> &runs);

/// @brief Parses the header; skips entries that are malformed.
std::vector<core::LeafRun> parseLeavingLeaves(std::string_view text);

} // namespace savorytrestle::leaf

#endif
