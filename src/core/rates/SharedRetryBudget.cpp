#include "savorytrestle/core/rates/SharedRetryBudget.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Fraction of the allowance that is divided among the hosts. The rest is not
/// used, since hosts detect each other with a delay.
constexpr double DistributedFraction = 0.85;
/// Fraction of a host's allowance that can be saved up. The rest is added
/// evenly over a window, so that services with few requests can retry too.
constexpr double BurstFraction = 0.6;

/// Fraction of the allowance for hosts near the leaves. The other hosts need
/// the rest for requests that no near host relays for them.
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

bool SharedRetryBudget::canSpend(TimePoint now) {
  refill(now);
  return Tokens >= 1;
}

bool SharedRetryBudget::trySpend(TimePoint now) {
  if (!canSpend(now))
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
  // Saved tokens and those added within a window add up to the allowance.
  Tokens = std::min(BurstFraction * HostAllowance,
                    Tokens + windows * (1 - BurstFraction) * HostAllowance);
}

} // namespace savorytrestle::core
