#include "savorytrestle/core/LatencyTracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace savorytrestle::core {

namespace {

/// Relative step of the estimate: a larger one adapts faster but varies more.
constexpr double Step = 0.02;
/// Step of the first samples, when the estimate may still be far off.
constexpr double WarmUpStep = 0.2;

double toLog(Duration latency) {
  const auto nanos =
      std::chrono::duration_cast<std::chrono::nanoseconds>(latency).count();
  return std::log(static_cast<double>(std::max<std::int64_t>(nanos, 1)));
}

} // namespace

LatencyTracker::LatencyTracker(double quantile) : Quantile(quantile) {}

void LatencyTracker::record(Duration latency) {
  const double sample = toLog(latency);
  if (Samples == 0)
    LogEstimate = sample;
  const double step = Samples < MinSamples ? WarmUpStep : Step;
  // The expected change is zero when the fraction Quantile of the samples is at
  // or below the estimate.
  LogEstimate += step * (sample > LogEstimate ? Quantile : Quantile - 1);
  Samples = std::min(Samples + 1, MinSamples);
}

void LatencyTracker::recordCancelled(Duration elapsed) {
  if (Samples > 0 && toLog(elapsed) > LogEstimate)
    record(elapsed);
}

std::optional<Duration> LatencyTracker::estimate() const {
  if (Samples < MinSamples)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(std::exp(LogEstimate)));
}

} // namespace savorytrestle::core
