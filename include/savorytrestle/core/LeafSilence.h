#ifndef SAVORYTRESTLE_CORE_LEAF_SILENCE_H
#define SAVORYTRESTLE_CORE_LEAF_SILENCE_H

/// @file
/// @brief Honours a leaf's Retry-After: an overloaded leaf gets no requests
/// until the time is over, and then one at first.

#include <optional>
#include <string_view>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Parses a Retry-After header in seconds, fractions allowed.
/// @param text value of the header
/// @return the time, bounded to ten minutes; nothing if the value is negative
/// or not a number, as an HTTP date is
std::optional<Duration> parseRetryAfter(std::string_view text);

/// @brief Time in which one leaf wants no requests from this host.
class LeafSilence {
public:
  /// @brief Starts or extends the silence. O(1).
  /// @param now current time
  /// @param wait the time that the leaf asked for
  /// @param draw uniform random number in [0, 1); spreads the end, so that the
  /// hosts don't all return at once
  void onRetryAfter(TimePoint now, Duration wait, double draw);

  /// @brief Whether a request may be sent now: no silence, or it is over and
  /// no other request is testing the leaf. O(1).
  bool allowsRequest(TimePoint now) const;

  /// @brief Records that a request is sent. O(1).
  /// @return whether it is the one that tests the leaf after a silence
  bool onSend();

  /// @brief Records that the test got an answer that asks for no further
  /// silence: requests may be sent again. O(1).
  void onTestAnswered();

  /// @brief Records that the test ended without an answer: another request may
  /// test the leaf. O(1).
  void onTestLost() { TestPending = false; }

  /// @brief End of the silence; TimePoint{} if there is none.
  TimePoint end() const { return End; }

private:
  TimePoint End{};
  bool TestPending = false;
};

} // namespace savorytrestle::core

#endif
