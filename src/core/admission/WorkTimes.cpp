#include "savorytrestle/core/admission/WorkTimes.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Weight of a new sample.
constexpr double SampleWeight = 0.05;
/// Largest sample as a multiple of the estimate: a pause isn't work.
constexpr double MaxSampleRatio = 3;
/// Factor on the counts of requests with each new one.
constexpr double CountDecay = 0.98;

} // namespace

void WorkTimes::record(const std::string &route, Duration latency, int waiting,
                       int slots) {
  for (auto &[name, estimate] : ByRoute)
    estimate.Weight *= CountDecay;
  Estimate &estimate = ByRoute[route];
  estimate.Weight += 1;
  const bool first = estimate.Mean == Duration::zero();
  // Requests at a leaf with a queue have waited themselves. Without any other
  // sample, the wait is taken as that behind the present queue.
  if (waiting > 0 && !first)
    return;
  const double turns = 1 + static_cast<double>(std::max(0, waiting)) /
                               static_cast<double>(std::max(1, slots));
  const auto work = std::chrono::duration_cast<Duration>(latency / turns);
  if (first) {
    estimate.Mean = work;
    return;
  }
  const auto sample = std::min(work, std::chrono::duration_cast<Duration>(
                                         estimate.Mean * MaxSampleRatio));
  estimate.Mean += std::chrono::duration_cast<Duration>(
      (sample - estimate.Mean) * SampleWeight);
}

Duration WorkTimes::of(std::string_view route) const {
  const auto it = ByRoute.find(route);
  return it == ByRoute.end() ? Duration::zero() : it->second.Mean;
}

Duration WorkTimes::mean() const {
  double sum = 0;
  double weights = 0;
  for (const auto &[name, estimate] : ByRoute) {
    sum += estimate.Weight * static_cast<double>(estimate.Mean.count());
    weights += estimate.Weight;
  }
  return weights > 0 ? Duration(static_cast<Duration::rep>(sum / weights))
                     : Duration::zero();
}

} // namespace savorytrestle::core
