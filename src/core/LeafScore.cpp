#include "savorytrestle/core/LeafScore.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

double ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) /
         static_cast<double>(std::max<Duration::rep>(1, b.count()));
}

Duration scaled(Duration span, double factor) {
  return std::chrono::duration_cast<Duration>(span * factor);
}

/// Weight of a new sample of a service's latency.
constexpr double LatencyWeight = 0.05;
/// A sample counts as this many estimates at the most, so that a pause at one
/// leaf doesn't move what is expected of all.
constexpr double MaxSampleRatio = 3;
/// Weight of a new sample of a leaf's slowness and of its failures.
constexpr double SlownessWeight = 0.3;
constexpr double FailureWeight = 0.25;
constexpr double MaxSlowness = 40;
/// Time in which doubt about a leaf falls to a third, after which it is tried
/// again.
constexpr milliseconds SlownessDecayTime{3000};
constexpr milliseconds FailureDecayTime{4000};
/// Age of the oldest request, in expected latencies, below which it says
/// nothing of the leaf.
constexpr double NormalLatencyRatio = 2.5;
/// What a failed request costs its caller, in expected latencies: a second try
/// takes some, and one that gets no token of the shared budget is lost.
constexpr double RetryCost = 10;
/// Slowness of a leaf that has just started (measured on both sites).
constexpr double WarmUpSlowness = 1.6;
/// Round trips and the price of bytes between failure domains and regions.
constexpr milliseconds SameRegionCost{15};
constexpr milliseconds RemoteCost{30};
/// How long a reported load says something.
constexpr milliseconds MaxLoadAge{400};
/// First and longest time for which an unreachable leaf is left alone.
constexpr milliseconds InitialBackoff{300};
constexpr milliseconds MaxBackoff{1200};

double decayed(double value, TimePoint since, TimePoint now,
               milliseconds decayTime) {
  return value * std::exp(-ratio(now - since, decayTime));
}

} // namespace

void ExpectedLatency::record(Duration latency) {
  const Duration sample = std::min(latency, scaled(Estimate, MaxSampleRatio));
  Estimate += scaled(sample - Estimate, LatencyWeight);
}

LeafScore::LeafScore(LeafDistance distance, int slots)
    : Distance(distance), Slots(std::max(1, slots)) {}

std::uint64_t LeafScore::onSend(TimePoint now, Duration expected) {
  const std::uint64_t handle = NextHandle++;
  Outstanding.emplace(handle, OutstandingRequest{now, expected});
  return handle;
}

void LeafScore::onEnd(std::uint64_t handle) { Outstanding.erase(handle); }

void LeafScore::onAnswer(TimePoint now, Duration latency, Duration expected) {
  addSlowness(now, ratio(latency, expected));
  FailureRate = failureRate(now) * (1 - FailureWeight);
  FailureRateUpdated = now;
  ConsecutiveUnreachable = 0;
}

void LeafScore::onCancelled(TimePoint now, Duration elapsed,
                            Duration expected) {
  if (const double sample = ratio(elapsed, expected);
      sample > NormalLatencyRatio)
    addSlowness(now, sample);
}

void LeafScore::addSlowness(TimePoint now, double sample) {
  Slowness = 1 + decayed(Slowness - 1, SlownessUpdated, now, SlownessDecayTime);
  Slowness +=
      SlownessWeight * (std::clamp(sample, 0.1, MaxSlowness) - Slowness);
  SlownessUpdated = now;
}

void LeafScore::onFailure(TimePoint now) {
  FailureRate = failureRate(now);
  FailureRate += FailureWeight * (1 - FailureRate);
  FailureRateUpdated = now;
  ConsecutiveUnreachable = 0;
}

void LeafScore::onUnreachable(TimePoint now) {
  const auto wait = InitialBackoff * (1 << std::min(ConsecutiveUnreachable, 4));
  ++ConsecutiveUnreachable;
  BackoffUntil = now + std::min<milliseconds>(wait, MaxBackoff);
}

void LeafScore::onLoadReport(TimePoint now, const ReportedLoad &load) {
  Load = load;
  LoadReceived = now;
  if (load.Slots > 0)
    Slots = load.Slots;
}

bool LeafScore::inBackoff(TimePoint now) const { return now < BackoffUntil; }

double LeafScore::slowness(TimePoint now) const {
  const double past =
      1 + decayed(Slowness - 1, SlownessUpdated, now, SlownessDecayTime);
  if (Outstanding.empty())
    return past;
  const OutstandingRequest &oldest = Outstanding.begin()->second;
  const double age = ratio(now - oldest.SentAt, oldest.Expected);
  return age > NormalLatencyRatio ? std::max(past, age) : past;
}

double LeafScore::failureRate(TimePoint now) const {
  return decayed(FailureRate, FailureRateUpdated, now, FailureDecayTime);
}

Duration LeafScore::cost(TimePoint now, Duration expected) const {
  double factor = slowness(now);
  if (now < WarmUpEnd)
    factor *= WarmUpSlowness;
  const bool fresh =
      LoadReceived != TimePoint{} && now - LoadReceived < MaxLoadAge;
  const double own = static_cast<double>(Outstanding.size());
  const double busy =
      fresh ? std::max(own, static_cast<double>(Load.Running)) + Load.Waiting
            : own;
  // Up to the slots, requests don't wait; a nearly full leaf slows down.
  factor *= 1 + std::max(0.0, busy - Slots + 1) / Slots + 0.2 * busy / Slots;
  factor += RetryCost * failureRate(now);
  Duration cost = scaled(expected, factor);
  if (Distance == LeafDistance::SameRegion)
    cost += SameRegionCost;
  else if (Distance == LeafDistance::Remote)
    cost += RemoteCost;
  return cost;
}

} // namespace savorytrestle::core
