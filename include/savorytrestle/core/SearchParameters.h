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
  /// Time after its start from which a tail-first search answers if its
  /// coverage suffices.
  Duration LatencyTarget = std::chrono::milliseconds(100);
  /// Minimum coverage of a tail-first answer that is given before the deadline.
  double CoverageFloor = 0.9;
  /// Whether the request may crash leaves. It is then sent in at most two
  /// attempts until a leaf has replied, and to the other shards after that.
  bool Canary = false;
  /// Time between the leaves' deadline and the caller's, for returning the
  /// answer.
  Duration ReturnMargin = std::chrono::milliseconds(5);
  /// Longest time that a shard of a tail-first search waits for a leaf, for
  /// budget or for a newer snapshot. A coverage-first search waits until its
  /// deadline.
  Duration MaxAdmissionWait = std::chrono::milliseconds(50);
  /// Interval between tries to send the sub-request of a waiting shard.
  Duration AdmissionRetryInterval = std::chrono::milliseconds(2);
  /// Hedge delay while too few latencies of the service were recorded.
  Duration DefaultHedgeDelay = std::chrono::milliseconds(50);
};

} // namespace savorytrestle::core

#endif
