#include "savorytrestle/core/admission/LoadAdmission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
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
constexpr milliseconds MaxAdaptStep{300};
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

/// Objective from which a kind is patient.
constexpr milliseconds PatientObjective{1000};
/// Least part of a workspace's requests that is admitted, as a part of that of
/// all requests. Callers count a quarter; hosts differ in what they admit.
constexpr double LeastWorkspaceShare = 0.35;
constexpr milliseconds CountDecayTime{10000};
constexpr std::size_t MaxWorkspaces = 1024;

Duration scaled(Duration span, double factor) {
  return std::chrono::duration_cast<Duration>(span * factor);
}

} // namespace

void LoadAdmission::onArrival(const RequestKind &kind, TimePoint now) {
  Seen &known = Services[kind.Service].Kinds[{orderOf(kind), kind.Route}];
  if (now - known.LastArrival > KindLifetime)
    known.LastAdmitted = now;
  known.Objective = kind.Objective;
  known.LastArrival = now;
  for (Counts *counts : {&All, &Workspaces[kind.Workspace]}) {
    counts->decay(now);
    counts->Arrived += 1;
  }
  // Workspaces that have been removed leave their counts.
  if (Workspaces.size() > MaxWorkspaces)
    std::erase_if(Workspaces, [&](const auto &entry) {
      return now - entry.second.Updated > 2 * CountDecayTime;
    });
}

LoadAdmission::Order LoadAdmission::orderOf(const RequestKind &kind) {
  return {kind.Rank, kind.Objective >= PatientObjective};
}

void LoadAdmission::Counts::decay(TimePoint now) {
  const double passed = std::chrono::duration<double>(now - Updated).count() /
                        std::chrono::duration<double>(CountDecayTime).count();
  const double factor = Updated == TimePoint{} ? 0 : std::exp(-passed);
  Arrived *= factor;
  Admitted *= factor;
  Updated = now;
}

bool LoadAdmission::isStarved(const std::string &workspace, TimePoint now) {
  if (workspace.empty())
    return false;
  Counts &own = Workspaces[workspace];
  own.decay(now);
  All.decay(now);
  return own.Admitted * All.Arrived <
         LeastWorkspaceShare * All.Admitted * own.Arrived;
}

void LoadAdmission::adapt(ServiceState &service, Duration wait, TimePoint now) {
  // The objectives of the least urgent kinds don't count: they give way to none
  // that is less urgent.
  std::map<Order, Duration> limits;
  for (const auto &[name, kind] : service.Kinds) {
    if (now - kind.LastArrival > KindLifetime)
      continue;
    const Duration own = scaled(kind.Objective, UrgentWaitShare);
    const auto [it, added] = limits.emplace(name.first, own);
    it->second = std::min(it->second, own);
  }
  Duration limit = Duration::max();
  for (auto it = limits.begin();
       it != limits.end() && std::next(it) != limits.end(); ++it)
    limit = std::min(limit, it->second);
  const auto ranks = static_cast<double>(limits.size());
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

double LoadAdmission::admittedShare(const ServiceState &service,
                                    const Order &order, TimePoint now) {
  std::set<Order> lessUrgent;
  for (const auto &[name, kind] : service.Kinds)
    if (name.first > order && now - kind.LastArrival <= KindLifetime)
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
  Seen &known = service.Kinds[{orderOf(kind), kind.Route}];
  adapt(service, room.LikelyWait.value_or(Duration::zero()), now);
  if (isStarved(kind.Workspace, now) ||
      draw < admittedShare(service, orderOf(kind), now) ||
      now - known.LastAdmitted > MaxAgeObjectives * kind.Objective) {
    known.LastAdmitted = now;
    All.Admitted += 1;
    Workspaces[kind.Workspace].Admitted += 1;
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
