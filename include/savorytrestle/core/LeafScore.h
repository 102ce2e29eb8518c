#ifndef SAVORYTRESTLE_CORE_LEAF_SCORE_H
#define SAVORYTRESTLE_CORE_LEAF_SCORE_H

/// @file
/// @brief Placing: what one host has seen of a leaf, and how soon the leaf is
/// expected to answer. Answers uneven load: paused, slow, cold, failing and
/// full leaves are left alone while better ones are there.

#include <chrono>
#include <cstdint>
#include <map>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief How far a leaf is from this host.
enum class LeafDistance {
  SameDomain, ///< the same failure domain
  SameRegion, ///< another failure domain of the region
  Remote,     ///< another region
};

/// @brief Load that a leaf has told with a reply.
struct ReportedLoad {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

/// @brief Running estimate of the time that one kind of request takes at the
/// leaves of one service.
class ExpectedLatency {
public:
  /// @brief Makes an estimate.
  /// @param prior the estimate before any sample
  explicit ExpectedLatency(Duration prior) : Estimate(prior) {}

  /// @brief Takes the time of an answered request. O(1).
  void record(Duration latency);

  /// @brief The estimate.
  Duration get() const { return Estimate; }

private:
  Duration Estimate;
};

/// @brief What one host has seen of one leaf.
class LeafScore {
public:
  /// @brief Makes the record of a leaf that has just become known.
  /// @param distance how far it is
  /// @param slots requests that it executes at a time
  LeafScore(LeafDistance distance, int slots);

  /// @brief A request goes out. O(log outstanding).
  /// @param now the time
  /// @param expected what it is expected to take
  /// @return handle for the matching @ref onEnd
  std::uint64_t onSend(TimePoint now, Duration expected);

  /// @brief The request is over, answered or not. O(log outstanding).
  /// @param handle from @ref onSend
  void onEnd(std::uint64_t handle);

  /// @brief The leaf answered. O(1).
  /// @param now the time
  /// @param latency from dispatch to reply
  /// @param expected what it was expected to take
  void onAnswer(TimePoint now, Duration latency, Duration expected);

  /// @brief A request was broken off before the leaf had answered; it says
  /// something only when it had outlasted what was expected. O(1).
  /// @param now the time
  /// @param elapsed from dispatch to the end
  /// @param expected what it was expected to take
  void onCancelled(TimePoint now, Duration elapsed, Duration expected);

  /// @brief The leaf failed, rejected or broke off a request. O(1).
  void onFailure(TimePoint now);

  /// @brief The leaf couldn't be reached; it is avoided for a while. O(1).
  void onUnreachable(TimePoint now);

  /// @brief The leaf told its load. O(1).
  void onLoadReport(TimePoint now, const ReportedLoad &load);

  /// @brief The leaf says that it is still slow after its start. O(1).
  /// @param until when it expects to be at full speed
  void setWarmUpEnd(TimePoint until) { WarmUpEnd = until; }

  /// @brief Whether the leaf is left alone for now, but for a probe.
  bool inBackoff(TimePoint now) const;

  /// @brief Cost of sending a request there: the time that it is expected to
  /// take, and what distance and doubt add. Lower is better.
  /// @param now the time
  /// @param expected time of this kind of request at a usual leaf
  /// @return the cost; O(1)
  Duration cost(TimePoint now, Duration expected) const;

private:
  struct OutstandingRequest {
    TimePoint SentAt;
    Duration Expected;
  };

  /// How many times slower than usual the leaf is, by replies and by the age
  /// of its oldest request.
  double slowness(TimePoint now) const;
  double failureRate(TimePoint now) const;
  void addSlowness(TimePoint now, double sample);

  LeafDistance Distance;
  int Slots;
  std::map<std::uint64_t, OutstandingRequest> Outstanding;
  std::uint64_t NextHandle = 1;
  double Slowness = 1;
  TimePoint SlownessUpdated{};
  double FailureRate = 0;
  TimePoint FailureRateUpdated{};
  int ConsecutiveUnreachable = 0;
  TimePoint BackoffUntil{};
  TimePoint WarmUpEnd{};
  ReportedLoad Load;
  TimePoint LoadReceived{};
};

} // namespace savorytrestle::core

#endif
