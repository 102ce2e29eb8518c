#ifndef SAVORYTRESTLE_CORE_LEAF_WINDOW_H
#define SAVORYTRESTLE_CORE_LEAF_WINDOW_H

/// @file
/// @brief Adaptive limit on what one host keeps outstanding at one leaf.

#include <cstdint>
#include <optional>

#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief What a window adapts between.
struct LeafWindowLimits {
  /// Requests the leaf executes at once, over all hosts.
  double Slots = 1;
  /// Requests that may wait at the leaf, over all hosts.
  double QueueTarget = 1;
  /// Requests this host starts with; may be below 1.
  double Initial = 1;
  /// Most requests of this host; its connection share.
  double Max = 1;
};

/// @brief Smoothed latency of a leaf and its recent floor.
class LeafLatency {
public:
  /// @brief Takes a latency in.
  /// @param sample from dispatch to the end
  /// @param now current time
  void add(Duration sample, TimePoint now);

  /// @brief Expected latency; drifts back to the floor while nothing is
  /// sampled, so that a leaf that was slow is tried again.
  /// @param now current time
  /// @return the latency, a default before the first sample; O(1)
  Duration expected(TimePoint now) const;

  /// @brief Least latency of the last one to two floor spans.
  /// @return the latency, or nothing before the first sample
  std::optional<Duration> floor() const;

private:
  std::optional<double> Smoothed;
  TimePoint LastSample{};
  TimePoint FloorSpanStart{};
  std::optional<Duration> CurrentFloor;
  std::optional<Duration> PreviousFloor;
};

/// @brief Window by additive increase and multiplicative decrease.
///
/// Hosts that see the same sheds, reports and latency settle at windows that
/// together give a leaf about its slots' worth of work and a short queue. Below
/// 1 the window paces: one request at a time, with a pause after each start.
class LeafWindow {
public:
  /// @brief Starts at the initial window.
  /// @param limits what to adapt between
  explicit LeafWindow(LeafWindowLimits limits);

  /// @brief Changes the limits and keeps the window within them.
  /// @param limits the new limits
  void setLimits(LeafWindowLimits limits);

  /// @brief Whether one more request may start.
  /// @param outstanding requests of this host at the leaf
  /// @param scale fraction of the window in use, below 1 while warming up
  /// @param now current time
  /// @return whether it may; O(1)
  bool admits(std::uint32_t outstanding, double scale, TimePoint now) const;

  /// @brief Notes the start of a request.
  /// @param now current time
  void onStart(TimePoint now);

  /// @brief Adapts to the end of a request.
  /// @param result how it ended
  /// @param outstanding requests of this host, this one included
  /// @param now current time
  void onResult(const AttemptResult &result, std::uint32_t outstanding,
                TimePoint now);

  /// @brief Current window in requests; fractional.
  /// @return the window
  double size() const { return Window; }

  /// @brief Latency of the leaf as this host sees it.
  /// @return the estimate
  const LeafLatency &latency() const { return Latency; }

private:
  void decrease(double factor, TimePoint now);
  void increase(std::uint32_t outstanding);
  void adaptToAnswer(const AttemptResult &result, std::uint32_t outstanding,
                     TimePoint now);

  LeafWindowLimits Limits;
  double Window;
  LeafLatency Latency;
  TimePoint LastDecrease{};
  bool HasDecreased = false;
  std::optional<TimePoint> LastStart;
};

} // namespace savorytrestle::core

#endif
