#include "savorytrestle/core/rates/LeafRateLimit.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds UsePeriod{4};
/// Time over which unused whole requests are saved up.
constexpr Seconds SavingTime{1};
/// Lowest rate of all hosts together: without any request nobody would learn
/// that a limit of zero has ended.
constexpr double MinRate = 0.1;

} // namespace

void LeafRateLimit::set(std::optional<double> perSecond, TimePoint now) {
  if (perSecond && !Limit) {
    PeriodStart = now;
    Sent = 0;
    Saved = 0;
    SavedAt = now;
  }
  Saved = savedRequests(now);
  SavedAt = now;
  Limit = perSecond;
}

double LeafRateLimit::ownRate() const {
  return Share * std::max(*Limit, MinRate);
}

bool LeafRateLimit::sendsByLot() const {
  return ownRate() * SavingTime.count() < 1;
}

double LeafRateLimit::capacity() const {
  return sendsByLot() ? std::min(1.0, ownRate() * Seconds(ChanceSaving).count())
                      : ownRate() * SavingTime.count();
}

double LeafRateLimit::savedRequests(TimePoint now) const {
  if (!Limit)
    return 0;
  const double earned = ownRate() * Seconds(now - SavedAt).count();
  return std::min(capacity(), Saved + earned);
}

double LeafRateLimit::sendChance(TimePoint now) const {
  if (!Limit)
    return 1;
  const double saved = savedRequests(now);
  if (sendsByLot())
    return saved;
  return saved < 1 ? 0 : 1;
}

void LeafRateLimit::onSend(TimePoint now) {
  ++Sent;
  if (!Limit)
    return;
  Saved = sendsByLot() ? 0 : std::max(0.0, savedRequests(now) - 1);
  SavedAt = now;
}

void LeafRateLimit::onDrawLost(TimePoint now) {
  if (!Limit || !sendsByLot())
    return;
  Saved = 0;
  SavedAt = now;
}

TimePoint LeafRateLimit::nextSend(TimePoint now) const {
  if (sendChance(now) >= 1)
    return now;
  const double missing = std::min(1.0, capacity()) - savedRequests(now);
  return now + std::chrono::duration_cast<Duration>(
                   Seconds(missing / std::max(ownRate(), 1e-9)));
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
