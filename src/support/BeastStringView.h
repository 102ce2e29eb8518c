#ifndef SAVORYTRESTLE_SUPPORT_BEAST_STRING_VIEW_H
#define SAVORYTRESTLE_SUPPORT_BEAST_STRING_VIEW_H

/// @file
/// @brief Beast's text views as the standard's.

#include <utility>

#include <string_view>

#include <boost/beast/core/string.hpp>

namespace savorytrestle::support {

/// @brief The same characters; valid for as long as they are.
inline std::string_view toStringView(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

} // namespace savorytrestle::support

#endif
