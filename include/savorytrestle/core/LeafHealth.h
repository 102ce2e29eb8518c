#ifndef SAVORYTRESTLE_CORE_LEAF_HEALTH_H
#define SAVORYTRESTLE_CORE_LEAF_HEALTH_H

/// @file
/// @brief Whether a leaf may be sent requests, from this host's own results and
/// from reports of the leaf's health endpoint and of the host list.

#include <cstdint>
#include <optional>

#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Condition of a leaf as judged by this host.
enum class LeafCondition {
  Serving,  ///< receives requests
  Draining, ///< shutting down; receives no requests
  Down,     ///< does not answer; receives one probe at a time
};

/// @brief Report of a leaf's health endpoint; may be out of date.
struct LeafHealthReport {
  bool Healthy = true;
  bool Draining = false;
  /// Changes with each restart of the leaf.
  std::optional<std::uint64_t> Incarnation;
};

/// @brief State of a leaf in the platform's host list; may be out of date.
enum class HostListState {
  Live,     ///< listed as live
  Draining, ///< listed as leaving
  Absent,   ///< not listed
};

/// @brief Times and limits of the health rules.
struct LeafHealthSettings {
  /// Time in which a cold leaf's load rises to its full share.
  Duration WarmUpTime = std::chrono::seconds(10);
  /// Pause before the first probe of a leaf that is down, before jitter;
  /// doubles after each failed probe.
  Duration InitialBackoff = std::chrono::milliseconds(100);
  /// Longest pause between probes, before jitter.
  Duration MaxBackoff = std::chrono::seconds(5);
  /// How far reports of the health endpoint and the host list may be out of
  /// date.
  Duration MaxReportLag = std::chrono::seconds(5);
  /// Time after an answer to this host in which reports that the leaf is
  /// unhealthy or not listed are ignored.
  Duration RecentSuccessTime = std::chrono::seconds(2);
  /// Consecutive unanswered requests after which a leaf is down.
  std::uint32_t MaxConsecutiveTimeouts = 3;
};

/// @brief Health of one leaf.
///
/// This host's own results take precedence over reports: after a healthy report
/// the leaf still has to answer a probe before it serves again, and an
/// unhealthy report does not take a leaf that answers out of service. Any
/// report or reply that says that the leaf is draining takes effect at once.
class LeafHealth {
public:
  /// @brief Makes the health of a leaf that serves.
  /// @param settings times and limits of the rules
  /// @param cold whether the leaf has to warm up
  /// @param now current time
  LeafHealth(LeafHealthSettings settings, bool cold, TimePoint now);

  LeafCondition condition() const { return Condition; }

  /// @brief Whether a probe is due: a request to a leaf that does not serve.
  /// @param now current time
  /// @return false while a probe is outstanding; O(1)
  bool probeDue(TimePoint now) const;

  /// @brief Records that a probe was sent.
  /// @param now current time
  void onProbeStart(TimePoint now);

  /// @brief Fraction of its share of requests that the leaf may get during its
  /// warm-up.
  /// @param now current time
  /// @return 1 after the warm-up; O(1)
  double warmUpFraction(TimePoint now) const;

  /// @brief Processes the result of a request.
  /// @param result how it ended
  /// @param jitter uniform in [0, 1); spreads the probes of many hosts in time
  /// @param now current time
  void onResult(const AttemptResult &result, double jitter, TimePoint now);

  /// @brief Processes a report of the health endpoint.
  /// @param report the report
  /// @param now current time
  void onHealthReport(const LeafHealthReport &report, TimePoint now);

  /// @brief Processes the leaf's state in the host list.
  /// @param state the reported state
  /// @param now current time
  void onHostListState(HostListState state, TimePoint now);

private:
  void onProbeSuccess(TimePoint now);
  void onUnreachable(bool isProbe, double jitter, TimePoint now);
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
  /// When the next probe is due; empty while none is allowed.
  std::optional<TimePoint> NextProbe;
  std::optional<std::uint64_t> Incarnation;
  TimePoint LastDrainingReport{};
  bool ReportedDraining = false;
  bool ListedDraining = false;
  /// Whether the leaf restarted while it did not serve.
  bool RestartReported = false;
  /// The failure that took the leaf down and the failed probes since.
  std::uint32_t ConsecutiveFailures = 0;
  std::uint32_t ConsecutiveTimeouts = 0;
};

} // namespace savorytrestle::core

#endif
