#include "savorytrestle/core/SharedRetryBudget.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Kept unspent, since hosts learn of each other with a delay: part of the
/// allowance that the hosts share out.
constexpr double DistributedFraction = 0.85;
/// Part that can be saved up; the rest comes back evenly over a window, so that
/// services with few requests can retry too.
constexpr double BurstFraction = 0.6;

/// Part of the allowance for hosts near the leaves; the others need some for
/// what no near host has taken from them.
constexpr double NearHostsFraction = 0.85;

} // namespace

double effectiveHostCount(bool isNear, std::size_t near, std::size_t all) {
  if (near == 0 || near >= all)
    return static_cast<double>(all);
  return isNear ? static_cast<double>(near) / NearHostsFraction
                : static_cast<double>(all - near) / (1 - NearHostsFraction);
}

void SharedRetryBudget::setRule(const RetryBudgetRule &rule) {
  Rule = rule;
  setHostCount(HostCount);
}

void SharedRetryBudget::setHostCount(double hosts) {
  HostCount = std::max(1.0, hosts);
  HostAllowance =
      std::max(1.0, DistributedFraction * Rule.ExtraPerWindow / HostCount);
  Tokens = std::min(Tokens, std::max(1.0, BurstFraction * HostAllowance));
}

void SharedRetryBudget::fill() {
  Tokens = std::max(1.0, BurstFraction * HostAllowance);
}

void SharedRetryBudget::onRequest() {
  Tokens = std::min(BurstFraction * HostAllowance, Tokens + Rule.Ratio);
}

bool SharedRetryBudget::trySpend(TimePoint now) {
  refill(now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void SharedRetryBudget::refill(TimePoint now) {
  if (RefilledAt == TimePoint{})
    RefilledAt = now;
  const double windows =
      std::chrono::duration<double>(now - RefilledAt).count() /
      std::chrono::duration<double>(Rule.Window).count();
  RefilledAt = now;
  // Saved tokens and what comes back within a window add up to the part.
  Tokens = std::min(BurstFraction * HostAllowance,
                    Tokens + windows * (1 - BurstFraction) * HostAllowance);
}

} // namespace savorytrestle::core
