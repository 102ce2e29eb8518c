#ifndef SAVORYTRESTLE_SUPPORT_BOUNDED_JSON_H
#define SAVORYTRESTLE_SUPPORT_BOUNDED_JSON_H

/// @file
/// @brief Reads JSON from outside with a bound on its nesting.

#include <string_view>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::support {

/// Deepest nesting of arrays and objects taken from outside. Far above what any
/// message of ours holds, and far below what recursion over it can bear.
inline constexpr int MaxJsonDepth = 64;

/// @brief Reads a JSON text.
/// @param text the text
/// @return its value; a discarded one when it isn't JSON or is nested deeper
/// than @ref MaxJsonDepth
nlohmann::json parseJsonOrDiscarded(std::string_view text);

/// @brief Reads a JSON text.
/// @param text the text
/// @return its value, or an error when it isn't JSON or is nested deeper than
/// @ref MaxJsonDepth
core::Result<nlohmann::json> parseBoundedJson(std::string_view text);

/// @brief Reads a JSON text into a type.
/// @tparam T the type
/// @param text the text
/// @param read makes a T, or an error, of the value; may throw the library's
/// exceptions for fields that are missing or of another type
/// @param code error for such fields
/// @return what was read, or why it can't be
template <typename T, typename Read>
core::Result<T> decodeJson(std::string_view text, Read read,
                           core::ErrorCode code = core::ErrorCode::BadRequest) {
  const auto value = parseBoundedJson(text);
  if (!value)
    return tl::unexpected(value.error());
  try {
    return read(*value);
  } catch (const nlohmann::json::exception &ex) {
    return core::makeError(code, ex.what());
  }
}

} // namespace savorytrestle::support

#endif
