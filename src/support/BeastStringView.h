#ifndef SAVORYTRESTLE_SUPPORT_BEAST_STRING_VIEW_H
#define SAVORYTRESTLE_SUPPORT_BEAST_STRING_VIEW_H

/// @file
/// @brief Converts Beast's string views to std::string_view.

#include <utility>

#include <string_view>

#include <boost/beast/core/string.hpp>

namespace savorytrestle::support {

/// @brief A view of the same characters; valid as long as @p view is.
inline std::string_view toStringView(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

} // namespace savorytrestle::support

#endif
