#ifndef SAVORYTRESTLE_CORE_DECIMAL_H
#define SAVORYTRESTLE_CORE_DECIMAL_H

/// @file
/// @brief Decimal numbers in header values.

#include <optional>
#include <string_view>

namespace savorytrestle::core {

/// @brief Parses a decimal number that isn't negative; blanks around it are
/// allowed.
/// @return the number, infinity if it is too large for a double; nothing if the
/// text is anything else
std::optional<double> parseDecimal(std::string_view text);

} // namespace savorytrestle::core

#endif
