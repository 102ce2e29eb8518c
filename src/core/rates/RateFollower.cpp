#include "savorytrestle/core/rates/RateFollower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorytrestle::core {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/// Time after which a controller that didn't reply is asked again.
constexpr milliseconds RetryInterval{1000};
/// Time after which a verdict says nothing more, beyond the wait that it names.
constexpr milliseconds VerdictLifetime{1500};
/// Time over which the own rate is averaged.
constexpr Seconds OwnRateTime{5};
/// Time for which an isolated host goes on as before. The other hosts may use
/// the whole limit meanwhile, so that its own part has to end.
constexpr milliseconds IsolationGrace{10000};
constexpr double IsolatedShare = 0.25;
/// Shortest and longest spread of the return of refused callers.
constexpr milliseconds MinSpread{200};
constexpr milliseconds MaxWait{10000};

} // namespace

void RateFollower::setControllers(std::vector<std::string> controllers) {
  std::vector<Controller> next;
  for (std::string &id : controllers) {
    const auto it = std::find_if(Controllers.begin(), Controllers.end(),
                                 [&](const auto &old) { return old.Id == id; });
    next.push_back(it == Controllers.end() ? Controller{std::move(id)} : *it);
  }
  Controllers = std::move(next);
}

const std::string &RateFollower::controller(TimePoint now) const {
  static const std::string none;
  for (const Controller &it : Controllers)
    if (it.RetryAt <= now)
      return it.Id;
  return none;
}

bool RateFollower::isolated(TimePoint now) const {
  return Controllers.empty() || SilentSince != TimePoint{} ||
         controller(now).empty();
}

void RateFollower::average(TimePoint now) {
  if (AveragedAt != TimePoint{})
    OwnRate *=
        std::exp(-Seconds(now - AveragedAt).count() / OwnRateTime.count());
  AveragedAt = now;
}

double RateFollower::currentShare(TimePoint now) const {
  return now - VerdictAt > Wait + VerdictLifetime ? 1 : Share;
}

bool RateFollower::admitIsolated(TimePoint now) {
  const bool late =
      SilentSince != TimePoint{} && now - SilentSince > IsolationGrace;
  const double rate = OwnRate * (late ? IsolatedShare : 1);
  const Seconds passed = now - std::exchange(CreditAt, now);
  Credit = std::min(std::max(1.0, rate), Credit + rate * passed.count());
  if (Credit < 1)
    return false;
  Credit -= 1;
  return true;
}

bool RateFollower::admit(double draw, TimePoint now) {
  Unreported.Arrived += 1;
  const bool alone = isolated(now);
  const bool admitted =
      draw < currentShare(now) && (!alone || admitIsolated(now));
  // The rate while isolated is that of before.
  if (!alone) {
    average(now);
    OwnRate += admitted ? 1 / OwnRateTime.count() : 0;
    CreditAt = now;
  }
  Unreported.Admitted += admitted ? 1 : 0;
  return admitted;
}

std::optional<RateReport> RateFollower::takeReport(TimePoint now) {
  if (Unreported.Arrived <= 0 || controller(now).empty())
    return std::nullopt;
  RateReport report;
  report.Arrived = std::exchange(Unreported.Arrived, 0);
  report.Admitted = std::max(0.0, Unreported.Admitted);
  Unreported.Admitted = std::min(0.0, Unreported.Admitted);
  return report;
}

void RateFollower::onVerdict(const std::string &controller,
                             const RateVerdict &verdict, TimePoint now) {
  for (Controller &it : Controllers)
    if (it.Id == controller)
      it.RetryAt = {};
  Share = std::clamp(verdict.AdmitShare, 0.0, 1.0);
  Wait = verdict.Wait;
  VerdictAt = now;
  SilentSince = {};
}

void RateFollower::onNoReply(const std::string &controller,
                             const RateReport &report, TimePoint now) {
  Unreported.Arrived += report.Arrived;
  Unreported.Admitted += report.Admitted;
  for (Controller &it : Controllers)
    if (it.Id == controller)
      it.RetryAt = now + RetryInterval;
  if (this->controller(now).empty() && SilentSince == TimePoint{})
    SilentSince = now;
}

Duration RateFollower::retryAfter(double draw) const {
  const auto wait = std::clamp<Duration>(Wait, MinSpread, MaxWait);
  return wait + std::chrono::duration_cast<Duration>(wait * draw);
}

std::optional<Duration> RateFollower::verdictAge(TimePoint now) const {
  if (VerdictAt == TimePoint{})
    return std::nullopt;
  return now - VerdictAt;
}

} // namespace savorytrestle::core
