#include "savorytrestle/core/LeafSilence.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::minutes MaxSilence{10};
/// Range over which hosts spread their return, as a share of the silence.
constexpr double ReturnSpreadShare = 0.25;
constexpr milliseconds MaxReturnSpread{2000};

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view Blanks = " \t";
  const auto first = text.find_first_not_of(Blanks);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

} // namespace

std::optional<Duration> parseRetryAfter(std::string_view text) {
  text = trimmed(text);
  double seconds = 0;
  const char *const end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, seconds);
  constexpr double MaxSeconds = std::chrono::seconds(MaxSilence).count();
  // A number that is too large for a double is a long time as well.
  if (ec == std::errc::result_out_of_range && stop == end && text[0] != '-')
    return Duration(MaxSilence);
  if (ec != std::errc() || stop != end || !std::isfinite(seconds) ||
      std::signbit(seconds))
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, MaxSeconds)));
}

void LeafSilence::onRetryAfter(TimePoint now, Duration wait, double draw) {
  const auto spread =
      std::min(std::chrono::duration_cast<Duration>(wait * ReturnSpreadShare),
               Duration(MaxReturnSpread));
  End = std::max(End, now + wait +
                          std::chrono::duration_cast<Duration>(spread * draw));
  TestPending = false;
}

bool LeafSilence::allowsRequest(TimePoint now) const {
  return End == TimePoint{} || (now >= End && !TestPending);
}

bool LeafSilence::onSend() {
  if (End == TimePoint{})
    return false;
  TestPending = true;
  return true;
}

void LeafSilence::onTestAnswered() {
  TestPending = false;
  End = TimePoint{};
}

} // namespace savorytrestle::core
