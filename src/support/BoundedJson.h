#ifndef SAVORYTRESTLE_SUPPORT_BOUNDED_JSON_H
#define SAVORYTRESTLE_SUPPORT_BOUNDED_JSON_H

/// @file
/// @brief Parses JSON of external origin with a bound on its nesting.

#include <concepts>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string_view>
#include <utility>

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

/// @brief Converts a JSON number to an integer. Unlike the library's conversion
/// it neither wraps numbers out of range nor leaves them undefined.
/// @tparam T type of the integer
/// @param value the number; digits after the point are dropped
/// @param least smallest integer that is accepted
/// @param most largest integer that is accepted
/// @return the integer
/// @throws std::out_of_range if the value is out of bounds or no number
template <std::integral T>
T integerWithin(const nlohmann::json &value,
                T least = std::numeric_limits<T>::min(),
                T most = std::numeric_limits<T>::max()) {
  const auto within = [least, most](auto n) {
    return std::cmp_greater_equal(n, least) && std::cmp_less_equal(n, most);
  };
  if (value.is_number_unsigned()) {
    if (const auto n = value.get<std::uint64_t>(); within(n))
      return static_cast<T>(n);
  } else if (value.is_number_integer()) {
    if (const auto n = value.get<std::int64_t>(); within(n))
      return static_cast<T>(n);
  } else if (value.is_number_float()) {
    constexpr auto Min = static_cast<double>(std::numeric_limits<T>::min());
    // One more than the largest T, which may not be a double.
    constexpr auto End =
        static_cast<double>(T{1} << (std::numeric_limits<T>::digits - 1)) * 2;
    if (const auto n = value.get<double>();
        n >= Min && n < End && within(static_cast<T>(n)))
      return static_cast<T>(n);
  }
  throw std::out_of_range("number is missing or out of range");
}

/// @brief Parses a JSON text and converts its value to a type.
/// @tparam T the type
/// @param text the text
/// @param read converts the value to a T or an error; may throw the library's
/// exceptions for fields that are missing or of another type, and that of
/// @ref integerWithin
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
  } catch (const std::out_of_range &ex) {
    return core::makeError(code, ex.what());
  }
}

} // namespace savorytrestle::support

#endif
