#ifndef SAVORYTRESTLE_CORE_LEAF_HEALTH_H
#define SAVORYTRESTLE_CORE_LEAF_HEALTH_H

/// @file
/// @brief Whether a leaf may get work, from what this host and others saw.

#include <cstdint>
#include <optional>

#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Condition of a leaf as this host sees it.
enum class LeafCondition {
  Serving,  ///< gets work
  Draining, ///< draining or leaving; gets none
  Down,     ///< does not answer; gets one probe at a time
};

/// @brief What a leaf's health endpoint said; it may lag.
struct LeafHealthReport {
  bool Healthy = true;
  bool Draining = false;
  /// Changes with each restart of the leaf.
  std::optional<std::uint64_t> Incarnation;
};

/// @brief What the platform's host list says of a leaf; it may lag.
enum class HostListState {
  Live,     ///< listed as live
  Draining, ///< listed as leaving
  Absent,   ///< not listed
};

/// @brief Times of the health rules.
struct LeafHealthSettings {
  /// Time in which a cold leaf rises to its full share.
  Duration WarmUpTime = std::chrono::seconds(10);
  /// Pause before the first probe of a leaf that is down; doubles after each
  /// failed probe.
  Duration InitialBackoff = std::chrono::milliseconds(100);
  /// Longest pause between probes, before jitter.
  Duration MaxBackoff = std::chrono::seconds(5);
  /// How far the health endpoint and the host list may lag.
  Duration MaxReportLag = std::chrono::seconds(5);
  /// For how long an own success outweighs a bad report of others.
  Duration RecentSuccessTime = std::chrono::seconds(2);
  /// Unanswered requests in a row after which a leaf is down.
  std::uint32_t MaxConsecutiveTimeouts = 3;
};

/// @brief Health of one leaf.
///
/// Own observations go before reports: a good report never brings a leaf back
/// before a probe succeeds, and a bad one does not remove a leaf that answers.
/// A sign that the leaf is leaving, from any channel, takes effect at once.
class LeafHealth {
public:
  /// @brief A leaf that serves.
  /// @param settings times of the rules
  /// @param cold whether it warms up first
  /// @param now current time
  LeafHealth(LeafHealthSettings settings, bool cold, TimePoint now);

  /// @brief Current condition.
  /// @return the condition
  LeafCondition condition() const { return Condition; }

  /// @brief Whether one request may be sent as a probe now.
  /// @param now current time
  /// @return true at most until @ref onProbeStart; O(1)
  bool probeDue(TimePoint now) const;

  /// @brief Notes that a probe was sent.
  /// @param now current time
  void onProbeStart(TimePoint now);

  /// @brief Fraction of its share that a warming leaf gets.
  /// @param now current time
  /// @return 1 when warm; O(1)
  double warmUpFraction(TimePoint now) const;

  /// @brief Takes the end of a request in.
  /// @param result how it ended
  /// @param jitter uniform in [0, 1), spreads the probes of many hosts
  /// @param now current time
  void onResult(const AttemptResult &result, double jitter, TimePoint now);

  /// @brief Takes a report of the health endpoint in.
  /// @param report the report
  /// @param now current time
  void onHealthReport(const LeafHealthReport &report, TimePoint now);

  /// @brief Takes a report of the host list in.
  /// @param state the reported state
  /// @param now current time
  void onHostListState(HostListState state, TimePoint now);

private:
  void onProbeSuccess(TimePoint now);
  void onUnreachable(bool probe, double jitter, TimePoint now);
  void onUnhealthyReport(TimePoint now);
  void onHealthyReport(TimePoint now);
  void startDraining(TimePoint now);
  void resumeServing(bool cold, TimePoint now);
  void scheduleProbe(double jitter, TimePoint now);

  LeafHealthSettings Settings;
  LeafCondition Condition = LeafCondition::Serving;
  std::optional<TimePoint> WarmUpStart;
  std::optional<TimePoint> LastSuccess;
  std::optional<TimePoint> ProbeStart;
  /// When the next probe is due; nothing while none is allowed.
  std::optional<TimePoint> NextProbe;
  std::optional<std::uint64_t> Incarnation;
  TimePoint LastDrainingReport{};
  bool ReportedDraining = false;
  bool ListedDraining = false;
  bool RestartReported = false;
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t ConsecutiveTimeouts = 0;
};

} // namespace savorytrestle::core

#endif
