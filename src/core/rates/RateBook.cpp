#include "savorytrestle/core/rates/RateBook.h"

#include <algorithm>
#include <utility>

namespace savorytrestle::core {

namespace {

/// Part of the bound's slack that workspaces may use as a burst, so that one
/// with a limit below a request a second is served.
constexpr double SlackPart = 0.5;
/// Part of the limit that a host gives out which stands in for the preferred
/// controller: that one may only be cut off from some hosts.
constexpr double StandInShare = 0.7;

} // namespace

RateBook::RateBook(std::string self, const RateBound &bound)
    : Self(std::move(self)), Bound(bound) {}

void RateBook::setLimits(const std::map<std::string, RateQuota> &limits,
                         TimePoint now) {
  std::erase_if(Workspaces,
                [&](const auto &it) { return limits.count(it.first) == 0; });
  for (const auto &[name, quota] : limits) {
    const auto [it, isNew] = Workspaces.try_emplace(name);
    it->second.Quota = quota;
    it->second.Controller.setQuota(quota, SlackPart * Bound.Slack, now);
    if (isNew) {
      applyHosts(name, it->second, now);
      if (FleetStart)
        it->second.Controller.fill();
    }
  }
}

void RateBook::setHosts(const std::vector<std::string> &hosts,
                        bool isFleetStart, TimePoint now) {
  FleetStart = isFleetStart;
  if (hosts == Hosts)
    return;
  Hosts = hosts;
  for (auto &[name, workspace] : Workspaces)
    applyHosts(name, workspace, now);
}

void RateBook::applyHosts(const std::string &name, Workspace &workspace,
                          TimePoint now) {
  auto controllers = chooseControllers(name, Hosts);
  const auto rank = std::find(controllers.begin(), controllers.end(), Self) -
                    controllers.begin();
  const bool controls = static_cast<std::size_t>(rank) < controllers.size();
  if (controls)
    workspace.Controller.setShare(rank == 0 ? 1 : StandInShare, now);
  if (controls && !workspace.Controls && FleetStart)
    workspace.Controller.fill();
  workspace.Controls = controls;
  workspace.Follower.setControllers(std::move(controllers));
}

bool RateBook::limited(std::string_view workspace) const {
  return Workspaces.find(workspace) != Workspaces.end();
}

bool RateBook::admit(std::string_view workspace, double draw, TimePoint now) {
  Workspace &it = Workspaces.find(workspace)->second;
  const bool admitted = it.Follower.admit(draw, now);
  ++(admitted ? it.Admitted : it.Refused);
  return admitted;
}

void RateBook::refund(std::string_view workspace) {
  if (const auto it = Workspaces.find(workspace); it != Workspaces.end())
    it->second.Follower.refund();
}

Duration RateBook::retryAfter(std::string_view workspace, double draw) const {
  return Workspaces.find(workspace)->second.Follower.retryAfter(draw);
}

std::vector<RateReports> RateBook::takeReports(TimePoint now) {
  std::map<std::string, std::vector<RateReport>> due;
  for (auto &[name, workspace] : Workspaces)
    if (auto report = workspace.Follower.takeReport(now)) {
      report->Workspace = name;
      const std::string &controller = workspace.Follower.controller(now);
      if (controller == Self)
        workspace.Follower.onVerdict(
            Self, workspace.Controller.record(*report, now), now);
      else
        due[controller].push_back(std::move(*report));
    }
  std::vector<RateReports> messages;
  messages.reserve(due.size());
  for (auto &[controller, reports] : due)
    messages.push_back({controller, std::move(reports)});
  return messages;
}

std::vector<RateVerdict>
RateBook::record(const std::vector<RateReport> &reports, TimePoint now) {
  std::vector<RateVerdict> verdicts;
  for (const RateReport &report : reports)
    if (const auto it = Workspaces.find(report.Workspace);
        it != Workspaces.end())
      verdicts.push_back(it->second.Controller.record(report, now));
  return verdicts;
}

void RateBook::onReply(const RateReports &sent,
                       const std::vector<RateVerdict> *verdicts,
                       TimePoint now) {
  for (const RateReport &report : sent.Reports) {
    const auto workspace = Workspaces.find(report.Workspace);
    if (workspace == Workspaces.end())
      continue;
    RateFollower &follower = workspace->second.Follower;
    const RateVerdict *found = nullptr;
    if (verdicts != nullptr)
      for (const RateVerdict &it : *verdicts)
        if (it.Workspace == report.Workspace)
          found = &it;
    if (found != nullptr)
      follower.onVerdict(sent.Controller, *found, now);
    else
      follower.onNoReply(sent.Controller, report, now);
  }
}

std::vector<RateVerdict> RateBook::takeNotices(TimePoint now) {
  std::vector<RateVerdict> notices;
  for (auto &[name, workspace] : Workspaces)
    if (workspace.Controls)
      if (auto notice = workspace.Controller.takeNotice(now)) {
        notice->Workspace = name;
        notices.push_back(std::move(*notice));
      }
  return notices;
}

void RateBook::onNotices(const std::string &controller,
                         const std::vector<RateVerdict> &verdicts,
                         TimePoint now) {
  for (const RateVerdict &it : verdicts)
    if (const auto workspace = Workspaces.find(it.Workspace);
        workspace != Workspaces.end() &&
        workspace->second.Follower.controller(now) == controller)
      workspace->second.Follower.onVerdict(controller, it, now);
}

RateState RateBook::state(std::string_view workspace) const {
  const auto &[name, it] = *Workspaces.find(workspace);
  RateState state{name, it.Admitted, it.Refused, it.Follower.admitShare(), {}};
  if (it.Controls)
    state.Saved = it.Controller.saved();
  return state;
}

std::vector<RateState> RateBook::states(std::size_t most) const {
  std::vector<RateState> all;
  for (const auto &[name, workspace] : Workspaces)
    all.push_back(state(name));
  std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return std::pair(a.Refused, a.Admitted) > std::pair(b.Refused, b.Admitted);
  });
  if (all.size() > most)
    all.resize(most);
  return all;
}

std::optional<Duration> RateBook::verdictAge(std::string_view workspace,
                                             TimePoint now) const {
  const auto it = Workspaces.find(workspace);
  return it == Workspaces.end() ? std::nullopt
                                : it->second.Follower.verdictAge(now);
}

} // namespace savorytrestle::core
