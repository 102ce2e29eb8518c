#include "savorytrestle/core/LeafHealth.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Fraction of its share of requests that a leaf gets when its warm-up starts.
constexpr double InitialWarmUpFraction = 0.1;
/// Consecutive failures after which a leaf that answers again has to warm up; a
/// single broken connection does not mean that its caches are cold.
constexpr std::uint32_t ColdAfterFailures = 2;
constexpr std::uint32_t MaxBackoffDoublings = 16;

double seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

} // namespace

LeafHealth::LeafHealth(LeafHealthSettings settings, bool cold, TimePoint now)
    : Settings(settings) {
  if (cold)
    WarmUpStart = now;
}

bool LeafHealth::probeDue(TimePoint now) const {
  return Condition != LeafCondition::Serving && !ProbeStart && NextProbe &&
         now >= *NextProbe;
}

void LeafHealth::onProbeStart(TimePoint now) { ProbeStart = now; }

double LeafHealth::warmUpFraction(TimePoint now) const {
  if (!WarmUpStart || now - *WarmUpStart >= Settings.WarmUpTime)
    return 1;
  const double passed =
      seconds(now - *WarmUpStart) / seconds(Settings.WarmUpTime);
  return InitialWarmUpFraction +
         (1 - InitialWarmUpFraction) * std::max(0.0, passed);
}

void LeafHealth::onResult(const AttemptResult &result, double jitter,
                          TimePoint now) {
  // Requests that were sent before the probe may date from before the failure
  // and do not show whether the leaf has recovered.
  const bool isProbe = ProbeStart && now - result.Latency >= *ProbeStart;
  if (isProbe)
    ProbeStart.reset();
  if (result.Cancelled) {
    if (isProbe)
      scheduleProbe(jitter, now);
    return;
  }
  if (!result.Failure) {
    ConsecutiveTimeouts = 0;
    LastSuccess = now;
    if (result.Load && result.Load->Draining)
      startDraining(now);
    else if (isProbe)
      onProbeSuccess(now);
    return;
  }
  switch (*result.Failure) {
  case AttemptFailure::Draining:
    startDraining(now);
    break;
  case AttemptFailure::ConnectionRefused:
  case AttemptFailure::ConnectionLost:
    onUnreachable(isProbe, jitter, now);
    break;
  case AttemptFailure::Expired:
    if (++ConsecutiveTimeouts >= Settings.MaxConsecutiveTimeouts || isProbe)
      onUnreachable(isProbe, jitter, now);
    break;
  case AttemptFailure::Shed:
  case AttemptFailure::WrongVersion:
    ConsecutiveTimeouts = 0;
    LastSuccess = now;
    if (isProbe)
      onProbeSuccess(now);
    break;
  case AttemptFailure::Malformed:
    if (isProbe)
      onUnreachable(isProbe, jitter, now);
    break;
  }
}

void LeafHealth::onProbeSuccess(TimePoint now) {
  const bool cold = RestartReported || Condition == LeafCondition::Draining ||
                    ConsecutiveFailures >= ColdAfterFailures;
  resumeServing(cold, now);
}

void LeafHealth::onUnreachable(bool isProbe, double jitter, TimePoint now) {
  if (Condition == LeafCondition::Serving) {
    Condition = LeafCondition::Down;
    ProbeStart.reset();
    ConsecutiveFailures = 1;
    scheduleProbe(jitter, now);
    return;
  }
  // Many requests fail together in one outage; after the first, only failed
  // probes are counted.
  if (!isProbe)
    return;
  ConsecutiveFailures = std::min(ConsecutiveFailures + 1, MaxBackoffDoublings);
  scheduleProbe(jitter, now);
}

void LeafHealth::scheduleProbe(double jitter, TimePoint now) {
  const auto doublings =
      std::min(ConsecutiveFailures > 0 ? ConsecutiveFailures - 1 : 0,
               MaxBackoffDoublings);
  const Duration pause =
      std::min(Settings.MaxBackoff,
               Settings.InitialBackoff * (std::int64_t{1} << doublings));
  // 0.5 to 1.5 times the pause, so that hosts do not probe at the same time.
  NextProbe =
      now + std::chrono::duration_cast<Duration>(pause * (0.5 + jitter));
}

void LeafHealth::startDraining(TimePoint now) {
  Condition = LeafCondition::Draining;
  LastDrainingReport = now;
  RestartReported = false;
  ProbeStart.reset();
  NextProbe.reset();
}

void LeafHealth::resumeServing(bool cold, TimePoint now) {
  Condition = LeafCondition::Serving;
  if (cold)
    WarmUpStart = now;
  NextProbe.reset();
  ConsecutiveFailures = 0;
  ConsecutiveTimeouts = 0;
  RestartReported = false;
}

void LeafHealth::onHealthReport(const LeafHealthReport &report, TimePoint now) {
  const bool restarted =
      report.Incarnation && Incarnation && *report.Incarnation != *Incarnation;
  if (report.Incarnation)
    Incarnation = report.Incarnation;
  if (restarted && Condition == LeafCondition::Serving)
    WarmUpStart = now;
  else if (restarted)
    RestartReported = true;
  ReportedDraining = report.Draining;
  if (report.Draining)
    startDraining(now);
  else if (!report.Healthy)
    onUnhealthyReport(now);
  else
    onHealthyReport(now);
}

void LeafHealth::onHostListState(HostListState state, TimePoint now) {
  ListedDraining = state == HostListState::Draining;
  switch (state) {
  case HostListState::Draining:
    startDraining(now);
    break;
  case HostListState::Absent:
    onUnhealthyReport(now);
    break;
  case HostListState::Live:
    onHealthyReport(now);
    break;
  }
}

void LeafHealth::onUnhealthyReport(TimePoint now) {
  if (Condition != LeafCondition::Serving)
    return;
  if (LastSuccess && now - *LastSuccess <= Settings.RecentSuccessTime)
    return;
  // The leaf has not answered this host recently; the next request is a probe.
  Condition = LeafCondition::Down;
  NextProbe = now;
}

void LeafHealth::onHealthyReport(TimePoint now) {
  if (Condition != LeafCondition::Draining || NextProbe)
    return;
  if (ReportedDraining || ListedDraining)
    return;
  // Until MaxReportLag has passed, the report may date from before the leaf
  // began to drain. Only a restart proves that it is newer.
  if (RestartReported || now - LastDrainingReport >= Settings.MaxReportLag)
    NextProbe = now;
}

} // namespace savorytrestle::core
