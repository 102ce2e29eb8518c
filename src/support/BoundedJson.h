#ifndef SAVORYTRESTLE_SUPPORT_BOUNDED_JSON_H
#define SAVORYTRESTLE_SUPPORT_BOUNDED_JSON_H

/// @file
/// @brief Parses JSON of external origin with a bound on its nesting.

#include <string_view>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::support {

/// Deepest accepted nesting of arrays and objects. Far deeper than any message
/// of this project, and far below the depth at which recursion over the value
/// overflows the stack.
inline constexpr int MaxJsonDepth = 64;

/// @brief Parses a JSON text.
/// @param text the text
/// @return its value; a discarded value when it isn't JSON or is nested deeper
/// than @ref MaxJsonDepth
nlohmann::json parseJsonOrDiscarded(std::string_view text);

/// @brief Parses a JSON text.
/// @param text the text
/// @return its value, or an error when it isn't JSON or is nested deeper than
/// @ref MaxJsonDepth
core::Result<nlohmann::json> parseBoundedJson(std::string_view text);

/// @brief Parses a JSON text and converts its value to a type.
/// @tparam T the type
/// @param text the text
/// @param read converts the value to a T or an error; may throw the library's
/// exceptions for fields that are missing or of another type
/// @param code error code for such fields
/// @return the T, or the error
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
