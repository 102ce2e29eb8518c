#include "savorytrestle/core/admission/LoadAdmission.h"

#include <algorithm>
#include <optional>
#include <set>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Time after its last request for which a kind has others give way.
constexpr milliseconds KindLifetime{5000};
/// Part of an urgent objective that may pass in the leaves' queues.
constexpr double UrgentWaitShare = 0.1;
/// Change of the number of ranks held back a second, for each multiple of its
/// limit by which the wait exceeds it, the largest excess that counts, and the
/// longest time between two requests that counts.
constexpr double AdaptPerSecond = 1.5;
constexpr double MaxExcess = 3;
constexpr milliseconds MaxAdaptStep{100};
/// Part of the objective after which a refused caller may come back.
constexpr double RankRetryShare = 0.3;
/// Part of the objective for which a request is held. Callers count a refusal
/// within a quarter as made at once.
constexpr double MaxHoldShare = 0.15;
constexpr milliseconds HoldStep{10};
/// Part of the requests that are sent though they should give way, so that no
/// kind is starved, independently of the number of hosts.
constexpr double LeastAdmittedShare = 0.05;
/// A kind gets a request through at least once in so many objectives.
constexpr int MaxAgeObjectives = 5;

Duration scaled(Duration span, double factor) {
  return std::chrono::duration_cast<Duration>(span * factor);
}

} // namespace

void LoadAdmission::onArrival(const RequestKind &kind, TimePoint now) {
  Seen &known = Services[kind.Service].Kinds[{kind.Rank, kind.Route}];
  if (now - known.LastArrival > KindLifetime)
    known.LastAdmitted = now;
  known.Objective = kind.Objective;
  known.LastArrival = now;
}

void LoadAdmission::adapt(ServiceState &service, Duration wait, TimePoint now) {
  std::optional<int> last;
  double ranks = 0;
  Duration limit = Duration::max();
  for (const auto &[name, kind] : service.Kinds) {
    if (now - kind.LastArrival > KindLifetime)
      continue;
    ranks += last != name.first ? 1 : 0;
    last = name.first;
    limit = std::min(limit, scaled(kind.Objective, UrgentWaitShare));
  }
  const std::chrono::duration<double> passed =
      std::min<Duration>(now - service.Updated, MaxAdaptStep);
  service.Updated = now;
  const double excess =
      static_cast<double>((wait - limit).count()) /
      static_cast<double>(std::max<Duration::rep>(1, limit.count()));
  const double change =
      AdaptPerSecond * std::clamp(excess, -1.0, MaxExcess) * passed.count();
  service.RanksHeldBack =
      std::clamp(service.RanksHeldBack + change, 0.0, std::max(0.0, ranks - 1));
}

double LoadAdmission::admittedShare(const ServiceState &service, int rank,
                                    TimePoint now) {
  std::set<int> lessUrgent;
  for (const auto &[name, kind] : service.Kinds)
    if (name.first > rank && now - kind.LastArrival <= KindLifetime)
      lessUrgent.insert(name.first);
  return std::clamp(1 + static_cast<double>(lessUrgent.size()) -
                        service.RanksHeldBack,
                    LeastAdmittedShare, 1.0);
}

AdmissionVerdict LoadAdmission::decide(const RequestKind &kind,
                                       const Room &room, Duration timeLeft,
                                       Duration held, double draw,
                                       TimePoint now) {
  if (room.Full)
    return {AdmissionStep::Refuse, room.LeastWait, "full"};
  if (room.LeastWait > Duration::zero() &&
      room.LeastWait + kind.Work > timeLeft)
    return {AdmissionStep::Refuse, room.LeastWait + kind.Work - timeLeft,
            "late"};
  ServiceState &service = Services[kind.Service];
  Seen &known = service.Kinds[{kind.Rank, kind.Route}];
  adapt(service, room.LikelyWait.value_or(Duration::zero()), now);
  if (draw < admittedShare(service, kind.Rank, now) ||
      now - known.LastAdmitted > MaxAgeObjectives * kind.Objective) {
    known.LastAdmitted = now;
    return {};
  }
  const Duration holdLeft = scaled(kind.Objective, MaxHoldShare) - held;
  if (holdLeft > Duration::zero())
    return {AdmissionStep::Hold, std::min<Duration>(holdLeft, HoldStep),
            "rank"};
  return {AdmissionStep::Refuse, scaled(kind.Objective, RankRetryShare),
          "rank"};
}

} // namespace savorytrestle::core
