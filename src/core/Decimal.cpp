#include "savorytrestle/core/Decimal.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace savorytrestle::core {

std::optional<double> parseDecimal(std::string_view text) {
  constexpr std::string_view Blanks = " \t";
  const auto first = text.find_first_not_of(Blanks);
  if (first == std::string_view::npos)
    return std::nullopt;
  text = text.substr(first, text.find_last_not_of(Blanks) - first + 1);
  double number = 0;
  const char *const end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, number);
  if (ec == std::errc::result_out_of_range && stop == end && text[0] != '-')
    return std::numeric_limits<double>::infinity();
  if (ec != std::errc() || stop != end || !std::isfinite(number) ||
      std::signbit(number))
    return std::nullopt;
  return number;
}

} // namespace savorytrestle::core
