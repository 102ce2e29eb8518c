#ifndef SAVORYTRESTLE_CORE_SEARCH_PARAMETERS_H
#define SAVORYTRESTLE_CORE_SEARCH_PARAMETERS_H

/// @file
/// @brief Settings of one search.

#include <chrono>

#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Settings of one search.
struct SearchParameters {
  TimePoint Deadline;
  AnswerPolicy Policy = AnswerPolicy::CoverageFirst;
  /// When a tail-first search answers, counted from its start.
  Duration LatencyTarget = std::chrono::milliseconds(100);
  /// Least coverage of a tail-first answer before the deadline.
  double CoverageFloor = 0.9;
  /// Whether the request may crash leaves: then at most two attempts run before
  /// one of them has replied.
  bool Canary = false;
  /// Time kept back from the leaves' deadline for the way to the caller.
  Duration ReturnMargin = std::chrono::milliseconds(5);
  /// Longest wait of a shard for a leaf, for budget or for a newer snapshot in
  /// a tail-first search; a coverage-first one waits to its deadline.
  Duration MaxAdmissionWait = std::chrono::milliseconds(50);
  /// Interval at which a waiting shard tries again.
  Duration AdmissionRetryInterval = std::chrono::milliseconds(2);
  /// Hedge delay while the service's latency is not known yet.
  Duration DefaultHedgeDelay = std::chrono::milliseconds(50);
};

} // namespace savorytrestle::core

#endif
