#include "entry/QuotaGate.h"

#include <algorithm>

#include "support/BootClock.h"
#include "support/Log.h"

namespace savorytrestle::entry {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Credit gathers while requests wait, also without a grant.
constexpr milliseconds ServeInterval{10};
/// More requests than a grant covers within the longest wait.
constexpr std::size_t MaxWaiting = 256;
constexpr std::size_t MaxReports = 20;

} // namespace

QuotaCharge::~QuotaCharge() {
  const auto gate = Gate.lock();
  if (!gate)
    return;
  if (MayHaveRun)
    gate->book().settle(Workspace, Source);
  else
    gate->book().refund(Workspace, Source, support::bootTime());
}

QuotaGate::QuotaGate(boost::asio::io_context &io, std::string ownId,
                     const core::RateBound &bound)
    : Timer(io), Book(std::move(ownId), bound, support::bootTime()) {}

void QuotaGate::setConfig(const core::ServingConfig &config) {
  std::map<std::string, core::RateQuota> limits;
  if (config.Workspaces)
    for (const core::WorkspaceRule &workspace : *config.Workspaces)
      if (workspace.RatePerSecond > 0)
        limits[workspace.Name] = {workspace.RatePerSecond, workspace.Burst};
  HasLimits = !limits.empty();
  Book.setLimits(limits, support::bootTime());
}

QuotaGate::ChargePtr QuotaGate::makeCharge(const std::string &workspace,
                                           core::CreditSource source) {
  if (source == core::CreditSource::None)
    return nullptr;
  return std::make_shared<QuotaCharge>(weak_from_this(), workspace, source);
}

QuotaGate::ChargePtr QuotaGate::tryCharge(const std::string &workspace) {
  const auto now = support::bootTime();
  const auto source = Book.charge(workspace, draw(), now);
  if (source != core::CreditSource::None)
    return makeCharge(workspace, source);
  const auto queue = Waiting.find(workspace);
  const std::size_t waiting = queue == Waiting.end() ? 0 : queue->second.size();
  Book.setWaiting(workspace, waiting + 1);
  if (Demand)
    Demand();
  Book.setWaiting(workspace, waiting);
  // This host may have lent to itself.
  return makeCharge(workspace, Book.chargeWaiting(workspace, draw(), now));
}

CancelHandler QuotaGate::wait(const std::string &workspace,
                              milliseconds maxWait, WaitHandler onEnd) {
  auto &queue = Waiting[workspace];
  if (queue.size() >= MaxWaiting || !Book.expectsGrant(workspace)) {
    onEnd(nullptr);
    return nullptr;
  }
  const std::uint64_t number = ++LastWaiter;
  queue.push_back({number, SteadyClock::now() + maxWait, std::move(onEnd)});
  Book.setWaiting(workspace, queue.size());
  scheduleServe();
  return [weak = weak_from_this(), workspace, number] {
    if (const auto self = weak.lock())
      self->cancel(workspace, number);
  };
}

void QuotaGate::cancel(const std::string &workspace, std::uint64_t number) {
  auto &queue = Waiting[workspace];
  std::erase_if(queue, [&](const Waiter &it) { return it.Number == number; });
  Book.setWaiting(workspace, queue.size());
}

milliseconds QuotaGate::refuse(const std::string &workspace,
                               const std::string &requestId) {
  const auto now = support::bootTime();
  const auto report = Book.report(workspace, now);
  const auto age = Book.grantAge(workspace, now);
  const auto wait = Book.refuse(workspace, now);
  if (RefusalLog.allowLine(SteadyClock::now()))
    support::LogLine("quota_refused")
        .with("request", requestId)
        .with("workspace", workspace)
        .with("why", report.Held > 0 ? "no_credit" : "no_grant")
        .with("credit", report.Credit)
        .with("held", report.Held)
        .with("grant_age", age.value_or(milliseconds(-1)))
        .with("retry_after", wait);
  return std::chrono::ceil<milliseconds>(wait);
}

void QuotaGate::serveWaiting() {
  std::vector<std::pair<WaitHandler, ChargePtr>> ended;
  const auto now = support::bootTime();
  const auto steadyNow = SteadyClock::now();
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    auto &[workspace, queue] = *it;
    while (!queue.empty()) {
      auto charge =
          makeCharge(workspace, Book.chargeWaiting(workspace, draw(), now));
      if (!charge && queue.front().Deadline > steadyNow &&
          Book.limited(workspace))
        break;
      ended.emplace_back(std::move(queue.front().OnEnd), std::move(charge));
      queue.pop_front();
    }
    Book.setWaiting(workspace, queue.size());
    it = queue.empty() ? Waiting.erase(it) : std::next(it);
  }
  // The handlers start requests, which may wait or end others' wait.
  for (auto &[onEnd, charge] : ended)
    onEnd(std::move(charge));
}

void QuotaGate::scheduleServe() {
  if (TimerRunning)
    return;
  TimerRunning = true;
  Timer.expires_after(ServeInterval);
  Timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (ec || !self)
          return;
        self->TimerRunning = false;
        self->serveWaiting();
        if (!self->Waiting.empty())
          self->scheduleServe();
      });
}

void QuotaGate::writeMetrics(support::Metrics &metrics) {
  std::map<std::string, double> admitted, noGrant, noCredit, credit, held, lent;
  if (HasLimits)
    for (const auto &it : Book.reports(MaxReports, support::bootTime())) {
      admitted[it.Workspace] = static_cast<double>(it.Admitted);
      noGrant[it.Workspace] = static_cast<double>(it.RefusedNoGrant);
      noCredit[it.Workspace] = static_cast<double>(it.RefusedNoCredit);
      credit[it.Workspace] = it.Credit;
      held[it.Workspace] = it.Held;
      lent[it.Workspace] = it.Lent;
    }
  metrics.setWorkspaceGauges("savorytrestle_quota_admitted",
                             "Requests charged to the workspace's limit.",
                             admitted);
  metrics.setWorkspaceGauges("savorytrestle_quota_refused_no_grant",
                             "Requests refused while no grant held.", noGrant);
  metrics.setWorkspaceGauges("savorytrestle_quota_refused_no_credit",
                             "Requests refused since the grants were used up.",
                             noCredit);
  metrics.setWorkspaceGauges("savorytrestle_quota_credit",
                             "Requests that may be sent at once.", credit);
  metrics.setWorkspaceGauges("savorytrestle_quota_held",
                             "Part of the rate that this host borrows.", held);
  metrics.setWorkspaceGauges("savorytrestle_quota_lent",
                             "Part of the rate that this host lends.", lent);
}

} // namespace savorytrestle::entry
