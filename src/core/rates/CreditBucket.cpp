#include "savorytrestle/core/rates/CreditBucket.h"

#include <algorithm>

namespace savorytrestle::core {

void CreditBucket::clip() {
  Credit = std::clamp(Credit, 0.0, std::max(0.0, Size));
  // Without this, requests charged before a window and refunded within it
  // would be admitted in addition to a bucket that has filled up meanwhile.
  Refundable = std::min(Refundable, std::max(0.0, Size) - Credit);
}

void CreditBucket::refill(TimePoint now) {
  if (now > RefilledAt) {
    if (RefilledAt != TimePoint{})
      Credit += std::max(0.0, Rate) *
                std::chrono::duration<double>(now - RefilledAt).count();
    RefilledAt = now;
  }
  clip();
}

void CreditBucket::setRule(double rate, double size, TimePoint now) {
  refill(now);
  Rate = rate;
  Size = size;
  clip();
}

void CreditBucket::add(double credit, TimePoint now) {
  refill(now);
  Credit += credit;
  clip();
}

double CreditBucket::take(double most, TimePoint now) {
  refill(now);
  const double taken = std::clamp(most, 0.0, Credit);
  Credit -= taken;
  return taken;
}

bool CreditBucket::trySpend(TimePoint now) {
  refill(now);
  if (Credit < 1)
    return false;
  Credit -= 1;
  Refundable += 1;
  return true;
}

void CreditBucket::refund(TimePoint now) {
  refill(now);
  const double returned = std::min(1.0, Refundable);
  Refundable -= returned;
  Credit += returned;
}

void CreditBucket::settle() { Refundable = std::max(0.0, Refundable - 1); }

double CreditBucket::credit(TimePoint now) {
  refill(now);
  return Credit;
}

} // namespace savorytrestle::core
