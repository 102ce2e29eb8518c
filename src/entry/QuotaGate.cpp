#include "entry/QuotaGate.h"

#include <map>

#include "support/BootClock.h"
#include "support/Log.h"

namespace savorytrestle::entry {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxReportedWorkspaces = 20;

} // namespace

QuotaCharge::~QuotaCharge() {
  if (const auto gate = Gate.lock(); gate && !MayHaveRun)
    gate->book().refund(Workspace);
}

void QuotaGate::setConfig(const core::ServingConfig &config) {
  std::map<std::string, core::RateQuota> limits;
  if (config.Workspaces)
    for (const core::WorkspaceRule &workspace : *config.Workspaces)
      if (workspace.RatePerSecond > 0)
        limits[workspace.Name] = {workspace.RatePerSecond, workspace.Burst};
  HasLimits = !limits.empty();
  Book.setLimits(limits, support::bootTime());
}

QuotaGate::ChargePtr QuotaGate::tryCharge(const std::string &workspace) {
  if (!Book.admit(workspace, draw(), support::bootTime()))
    return nullptr;
  return std::make_shared<QuotaCharge>(weak_from_this(), workspace);
}

milliseconds QuotaGate::refuse(const std::string &workspace,
                               const std::string &requestId) {
  const auto now = support::bootTime();
  const auto wait =
      std::chrono::ceil<milliseconds>(Book.retryAfter(workspace, draw()));
  if (RefusalLog.allowLine(std::chrono::steady_clock::now()))
    support::LogLine("quota_refused")
        .with("request", requestId)
        .with("workspace", workspace)
        .with("admit_share", Book.state(workspace).AdmitShare)
        .with("verdict_age",
              Book.verdictAge(workspace, now).value_or(milliseconds(-1)))
        .with("retry_after", wait);
  return wait;
}

void QuotaGate::writeMetrics(support::Metrics &metrics) const {
  std::map<std::string, double> admitted, refused, share, saved;
  if (HasLimits)
    for (const auto &it : Book.states(MaxReportedWorkspaces)) {
      admitted[it.Workspace] = static_cast<double>(it.Admitted);
      refused[it.Workspace] = static_cast<double>(it.Refused);
      share[it.Workspace] = it.AdmitShare;
      if (it.Saved)
        saved[it.Workspace] = *it.Saved;
    }
  metrics.setWorkspaceGauges("savorytrestle_quota_admitted",
                             "Requests admitted within the workspace's limit.",
                             admitted);
  metrics.setWorkspaceGauges("savorytrestle_quota_refused",
                             "Requests refused over the workspace's limit.",
                             refused);
  metrics.setWorkspaceGauges(
      "savorytrestle_quota_admit_share",
      "Share of requests that the controller lets this host admit.", share);
  metrics.setWorkspaceGauges(
      "savorytrestle_quota_saved",
      "Requests saved up, at the workspace's controller.", saved);
}

} // namespace savorytrestle::entry
