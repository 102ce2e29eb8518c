#ifndef SAVORYTRESTLE_CORE_LEAF_WINDOW_H
#define SAVORYTRESTLE_CORE_LEAF_WINDOW_H

/// @file
/// @brief Adaptive limit on the requests that one host keeps outstanding at one
/// leaf.

#include <cstdint>
#include <optional>

#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Bounds and targets of a window.
struct LeafWindowLimits {
  /// Requests of all hosts that the leaf executes concurrently.
  double Slots = 1;
  /// Requests of all hosts that may wait at the leaf.
  double QueueTarget = 1;
  /// Window of this host at its start; may be below 1.
  double Initial = 1;
  /// Largest window of this host: its connection share.
  double Max = 1;
};

/// @brief Smoothed latency of a leaf and its floor, the recent minimum.
class LeafLatency {
public:
  /// @brief Adds a sample.
  /// @param sample time from dispatch to the end
  /// @param now current time
  void add(Duration sample, TimePoint now);

  /// @brief Expected latency. Decays to the floor while there are no samples,
  /// so that a leaf that was slow is tried again.
  /// @param now current time
  /// @return the latency; a default before the first sample; O(1)
  Duration expected(TimePoint now) const;

  /// @brief Least latency of the current and the previous measuring span.
  /// @return the latency, or nothing before the first sample
  std::optional<Duration> floor() const;

private:
  std::optional<double> Smoothed;
  TimePoint LastSample{};
  TimePoint FloorSpanStart{};
  std::optional<Duration> CurrentFloor;
  std::optional<Duration> PreviousFloor;
};

/// @brief Window with additive increase and multiplicative decrease.
///
/// Hosts that see the same shed requests, load reports and latencies converge
/// to windows that together keep the leaf's slots busy and its queue short. A
/// window below 1 paces requests: one at a time, with a pause after each start.
class LeafWindow {
public:
  /// @brief Starts at the initial window.
  /// @param limits bounds and targets
  explicit LeafWindow(LeafWindowLimits limits);

  /// @brief Changes the limits and clamps the window to them.
  /// @param limits the new limits
  void setLimits(LeafWindowLimits limits);

  /// @brief Whether one more request may start.
  /// @param outstanding outstanding requests of this host at the leaf
  /// @param scale fraction of the window that applies; below 1 during warm-up
  /// @param now current time
  /// @return true if it may; O(1)
  bool admits(std::uint32_t outstanding, double scale, TimePoint now) const;

  /// @brief Records the start of a request.
  /// @param now current time
  void onStart(TimePoint now);

  /// @brief Adapts the window to the result of a request.
  /// @param result how it ended
  /// @param outstanding outstanding requests of this host, including this one
  /// @param now current time
  void onResult(const AttemptResult &result, std::uint32_t outstanding,
                TimePoint now);

  /// @brief Current window.
  /// @return number of requests; fractional
  double size() const { return Window; }

  /// @brief Latency of the leaf as measured by this host.
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
