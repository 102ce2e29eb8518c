#include "savorytrestle/core/LeafWindow.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::core {

using namespace std::chrono_literals;

namespace {

constexpr double LatencyGain = 0.2;
constexpr Duration DefaultLatency = 10ms;
constexpr Duration FloorSpan = 10s;
/// Time in which an estimate without new samples loses 63% of its distance to
/// the floor.
constexpr Duration DecayTime = 5s;

/// At the least window, one request in 50 latencies still samples the leaf.
constexpr double MinWindow = 0.02;
constexpr double ShedDecreaseFactor = 0.7;
constexpr double LatencyDecreaseFactor = 0.9;
/// Increase of the window in one latency, as a fraction of the initial window,
/// so that the total increase does not depend on the number of hosts.
constexpr double IncreaseStep = 0.2;
/// Largest increase for one answer, as a fraction of the window.
constexpr double MaxIncreaseFraction = 0.3;
/// Ratio of latency to floor above which a leaf that does not report its load
/// counts as queueing.
constexpr double QueueingLatencyRatio = 2.5;
constexpr Duration MinDecreaseInterval = 2ms;

Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

} // namespace

void LeafLatency::add(Duration sample, TimePoint now) {
  if (CurrentFloor && now - FloorSpanStart >= FloorSpan) {
    PreviousFloor = CurrentFloor;
    CurrentFloor.reset();
  }
  if (!CurrentFloor)
    FloorSpanStart = now;
  CurrentFloor = std::min(CurrentFloor.value_or(sample), sample);
  const double old = Smoothed ? seconds(expected(now)) : seconds(sample);
  Smoothed = old + LatencyGain * (seconds(sample) - old);
  LastSample = now;
}

Duration LeafLatency::expected(TimePoint now) const {
  if (!Smoothed)
    return DefaultLatency;
  const double floorSeconds = seconds(floor().value_or(0s));
  const double excess = std::max(0.0, *Smoothed - floorSeconds);
  const double age = std::max(0.0, seconds(now - LastSample));
  return fromSeconds(floorSeconds +
                     excess * std::exp(-age / seconds(DecayTime)));
}

std::optional<Duration> LeafLatency::floor() const {
  if (!CurrentFloor || !PreviousFloor)
    return CurrentFloor ? CurrentFloor : PreviousFloor;
  return std::min(*CurrentFloor, *PreviousFloor);
}

LeafWindow::LeafWindow(LeafWindowLimits limits)
    : Limits(limits), Window(limits.Initial) {
  setLimits(limits);
}

void LeafWindow::setLimits(LeafWindowLimits limits) {
  Limits = limits;
  Window = std::clamp(Window, MinWindow, std::max(MinWindow, Limits.Max));
}

bool LeafWindow::admits(std::uint32_t outstanding, double scale,
                        TimePoint now) const {
  const double window = std::max(MinWindow, Window * scale);
  if (window >= 1)
    return outstanding + 1 <= window;
  if (outstanding > 0)
    return false;
  if (!LastStart)
    return true;
  const double pause = seconds(Latency.expected(now)) / window;
  return now - *LastStart >= fromSeconds(pause);
}

void LeafWindow::onStart(TimePoint now) { LastStart = now; }

void LeafWindow::onResult(const AttemptResult &result,
                          std::uint32_t outstanding, TimePoint now) {
  if (result.Cancelled) {
    // The true latency is unknown, but at least this long. Without the sample,
    // a leaf whose requests are always cancelled would look fast.
    if (result.Latency > Latency.expected(now))
      Latency.add(result.Latency, now);
    return;
  }
  if (!result.Failure) {
    adaptToAnswer(result, outstanding, now);
    return;
  }
  switch (*result.Failure) {
  case AttemptFailure::ConnectionRefused:
  case AttemptFailure::Shed:
    decrease(ShedDecreaseFactor, now);
    break;
  case AttemptFailure::Expired:
    Latency.add(result.Latency, now);
    decrease(LatencyDecreaseFactor, now);
    break;
  case AttemptFailure::Draining:
  case AttemptFailure::WrongVersion:
  case AttemptFailure::ConnectionLost:
  case AttemptFailure::Malformed:
    // These failures do not depend on the leaf's load.
    break;
  }
}

void LeafWindow::adaptToAnswer(const AttemptResult &result,
                               std::uint32_t outstanding, TimePoint now) {
  Latency.add(result.Latency, now);
  if (result.Load) {
    const double total = result.Load->Busy + result.Load->Queued;
    const double target = Limits.Slots + Limits.QueueTarget;
    // All hosts see the same total and decrease by the same factor, and the
    // additive increase makes their windows converge.
    if (total > target)
      decrease(std::max(ShedDecreaseFactor, target / total), now);
    else if (result.Load->Queued < std::max(1.0, Limits.QueueTarget))
      increase(outstanding);
    return;
  }
  const auto latencyFloor = Latency.floor().value_or(result.Latency);
  if (seconds(result.Latency) > QueueingLatencyRatio * seconds(latencyFloor))
    decrease(LatencyDecreaseFactor, now);
  else
    increase(outstanding);
}

void LeafWindow::decrease(double factor, TimePoint now) {
  // Answers within one round trip reflect the same queue: one decrease is
  // enough.
  const Duration interval =
      std::max(MinDecreaseInterval, Latency.expected(now));
  if (HasDecreased && now - LastDecrease < interval)
    return;
  HasDecreased = true;
  LastDecrease = now;
  Window = std::max(MinWindow, Window * factor);
}

void LeafWindow::increase(std::uint32_t outstanding) {
  // A window that is not in full use gives no evidence that the leaf can take
  // more.
  if (outstanding + 1 < Window)
    return;
  // At a window far below 1, the full step would multiply the request rate
  // after a single answer.
  const double step = std::min(IncreaseStep * Limits.Initial / Window,
                               MaxIncreaseFraction * Window);
  Window = std::min(std::max(MinWindow, Limits.Max), Window + step);
}

} // namespace savorytrestle::core
