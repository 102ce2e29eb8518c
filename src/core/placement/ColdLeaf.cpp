#include "savorytrestle/core/placement/ColdLeaf.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::core {

namespace {

/// Standard deviations of the number of requests in a second, which is close to
/// a Poisson distribution, between its mean and the bound. At 4, a bound of 20
/// is exceeded in 7 of 100,000 seconds in which all hosts spend all that they
/// have saved up, and in less than one of a billion others.
constexpr double Deviations = 4;
/// Hosts save up a second's chances: at worst two seconds' fall into one.
constexpr double WorstSecond = 2;
/// Part of a host that doesn't know the number of hosts: that of one of this
/// many hosts, more than any deployment has.
constexpr double AssumedHosts = 256;

} // namespace

ColdLeafRule coldLeafRule(Duration warmUp, double perSecond,
                          const ColdBounds &bounds) {
  if (!(perSecond > 0))
    return {};
  return {warmUp, perSecond * bounds.Overage + bounds.Slack};
}

double coldLeafRate(double maxInOneSecond) {
  if (!(maxInOneSecond > 1))
    return 0;
  // The mean m in the worst second with m + Deviations sqrt(m) = bound - 1.
  const double root =
      (std::sqrt(Deviations * Deviations + 4 * (maxInOneSecond - 1)) -
       Deviations) /
      2;
  return root * root / WorstSecond;
}

void ColdLeaf::setRule(const ColdLeafRule &rule, TimePoint now) {
  if (rule == Rule)
    return;
  Rule = rule;
  if (rule.MaxInOneSecond > 0)
    Limit.set(coldLeafRate(rule.MaxInOneSecond), now);
  else
    Limit.set(std::nullopt, now);
}

void ColdLeaf::onStated(TimePoint end) { StatedEnd = std::max(StatedEnd, end); }

void ColdLeaf::onUnknownSince(TimePoint since) {
  UnknownSince = std::max(UnknownSince, since);
}

TimePoint ColdLeaf::end() const {
  if (UnknownSince == TimePoint{})
    return StatedEnd;
  return std::max(StatedEnd, UnknownSince + Rule.WarmUp);
}

bool ColdLeaf::isBound(TimePoint now) const {
  return Limit.limit().has_value() && now < end();
}

double ColdLeaf::sendChance(TimePoint now) const {
  return isBound(now) ? Limit.sendChance(now) : 1;
}

TimePoint ColdLeaf::nextSend(TimePoint now) const {
  return isBound(now) ? std::min(end(), Limit.nextSend(now)) : now;
}

double coldLeafShare(double share, bool knowsHosts) {
  return knowsHosts ? share : std::min(share, 1 / AssumedHosts);
}

} // namespace savorytrestle::core
