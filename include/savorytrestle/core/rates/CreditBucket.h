#ifndef SAVORYTRESTLE_CORE_RATES_CREDIT_BUCKET_H
#define SAVORYTRESTLE_CORE_RATES_CREDIT_BUCKET_H

/// @file
/// @brief Token bucket whose rate and size change while it is in use.

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Part of a rate limit that one host holds.
///
/// Credit and refundable charges together never exceed the size, and credit
/// grows only at the rate. Buckets whose rates and sizes add up to a limit
/// therefore admit at most rate * window + size in any window, also while
/// parts of the limit move between them.
class CreditBucket {
public:
  /// @brief Sets the rate and the size; credit beyond the size is dropped.
  /// @param rate credit gained a second
  /// @param size most credit
  /// @param now current time. O(1)
  void setRule(double rate, double size, TimePoint now);

  /// @brief Adds credit that another bucket gave up. O(1).
  void add(double credit, TimePoint now);

  /// @brief Takes up to an amount of credit, for another bucket.
  /// @return the amount taken. O(1)
  double take(double most, TimePoint now);

  /// @brief Charges one request if there is credit for it. O(1).
  bool trySpend(TimePoint now);

  /// @brief Returns the credit of a charged request that ran nowhere. Credit
  /// that would have been lost to the size had the request not been charged is
  /// not returned. O(1)
  void refund(TimePoint now);

  /// @brief A charged request has run. O(1).
  void settle();

  /// @brief Credit at a time. O(1).
  double credit(TimePoint now);

  double rate() const { return Rate; }
  double size() const { return Size; }

private:
  void refill(TimePoint now);
  void clip();

  double Rate = 0;
  double Size = 0;
  double Credit = 0;
  /// Charges that may still be refunded.
  double Refundable = 0;
  TimePoint RefilledAt{};
};

} // namespace savorytrestle::core

#endif
