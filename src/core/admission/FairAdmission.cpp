#include "savorytrestle/core/admission/FairAdmission.h"

#include <algorithm>
#include <utility>

namespace savorytrestle::core {

namespace {

using Seconds = std::chrono::duration<double>;

/// Estimated time that a search holds its capacity, before the first one has
/// ended.
constexpr double InitialHoldSeconds = 0.05;
/// Weight of the newest hold time in the moving mean.
constexpr double MeanHoldGain = 0.05;
constexpr std::chrono::milliseconds MinRetryAfter{1};

Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

} // namespace

FairAdmission::FairAdmission(AdmissionSettings settings)
    : Settings(settings), MeanHoldSeconds(InitialHoldSeconds) {}

void FairAdmission::setWeights(const std::map<std::string, double> &weights) {
  TotalWeight = 0;
  for (auto &[name, owner] : Workspaces)
    owner.Weight = 1;
  for (const auto &[name, weight] : weights) {
    workspace(name).Weight = weight;
    TotalWeight += weight;
  }
  std::erase_if(Workspaces, [&](const auto &entry) {
    const auto &owner = entry.second;
    return !weights.contains(entry.first) && owner.Running == 0 &&
           owner.Queue.empty();
  });
}

void FairAdmission::setCapacity(std::uint32_t capacity) {
  Settings.Capacity = capacity;
}

FairAdmission::Workspace &FairAdmission::workspace(const std::string &name) {
  const auto [it, added] = Workspaces.try_emplace(name);
  if (added)
    it->second.Name = name;
  return it->second;
}

double FairAdmission::share(const Workspace &owner) const {
  const double total = std::max(TotalWeight, owner.Weight);
  // At least one search: with more workspaces than capacity, the reserve admits
  // the first search of each.
  return std::max(1.0, Settings.Capacity * owner.Weight / total);
}

bool FairAdmission::mayRun(const Workspace &owner) const {
  if (Running >= Settings.Capacity)
    return false;
  if (owner.Running + 1 <= share(owner))
    return true;
  return Running + 1 <= Settings.Capacity * (1 - Settings.ReserveFraction);
}

void FairAdmission::admit(Workspace &owner, AdmissionTicket ticket,
                          TimePoint now) {
  ++Running;
  ++owner.Running;
  Tickets[ticket] = {&owner, now};
}

Duration FairAdmission::estimatedServiceTime(const Workspace &owner,
                                             std::size_t requests) const {
  const double parallel =
      std::max<double>(share(owner), static_cast<double>(owner.Running));
  return fromSeconds(static_cast<double>(requests) * MeanHoldSeconds /
                     parallel);
}

Error FairAdmission::makeRefusal(Workspace &owner, TimePoint now) {
  // Each refused caller gets a later time than the one before, at the rate at
  // which the workspace's queue drains, so that they do not all retry at once.
  owner.BacklogEnd =
      std::max(owner.BacklogEnd,
               now + estimatedServiceTime(owner, owner.Queue.size())) +
      estimatedServiceTime(owner, 1);
  owner.BacklogEnd = std::min(owner.BacklogEnd, now + Settings.MaxRetryAfter);
  const auto after =
      std::chrono::ceil<std::chrono::milliseconds>(owner.BacklogEnd - now);
  return {ErrorCode::Overloaded,
          "workspace " + owner.Name + " is over its share of this host",
          RunState::NotRun, std::max(after, MinRetryAfter)};
}

Result<Admission> FairAdmission::request(const std::string &name,
                                         TimePoint deadline, TimePoint now) {
  auto &owner = workspace(name);
  const auto ticket = NextTicket++;
  if (owner.Queue.empty() && mayRun(owner)) {
    admit(owner, ticket, now);
    return Admission{ticket, false};
  }
  // A search that starts too late to meet its deadline would waste capacity.
  const Duration maxWait = std::min(
      Settings.MaxQueueWait, deadline - now - fromSeconds(MeanHoldSeconds));
  if (estimatedServiceTime(owner, owner.Queue.size() + 1) > maxWait)
    return tl::unexpected<Error>(makeRefusal(owner, now));
  owner.Queue.push_back({ticket, now + maxWait});
  Tickets[ticket] = {&owner, std::nullopt};
  return Admission{ticket, true};
}

std::vector<AdmissionDecision> FairAdmission::finish(AdmissionTicket ticket,
                                                     TimePoint now) {
  const auto it = Tickets.find(ticket);
  if (it == Tickets.end())
    return {};
  const auto [owner, admitted] = it->second;
  Tickets.erase(it);
  if (!admitted) {
    std::erase_if(owner->Queue,
                  [&](const auto &w) { return w.Ticket == ticket; });
    return {};
  }
  --Running;
  --owner->Running;
  MeanHoldSeconds +=
      MeanHoldGain * (Seconds(now - *admitted).count() - MeanHoldSeconds);
  return admitQueued(now);
}

std::vector<AdmissionDecision> FairAdmission::admitQueued(TimePoint now) {
  // Requests past their queue deadline must not take capacity from the others.
  auto decisions = onTimer(now);
  for (;;) {
    Workspace *next = nullptr;
    for (auto &[name, owner] : Workspaces)
      if (!owner.Queue.empty() &&
          (!next || (owner.Running + 1) * next->Weight <
                        (next->Running + 1) * owner.Weight))
        next = &owner;
    // If any queued workspace is below its share, this one is.
    if (!next || !mayRun(*next))
      return decisions;
    const auto ticket = next->Queue.front().Ticket;
    next->Queue.pop_front();
    admit(*next, ticket, now);
    decisions.push_back({ticket, std::nullopt});
  }
}

std::vector<AdmissionDecision> FairAdmission::onTimer(TimePoint now) {
  std::vector<AdmissionDecision> decisions;
  for (auto &[name, owner] : Workspaces) {
    std::vector<AdmissionTicket> expired;
    std::erase_if(owner.Queue, [&](const auto &w) {
      if (w.QueueDeadline > now)
        return false;
      expired.push_back(w.Ticket);
      return true;
    });
    for (const auto ticket : expired) {
      Tickets.erase(ticket);
      decisions.push_back({ticket, makeRefusal(owner, now)});
    }
  }
  return decisions;
}

std::optional<TimePoint> FairAdmission::nextTimer() const {
  std::optional<TimePoint> next;
  for (const auto &[name, owner] : Workspaces)
    for (const auto &queued : owner.Queue)
      next =
          std::min(next.value_or(queued.QueueDeadline), queued.QueueDeadline);
  return next;
}

} // namespace savorytrestle::core
