#include "savorytrestle/core/balance/LeafScore.h"

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

/// Weight of a new sample in the expected latency of a route.
constexpr double LatencyWeight = 0.05;
/// Limit of a sample as a multiple of the estimate, so that a pause of one leaf
/// doesn't raise the expected latency at all leaves.
constexpr double MaxSampleRatio = 3;
/// Weights of a new sample in a leaf's slowness and in its failure rate.
constexpr double SlownessWeight = 0.3;
constexpr double FailureWeight = 0.25;
constexpr double MaxSlowness = 40;
/// Times in which a leaf's slowness and failure rate decay to about a third
/// (1 / e) without new samples, so that the leaf is tried again.
constexpr milliseconds SlownessDecayTime{3000};
constexpr milliseconds FailureDecayTime{4000};
/// Age difference up to which an own sample goes before a report of all hosts.
constexpr milliseconds OwnSamplePreference{300};
/// Ratio of a request's age to its expected latency up to which the age is
/// normal and doesn't count as slowness.
constexpr double NormalLatencyRatio = 2.5;
/// Cost of a failed request to its caller, in expected latencies: a retry takes
/// some, and without a token of the shared retry budget the request is lost.
constexpr double FailureCost = 10;
/// Slowness of a leaf during its warm-up.
constexpr double WarmUpSlowness = 1.6;
/// Cost of round trips and traffic between failure domains and between regions.
constexpr milliseconds SameRegionCost{15};
constexpr milliseconds RemoteCost{30};
/// First and longest pause before an unreachable leaf is tried again.
constexpr milliseconds InitialBackoff{300};
constexpr milliseconds MaxBackoff{1200};

double decayed(double value, TimePoint since, TimePoint now,
               milliseconds decayTime) {
  if (value == 0) // most leaves fail no request
    return 0;
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
  FailureRate = ownFailureRate(now) * (1 - FailureWeight);
  FailureRateUpdated = now;
  ConsecutiveUnreachable = 0;
  ++ReportedRequests;
}

void LeafScore::onCancelled(TimePoint now, Duration elapsed,
                            Duration expected) {
  if (const double sample = ratio(elapsed, expected);
      sample > NormalLatencyRatio)
    addSlowness(now, sample);
}

void LeafScore::addSlowness(TimePoint now, double sample) {
  // The reported work time and the queue are part of the cost already. The
  // latency also contains time that doesn't depend on them, so that they only
  // explain slowness.
  const double unexplained = std::max(
      std::min(sample, 1.0), sample / (workTime(now) * queueFactor(now)));
  Slowness = 1 + decayed(Slowness - 1, SlownessUpdated, now, SlownessDecayTime);
  Slowness +=
      SlownessWeight * (std::clamp(unexplained, 0.1, MaxSlowness) - Slowness);
  SlownessUpdated = now;
  ReportedSlowness +=
      std::clamp(std::max(std::min(sample, 1.0), sample / queueFactor(now)),
                 0.1, MaxSlowness);
  ++ReportedSamples;
}

void LeafScore::onFailure(TimePoint now) {
  FailureRate = ownFailureRate(now);
  FailureRate += FailureWeight * (1 - FailureRate);
  ++ReportedRequests;
  ++ReportedFailures;
  FailureRateUpdated = now;
  ConsecutiveUnreachable = 0;
}

void LeafScore::onUnreachable(TimePoint now) {
  const auto wait = InitialBackoff * (1 << std::min(ConsecutiveUnreachable, 4));
  ++ConsecutiveUnreachable;
  BackoffUntil = now + std::min<milliseconds>(wait, MaxBackoff);
}

void LeafScore::onLoadReport(TimePoint now, const ReportedLoad &load) {
  OthersReported = std::max(0.0, static_cast<double>(load.Running) +
                                     load.Waiting - outstanding());
  LoadReceived = now;
  Load = load;
  if (load.Slots > 0)
    Slots = load.Slots;
}

bool LeafScore::inBackoff(TimePoint now) const { return now < BackoffUntil; }

std::optional<LeafReport> LeafScore::takeReport(TimePoint now) {
  // A request that is out for long shows a slow leaf before its answer does.
  if (!Outstanding.empty()) {
    const OutstandingRequest &oldest = Outstanding.begin()->second;
    const double age = ratio(now - oldest.SentAt, oldest.Expected);
    if (age > NormalLatencyRatio) {
      ReportedSlowness += std::min(age, MaxSlowness);
      ++ReportedSamples;
    }
  }
  if (ReportedSamples == 0 && ReportedRequests == 0)
    return std::nullopt;
  LeafReport report;
  if (ReportedSamples > 0)
    report.Slowness = ReportedSlowness / ReportedSamples;
  if (ReportedRequests > 0)
    report.FailureRate =
        static_cast<double>(ReportedFailures) / ReportedRequests;
  ReportedSlowness = 0;
  ReportedSamples = ReportedRequests = ReportedFailures = 0;
  return report;
}

void LeafScore::onReport(const LeafReport &report, TimePoint at) {
  SharedReport = report;
  SharedAt = at;
}

double LeafScore::recordedSlowness(TimePoint now) const {
  const bool shared = SharedAt > SlownessUpdated + OwnSamplePreference;
  const double observed =
      shared ? std::max(1.0, SharedReport.Slowness) : Slowness;
  return 1 + decayed(observed - 1, shared ? SharedAt : SlownessUpdated, now,
                     SlownessDecayTime);
}

double LeafScore::slowness(TimePoint now) const {
  const double recorded = recordedSlowness(now);
  if (Outstanding.empty())
    return recorded;
  const OutstandingRequest &oldest = Outstanding.begin()->second;
  const double age = ratio(now - oldest.SentAt, oldest.Expected);
  return age > NormalLatencyRatio ? std::max(recorded, age) : recorded;
}

double LeafScore::presentRequests(TimePoint now, Duration expected,
                                  double othersPerSlot) const {
  const double kept =
      LoadReceived == TimePoint{} ? 0 : keptShare(now - LoadReceived, expected);
  return outstanding() +
         presentLoad(OthersReported, othersPerSlot * Slots, kept);
}

double LeafScore::queueFactor(TimePoint now) const {
  if (now != LoadReceived || Load.Slots <= 0)
    return 1;
  return 1 + static_cast<double>(Load.Waiting) / Load.Slots;
}

double LeafScore::workTime(TimePoint now) const {
  return Load.WorkTime ? presentWorkTime(*Load.WorkTime, now - LoadReceived)
                       : 1;
}

double LeafScore::ownFailureRate(TimePoint now) const {
  return decayed(FailureRate, FailureRateUpdated, now, FailureDecayTime);
}

double LeafScore::failureRate(TimePoint now) const {
  if (SharedReport.FailureRate &&
      SharedAt > FailureRateUpdated + OwnSamplePreference)
    return decayed(*SharedReport.FailureRate, SharedAt, now, FailureDecayTime);
  return ownFailureRate(now);
}

Duration LeafScore::cost(TimePoint now, Duration expected,
                         double othersPerSlot) const {
  double factor = slowness(now) * workTime(now);
  if (now < WarmUpEnd)
    factor *= WarmUpSlowness;
  const double busy = presentRequests(now, expected, othersPerSlot);
  // Requests wait only when all slots are in use, but a leaf slows down as it
  // fills.
  factor *= 1 + std::max(0.0, busy - Slots + 1) / Slots + 0.2 * busy / Slots;
  factor += FailureCost * failureRate(now);
  Duration cost = scaled(expected, factor);
  if (Distance == LeafDistance::SameRegion)
    cost += SameRegionCost;
  else if (Distance == LeafDistance::Remote)
    cost += RemoteCost;
  return cost;
}

} // namespace savorytrestle::core
