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

/// Part of the allowance for hosts near the leaves; the others need some for
/// what no near host has taken from them.
constexpr double NearPart = 0.85;

} // namespace

double effectiveHostCount(bool isNear, std::size_t near, std::size_t all) {
  if (near == 0 || near >= all)
    return static_cast<double>(all);
  return isNear ? static_cast<double>(near) / NearPart
                : static_cast<double>(all - near) / (1 - NearPart);
}

void SharedRetryBudget::setRule(const RetryBudgetRule &rule) {
  Rule = rule;
  setHostCount(HostCount);
}

void SharedRetryBudget::setHostCount(double hosts) {
  HostCount = std::max(1.0, hosts);
  HostAllowance = std::max(1.0, SharedOut * Rule.ExtraPerWindow / HostCount);
  Tokens = std::min(Tokens, std::max(1.0, SavedShare * HostAllowance));
}

void SharedRetryBudget::fill() {
  Tokens = std::max(1.0, SavedShare * HostAllowance);
}

void SharedRetryBudget::onRequest() {
  Tokens = std::min(SavedShare * HostAllowance, Tokens + Rule.Ratio);
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
  Tokens = std::min(SavedShare * HostAllowance,
                    Tokens + windows * (1 - SavedShare) * HostAllowance);
}

} // namespace savorytrestle::core
