#include "savorytrestle/core/LeafRateLimit.h"

namespace savorytrestle::core {

namespace {

constexpr std::chrono::seconds UsePeriod{4};

} // namespace

void LeafRateLimit::set(std::optional<double> perSecond, TimePoint now) {
  if (perSecond && !Limit) {
    PeriodStart = now;
    Sent = 0;
  }
  Limit = perSecond;
}

std::optional<RateUse> LeafRateLimit::takeUse(TimePoint now) {
  if (!Limit || now - PeriodStart < UsePeriod)
    return std::nullopt;
  const RateUse use{now - PeriodStart, Sent};
  PeriodStart = now;
  Sent = 0;
  return use;
}

} // namespace savorytrestle::core
