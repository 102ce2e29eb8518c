#include "savorytrestle/core/rates/RateBook.h"

#include <algorithm>
#include <utility>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Part of the overage that the floors of all hosts share. The rest covers
/// requests that reach leaves closer together than they were charged.
constexpr double FloorPart = 0.5;
/// Part of the slack that is lent as bucket size, so that a workspace with a
/// burst below one request can have whole requests at several hosts.
constexpr double LentSlackPart = 0.5;
/// The floor is divided by a quarter more than the known hosts, and one more at
/// least, so that hosts which haven't read of new ones spend no more than the
/// whole together with them.
constexpr double FloorHostMargin = 0.25;
/// After its start a host doesn't know all others yet.
constexpr milliseconds FloorDelay{5000};
/// The entries of a fleet that starts arrive within this time, before callers.
constexpr milliseconds FleetStartTime{15000};
constexpr milliseconds FleetSettleTime{1000};

constexpr Duration LeaseEnd = RateLease + 2 * RateLeaseMargin;

} // namespace

RateBook::RateBook(std::string self, const RateBound &bound, TimePoint now)
    : Self(std::move(self)), Bound(bound), StartedAt(now) {}

RateBook::Workspace *RateBook::find(std::string_view name) {
  const auto it = Workspaces.find(name);
  return it == Workspaces.end() ? nullptr : &it->second;
}

const RateBook::Workspace *RateBook::find(std::string_view name) const {
  const auto it = Workspaces.find(name);
  return it == Workspaces.end() ? nullptr : &it->second;
}

void RateBook::setLimits(const std::map<std::string, RateQuota> &limits,
                         TimePoint now) {
  std::erase_if(Workspaces,
                [&](const auto &it) { return limits.count(it.first) == 0; });
  for (const auto &[name, limit] : limits) {
    const RateQuota quota{limit.Rate, limit.Size + LentSlackPart * Bound.Slack};
    const auto [it, isNew] = Workspaces.try_emplace(name);
    Workspace &workspace = it->second;
    workspace.Quota = quota;
    workspace.Lent.setQuota(quota, now);
    workspace.Borrowed.setQuota(quota, now);
    if (isNew) {
      // Nothing can have been sent yet under a limit that a later
      // configuration brings, or at the start of the fleet.
      if (HasLimits || StartedWithFleet)
        workspace.Lent.fillOnFirstUse();
      applyHosts(name, workspace,
                 std::max<Duration>(ListSettledAt - now, Duration::zero()),
                 now);
    }
    updateFloor(workspace, now);
  }
  HasLimits = HasLimits || !limits.empty();
}

void RateBook::setHosts(const std::vector<std::string> &hosts,
                        std::size_t known, LenderStart start, TimePoint now) {
  std::vector<std::string> sorted = hosts;
  std::sort(sorted.begin(), sorted.end());
  const bool isFirst = !std::exchange(HostsKnown, true);
  if (KnownHosts != known) {
    KnownHosts = std::max(KnownHosts, known);
    for (auto &[name, workspace] : Workspaces)
      updateFloor(workspace, now);
  }
  if (sorted == Hosts)
    return;
  if (isFirst && start == LenderStart::Fleet) {
    StartedWithFleet = true;
    for (auto &[name, workspace] : Workspaces)
      workspace.Lent.fillOnFirstUse();
  }
  // A lender that has left could not lend by its last confirmation any more,
  // but others may not have read yet of a host that joined.
  const bool joined = isFirst ? start == LenderStart::Join
                              : !std::includes(Hosts.begin(), Hosts.end(),
                                               sorted.begin(), sorted.end());
  Duration wait = joined ? LeaseEnd + MaxConfirmationAge : LeaseEnd;
  if (StartedWithFleet && now - StartedAt < FleetStartTime)
    wait = FleetSettleTime;
  Hosts = std::move(sorted);
  ListSettledAt = std::max(ListSettledAt, now + wait);
  for (auto &[name, workspace] : Workspaces)
    applyHosts(name, workspace, wait, now);
}

void RateBook::applyHosts(const std::string &name, Workspace &it, Duration wait,
                          TimePoint now) {
  it.Lenders = chooseLenders(name, Hosts);
  const auto rank = std::find(it.Lenders.begin(), it.Lenders.end(), Self) -
                    it.Lenders.begin();
  it.Lent.setOwned(
      lenderShare(static_cast<std::size_t>(rank), it.Lenders.size()), wait,
      now);
  it.Borrowed.setLenders(it.Lenders);
}

void RateBook::updateFloor(Workspace &it, TimePoint now) {
  const auto known = static_cast<double>(std::max<std::size_t>(1, KnownHosts));
  const double hosts = known + std::max(1.0, FloorHostMargin * known);
  it.Borrowed.setFloor(FloorInUse ? FloorPart * Bound.Overage / hosts : 0, now);
}

bool RateBook::limited(std::string_view workspace) const {
  return find(workspace) != nullptr;
}

CreditSource RateBook::spend(Workspace &it, double draw, TimePoint now) {
  if (!FloorInUse && KnownHosts > 0 && now - StartedAt >= FloorDelay) {
    FloorInUse = true;
    for (auto &[name, workspace] : Workspaces)
      updateFloor(workspace, now);
  }
  const CreditSource source = it.Borrowed.trySpend(draw, now);
  it.Admitted += source != CreditSource::None ? 1 : 0;
  return source;
}

CreditSource RateBook::charge(const std::string &workspace, double draw,
                              TimePoint now) {
  Workspace *const it = find(workspace);
  if (it == nullptr)
    return CreditSource::None;
  it->Borrowed.onArrival(now);
  return spend(*it, draw, now);
}

CreditSource RateBook::chargeWaiting(const std::string &workspace, double draw,
                                     TimePoint now) {
  Workspace *const it = find(workspace);
  return it ? spend(*it, draw, now) : CreditSource::None;
}

void RateBook::refund(const std::string &workspace, CreditSource source,
                      TimePoint now) {
  if (Workspace *const it = find(workspace))
    it->Borrowed.refund(source, now);
}

void RateBook::settle(const std::string &workspace, CreditSource source) {
  if (Workspace *const it = find(workspace))
    it->Borrowed.settle(source);
}

bool RateBook::expectsGrant(const std::string &workspace) const {
  const Workspace *const it = find(workspace);
  return it != nullptr && it->Borrowed.expectsGrant();
}

void RateBook::setWaiting(const std::string &workspace, std::size_t waiting) {
  if (Workspace *const it = find(workspace))
    it->Waiting = waiting;
}

Duration RateBook::refuse(const std::string &workspace, TimePoint now) {
  Workspace *const it = find(workspace);
  if (it == nullptr)
    return Duration::zero();
  ++(it->Borrowed.hasGrant(now) ? it->RefusedNoCredit : it->RefusedNoGrant);
  return it->Borrowed.retryAfter(now);
}

std::map<std::string, RateAsks> RateBook::takeDue(TimePoint now) {
  std::map<std::string, RateAsks> messages;
  for (auto &[name, workspace] : Workspaces)
    for (auto &[lender, ask] :
         workspace.Borrowed.takeDue(workspace.Waiting, now)) {
      ask.Workspace = name;
      messages[lender].Asks.push_back(std::move(ask));
    }
  for (auto &[lender, message] : messages) {
    LastSequence =
        std::max(LastSequence + 1,
                 static_cast<std::uint64_t>(now.time_since_epoch().count()));
    message.Borrower = Self;
    message.Sequence = LastSequence;
    Sent &sent = InFlight[LastSequence];
    sent = {lender, now, {}};
    for (const RateAsk &ask : message.Asks)
      sent.Workspaces.push_back(ask.Workspace);
  }
  if (const auto own = messages.find(Self); own != messages.end()) {
    const RateAsks message = std::move(own->second);
    messages.erase(own);
    const auto grants = lend(message, now);
    onReply(message.Sequence, &grants, now);
  }
  return messages;
}

void RateBook::onReply(std::uint64_t sequence,
                       const std::vector<RateGrant> *grants, TimePoint now) {
  const auto it = InFlight.find(sequence);
  if (it == InFlight.end())
    return;
  const Sent sent = std::move(it->second);
  InFlight.erase(it);
  for (const std::string &name : sent.Workspaces) {
    Workspace *const workspace = find(name);
    if (workspace == nullptr)
      continue;
    const RateGrant *found = nullptr;
    if (grants != nullptr)
      for (const RateGrant &grant : *grants)
        if (grant.Workspace == name)
          found = &grant;
    if (found != nullptr)
      workspace->Borrowed.onGrant(sent.Lender, *found, sent.At, now);
    else
      workspace->Borrowed.onNoReply(sent.Lender, now);
  }
}

std::vector<RateGrant> RateBook::lend(const RateAsks &asks, TimePoint now) {
  std::vector<RateGrant> grants;
  for (const RateAsk &ask : asks.Asks)
    if (Workspace *const it = find(ask.Workspace))
      grants.push_back(it->Lent.grant(asks.Borrower, asks.Sequence, ask,
                                      now < LendUntil, now));
  return grants;
}

RateReport RateBook::report(const std::string &workspace, TimePoint now) {
  RateReport report{workspace};
  if (Workspace *const it = find(workspace)) {
    report.Admitted = it->Admitted;
    report.RefusedNoGrant = it->RefusedNoGrant;
    report.RefusedNoCredit = it->RefusedNoCredit;
    report.Credit = it->Borrowed.credit(now);
    report.Held = it->Borrowed.heldRate();
    report.Lent = it->Lent.lent(now);
  }
  return report;
}

std::vector<RateReport> RateBook::reports(std::size_t most, TimePoint now) {
  std::vector<RateReport> all;
  for (const auto &[name, workspace] : Workspaces)
    all.push_back(report(name, now));
  const auto rank = [](const RateReport &it) {
    return std::pair(it.RefusedNoGrant + it.RefusedNoCredit, it.Admitted);
  };
  std::sort(all.begin(), all.end(),
            [&](const auto &a, const auto &b) { return rank(a) > rank(b); });
  if (all.size() > most)
    all.resize(most);
  return all;
}

std::optional<Duration> RateBook::grantAge(const std::string &workspace,
                                           TimePoint now) const {
  const Workspace *const it = find(workspace);
  return it ? it->Borrowed.grantAge(now) : std::nullopt;
}

} // namespace savorytrestle::core
