#include "savorytrestle/core/LeafSilence.h"

#include <algorithm>

#include "savorytrestle/core/Decimal.h"

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::minutes MaxSilence{10};
/// Range over which hosts spread their return, as a share of the silence.
constexpr double ReturnSpreadShare = 0.25;
constexpr milliseconds MaxReturnSpread{2000};

} // namespace

std::optional<Duration> parseRetryAfter(std::string_view text) {
  const auto seconds = parseDecimal(text);
  if (!seconds)
    return std::nullopt;
  constexpr double MaxSeconds = std::chrono::seconds(MaxSilence).count();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(*seconds, MaxSeconds)));
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
