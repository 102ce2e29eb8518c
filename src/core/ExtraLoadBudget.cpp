#include "savorytrestle/core/ExtraLoadBudget.h"

#include <algorithm>

namespace savorytrestle::core {

ExtraLoadBudget::ExtraLoadBudget(double fraction, double burst)
    : Fraction(std::clamp(fraction, 0.0, 1.0)), Burst(burst),
      Tokens(Fraction > 0 ? std::min(burst, InitialTokens) : 0),
      UnearnedTokens(Tokens) {}

void ExtraLoadBudget::onFirstAttempt() {
  const double earnedBack = std::min(UnearnedTokens, Fraction);
  UnearnedTokens -= earnedBack;
  Tokens = std::min(Burst, Tokens + (Fraction - earnedBack));
}

void ExtraLoadBudget::onShed() {
  // Halving empties a full bucket within a few sheds. The whole token removed
  // beyond that exceeds what first attempts add once sheds are as frequent as
  // the fraction.
  Tokens = std::max(0.0, Tokens / 2 - 1);
}

bool ExtraLoadBudget::allows(std::uint32_t count) const {
  return Tokens >= count;
}

bool ExtraLoadBudget::trySpend(std::uint32_t count) {
  if (!allows(count))
    return false;
  Tokens -= count;
  return true;
}

void ExtraLoadBudget::setFraction(double fraction) {
  Fraction = std::clamp(fraction, 0.0, 1.0);
}

void ExtraLoadBudget::raiseBurstFor(std::uint32_t shards) {
  Burst = std::max(Burst, 2.0 * shards);
}

} // namespace savorytrestle::core
