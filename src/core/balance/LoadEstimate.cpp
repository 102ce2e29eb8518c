#include "savorytrestle/core/balance/LoadEstimate.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "savorytrestle/core/Decimal.h"

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Weight of a new report in the mean load; the first ones count alike.
constexpr double MeanWeight = 0.1;
/// Time in which a reported work time decays to about a third (1 / e). Machines
/// keep a speed for about half a second.
constexpr milliseconds WorkTimeDecay{300};
constexpr double Percent = 100;
/// Range of work times that are taken for real.
constexpr double MinWorkTime = 0.1;
constexpr double MaxWorkTime = 20;

double ratio(Duration a, Duration b) {
  return static_cast<double>(std::max<Duration::rep>(0, a.count())) /
         static_cast<double>(std::max<Duration::rep>(1, b.count()));
}

/// Takes the text up to the next comma off the front.
std::string_view takeField(std::string_view &text) {
  const auto end = std::min(text.find(','), text.size());
  const auto field = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return field;
}

std::optional<int> parseCount(std::string_view field) {
  while (field.starts_with(' '))
    field.remove_prefix(1);
  while (field.ends_with(' '))
    field.remove_suffix(1);
  int count = 0;
  const auto *const end = field.data() + field.size();
  const auto [last, error] = std::from_chars(field.data(), end, count);
  if (error != std::errc{} || last != end || count < 0)
    return std::nullopt;
  return count;
}

} // namespace

std::optional<ReportedLoad> parseReportedLoad(std::string_view text) {
  std::array<int, 3> counts{};
  for (int &count : counts) {
    const auto parsed = parseCount(takeField(text));
    if (!parsed)
      return std::nullopt;
    count = *parsed;
  }
  ReportedLoad load{counts[0], counts[1], counts[2]};
  if (const auto percent = parseDecimal(takeField(text));
      percent && *percent > 0 && std::isfinite(*percent))
    load.WorkTime = std::clamp(*percent / Percent, MinWorkTime, MaxWorkTime);
  return load;
}

void OtherHostsLoad::record(const ReportedLoad &load, int own) {
  if (load.Slots <= 0)
    return;
  const double others =
      std::max(0.0, static_cast<double>(load.Running) + load.Waiting - own);
  ++Samples;
  PerSlot +=
      std::max(MeanWeight, 1.0 / Samples) * (others / load.Slots - PerSlot);
}

double keptShare(Duration age, Duration expected) {
  return std::exp(-ratio(age, expected));
}

double presentWorkTime(double reported, Duration age) {
  return 1 + (reported - 1) * std::exp(-ratio(age, WorkTimeDecay));
}

} // namespace savorytrestle::core
