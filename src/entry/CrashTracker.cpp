#include "entry/CrashTracker.h"

#include "support/BeastText.h"
#include "support/Log.h"

namespace savorytrestle::entry {

using core::QuarantineEvent;
using core::QuarantineRecord;
using core::TimePoint;

namespace {

/// Runs that got nothing but broken connections, without an answer in between
/// on any host, after which a request is refused: an innocent one that meets
/// failing leaves each time is far rarer at three than at two.
constexpr std::size_t MaxBrokenRuns = 3;

core::QuarantineSettings settings() {
  core::QuarantineSettings settings;
  settings.MaxCrashes = MaxBrokenRuns;
  // Only a canary asks what is known to be good, and there is none here.
  settings.MaxKnownGood = 0;
  return settings;
}

} // namespace

core::Fingerprint fingerprintOf(const CallerRequest &request) {
  const auto host = support::text(request[boost::beast::http::field::host]);
  return core::makeFingerprint(host, support::text(request.target()),
                               request.body());
}

CrashTracker::CrashTracker() : Quarantine(settings()) {}

std::optional<std::chrono::milliseconds>
CrashTracker::quarantinedFor(const core::Fingerprint &fingerprint,
                             TimePoint now) {
  const auto verdict = Quarantine.check(fingerprint, core::steadyWallTime(now));
  if (verdict.Permission != core::RunPermission::Refused)
    return std::nullopt;
  return verdict.RetryAfter;
}

void CrashTracker::onRunEnd(const RunOutcome &end, TimePoint now) {
  const auto at = core::steadyWallTime(now);
  std::vector<QuarantineRecord> records;
  if (end.Answered) {
    records = Quarantine.onSuccess("", end.Fingerprint, at);
  } else if (end.ConnectionBroke) {
    // One run counts once, whichever hosts and leaves had a part in it.
    records.push_back({end.Fingerprint, QuarantineEvent::Strike,
                       core::makeCrashId(end.RequestId, 0), at});
    Quarantine.merge(records, at);
    if (LogBudget.take(now))
      support::LogLine("leaf_broke")
          .with("request", end.RequestId)
          .with("fingerprint", end.Fingerprint.High)
          .with("refused_from_now",
                quarantinedFor(end.Fingerprint, now) ? 1 : 0);
  }
  if (!records.empty() && SendRecords)
    SendRecords(records);
}

void CrashTracker::merge(const std::vector<QuarantineRecord> &records,
                         TimePoint now) {
  if (records.empty())
    return;
  support::LogLine("crashes_heard").with("records", records.size());
  Quarantine.merge(records, core::steadyWallTime(now));
}

} // namespace savorytrestle::entry
