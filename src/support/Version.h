#ifndef SAVORYTRESTLE_SUPPORT_VERSION_H
#define SAVORYTRESTLE_SUPPORT_VERSION_H

/// @file
/// @brief The version that the binary reports.

#include <string_view>

namespace savorytrestle::support {

/// @brief Semantic version of the source tree.
inline constexpr std::string_view Version = "0.1.0";

} // namespace savorytrestle::support

#endif
