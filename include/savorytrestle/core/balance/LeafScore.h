#ifndef SAVORYTRESTLE_CORE_BALANCE_LEAF_SCORE_H
#define SAVORYTRESTLE_CORE_BALANCE_LEAF_SCORE_H

/// @file
/// @brief Cost of sending a request to a leaf, estimated from this host's own
/// results and from the load that the leaf reports. Lets a host prefer other
/// leaves to those that are paused, slow, warming up, failing or full.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "savorytrestle/core/Time.h"
#include "savorytrestle/core/admission/LeafRoom.h"
#include "savorytrestle/core/balance/LeafReports.h"
#include "savorytrestle/core/balance/LoadEstimate.h"

namespace savorytrestle::core {

/// @brief Distance between a leaf and this host.
enum class LeafDistance {
  SameDomain, ///< the same failure domain
  SameRegion, ///< another failure domain of the region
  Remote,     ///< another region
};

/// @brief Moving average of the time that requests of one route take at the
/// leaves of one service.
class ExpectedLatency {
public:
  /// @brief Makes an estimate.
  /// @param prior the estimate before any sample
  explicit ExpectedLatency(Duration prior) : Estimate(prior) {}

  /// @brief Adds the latency of an answered request. O(1).
  void record(Duration latency);

  Duration get() const { return Estimate; }

private:
  Duration Estimate;
};

/// @brief Results and reported load of one leaf, as seen by one host.
class LeafScore {
public:
  /// @brief Makes the score of a leaf without results.
  /// @param distance distance between the leaf and this host
  /// @param slots requests that the leaf executes concurrently
  LeafScore(LeafDistance distance, int slots);

  /// @brief Records that a request was sent. O(log outstanding).
  /// @param now current time
  /// @param expected expected latency of the request
  /// @return handle to pass to @ref onEnd
  std::uint64_t onSend(TimePoint now, Duration expected);

  /// @brief Records that a request has ended, answered or not.
  /// O(log outstanding).
  /// @param handle the value that @ref onSend returned
  void onEnd(std::uint64_t handle);

  /// @brief Records an answer of the leaf. O(1).
  /// @param now current time
  /// @param latency time from dispatch to reply
  /// @param expected expected latency of the request
  void onAnswer(TimePoint now, Duration latency, Duration expected);

  /// @brief Records that this host cancelled a request before the leaf
  /// answered. Counts only if the request had taken much longer than expected.
  /// O(1).
  /// @param now current time
  /// @param elapsed time from dispatch to cancellation
  /// @param expected expected latency of the request
  void onCancelled(TimePoint now, Duration elapsed, Duration expected);

  /// @brief Records that the leaf failed or rejected a request, or that its
  /// connection broke. O(1).
  void onFailure(TimePoint now);

  /// @brief Records that no connection to the leaf could be made, and starts
  /// its backoff. O(1).
  void onUnreachable(TimePoint now);

  /// @brief Records the load that the leaf reported. O(1).
  void onLoadReport(TimePoint now, const ReportedLoad &load);

  /// @brief Records the load with which the leaf turned a request away: if all
  /// its slots were in use, its queue was full. O(1).
  void onQueueFull(const ReportedLoad &load);

  /// @brief What this host knows about the leaf's load, for admission.
  /// O(requests since the last report).
  LeafLoad load(TimePoint now) const;

  /// @brief Takes what this host saw of the leaf since the last call, for the
  /// other hosts. O(1).
  /// @param now current time
  /// @return the report; nothing if there was no sample
  std::optional<LeafReport> takeReport(TimePoint now);

  /// @brief Records what the hosts of the failure domain see of the leaf. Own
  /// samples go first unless they are older. O(1).
  /// @param report the merged report
  /// @param at time of its newest sample
  void onReport(const LeafReport &report, TimePoint at);

  /// @brief Sets when the leaf, which is slow after its start, expects to reach
  /// full speed. O(1).
  /// @param end end of the warm-up
  void setWarmUpEnd(TimePoint end) { WarmUpEnd = end; }

  /// @brief Whether no request should be sent to the leaf, since it could not
  /// be reached shortly before.
  bool inBackoff(TimePoint now) const;

  /// @brief Cost of sending a request to the leaf: its expected latency there,
  /// plus the expected cost of a failure and of the distance. Lower is better.
  /// @param now current time
  /// @param expected latency of such a request at an average leaf
  /// @param othersPerSlot see @ref OtherHostsLoad::perSlot; reports lose weight
  /// with it and with their age
  /// @return the cost; O(1)
  Duration cost(TimePoint now, Duration expected,
                double othersPerSlot = 0) const;

  /// @brief Number of requests that this host has sent and that haven't ended.
  int outstanding() const { return static_cast<int>(Outstanding.size()); }

  /// @brief Requests at the leaf now, as far as they are known or expected; see
  /// @ref cost for the parameters. O(1).
  double presentRequests(TimePoint now, Duration expected,
                         double othersPerSlot) const;

  /// @brief Requests that the leaf executes concurrently.
  int slots() const { return Slots; }

  /// @brief When the last load report came; TimePoint{} if there is none.
  TimePoint loadReportedAt() const { return LoadReceived; }

private:
  struct OutstandingRequest {
    TimePoint SentAt;
    Duration Expected;
  };

  /// Ratio of the leaf's latency to the expected one, from its answers and from
  /// the age of its oldest outstanding request.
  double slowness(TimePoint now) const;
  double ownFailureRate(TimePoint now) const;
  double failureRate(TimePoint now) const;
  double recordedSlowness(TimePoint now) const;
  /// Part of an answer's latency that queueing explains, as a multiple.
  double queueFactor(TimePoint now) const;
  double workTime(TimePoint now) const;
  void addSlowness(TimePoint now, double sample);

  LeafDistance Distance;
  int Slots;
  std::map<std::uint64_t, OutstandingRequest> Outstanding;
  std::uint64_t NextHandle = 1;
  double Slowness = 1;
  TimePoint SlownessUpdated{};
  double FailureRate = 0;
  TimePoint FailureRateUpdated{};
  LeafReport SharedReport;
  TimePoint SharedAt{};
  /// Samples since the last report.
  double ReportedSlowness = 0;
  int ReportedSamples = 0;
  int ReportedRequests = 0;
  int ReportedFailures = 0;
  int ConsecutiveUnreachable = 0;
  TimePoint BackoffUntil{};
  TimePoint WarmUpEnd{};
  /// Requests of other hosts in the last report of the leaf's load.
  double OthersReported = 0;
  TimePoint LoadReceived{};
  ReportedLoad Load;
  /// Most requests that it queues, as seen when it turned one away.
  std::optional<int> QueueLimit;
};

} // namespace savorytrestle::core

#endif
