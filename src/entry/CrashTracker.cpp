#include "entry/CrashTracker.h"

#include "support/BeastStringView.h"
#include "support/Log.h"

namespace savorytrestle::entry {

using core::QuarantineEvent;
using core::QuarantineRecord;
using core::TimePoint;

namespace {

/// Runs with broken connections, without an answered run in between on any
/// host, after which a request is refused. A harmless request that meets
/// failing leaves each time is far rarer at three than at two.
constexpr std::size_t MaxBrokenRuns = 3;

core::QuarantineSettings quarantineSettings() {
  core::QuarantineSettings settings;
  settings.QuarantineAfterCrashes = MaxBrokenRuns;
  // Known good fingerprints matter only for canaries, which aren't used here.
  settings.MaxKnownGood = 0;
  return settings;
}

} // namespace

core::Fingerprint fingerprintOf(const CallerRequest &request) {
  const auto host =
      support::toStringView(request[boost::beast::http::field::host]);
  return core::makeFingerprint(host, support::toStringView(request.target()),
                               request.body());
}

CrashTracker::CrashTracker() : Quarantine(quarantineSettings()) {}

std::optional<std::chrono::milliseconds>
CrashTracker::quarantinedFor(const core::Fingerprint &fingerprint,
                             TimePoint now) {
  const auto verdict =
      Quarantine.check(fingerprint, core::steadyTimeAsWallTime(now));
  if (verdict.Permission != core::RunPermission::Refused)
    return std::nullopt;
  return verdict.RetryAfter;
}

void CrashTracker::onRunEnd(const RunOutcome &outcome, TimePoint now) {
  const auto at = core::steadyTimeAsWallTime(now);
  std::vector<QuarantineRecord> records;
  if (outcome.Answered) {
    records = Quarantine.onSuccess("", outcome.Fingerprint, at);
  } else if (outcome.ConnectionBroke) {
    // The crash id is derived from the request id, so that a run counts once,
    // however many hosts and leaves took part in it.
    records.push_back({outcome.Fingerprint, QuarantineEvent::Crash,
                       core::makeCrashId(outcome.RequestId, 0), at});
    Quarantine.merge(records, at);
    if (LogBudget.allowLine(now))
      support::LogLine("leaf_broke")
          .with("request", outcome.RequestId)
          .with("fingerprint", outcome.Fingerprint.High)
          .with("refused_from_now",
                quarantinedFor(outcome.Fingerprint, now) ? 1 : 0);
  }
  if (!records.empty() && SendRecords)
    SendRecords(records);
}

void CrashTracker::merge(const std::vector<QuarantineRecord> &records,
                         TimePoint now) {
  if (records.empty())
    return;
  support::LogLine("crashes_heard").with("records", records.size());
  Quarantine.merge(records, core::steadyTimeAsWallTime(now));
}

} // namespace savorytrestle::entry
