#include "savorytrestle/core/SharedRetryBudget.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Kept unspent, since hosts learn of each other with a delay: part of the
/// allowance that the hosts share out.
constexpr double SharedOut = 0.85;
/// Part that can be saved up; the rest comes back evenly over a window, so that
/// services with few requests can retry too.
constexpr double SavedShare = 0.6;
/// Savings from which on hedges leave a token.
constexpr double KeepFrom = 3;

} // namespace

void SharedRetryBudget::setHosts(double hosts) {
  Part = std::max(1.0, SharedOut * Rule.Extra / std::max(1.0, hosts));
}

void SharedRetryBudget::onRequest() {
  Tokens = std::min(SavedShare * Part, Tokens + Rule.Ratio);
}

bool SharedRetryBudget::take(TimePoint now) {
  refill(now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

bool SharedRetryBudget::takeForHedge(TimePoint now) {
  refill(now);
  const double kept = SavedShare * Part >= KeepFrom ? 1 : 0;
  return Tokens >= 1 + kept && take(now);
}

void SharedRetryBudget::refill(TimePoint now) {
  if (Refilled == TimePoint{})
    Refilled = now;
  const double windows = std::chrono::duration<double>(now - Refilled).count() /
                         std::chrono::duration<double>(Rule.Window).count();
  Refilled = now;
  // Saved tokens and what comes back within a window add up to the part.
  Tokens =
      std::min(SavedShare * Part, Tokens + windows * (1 - SavedShare) * Part);
}

} // namespace savorytrestle::core
