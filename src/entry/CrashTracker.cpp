#include "entry/CrashTracker.h"

#include <algorithm>
#include <set>

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
/// Time after which it is decided about a broken run. Longer than it takes to
/// find that all links are lost.
constexpr std::chrono::milliseconds ProofPeriod{1000};
/// Time from a break within which answers, before and after it, show that the
/// links worked.
constexpr std::chrono::milliseconds AnswerDistance{200};
constexpr std::size_t MaxUnproven = 1024;

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

CrashTracker::CrashTracker(const core::LeafLink &link)
    : Link(link), Quarantine(quarantineSettings()) {}

std::optional<std::chrono::milliseconds>
CrashTracker::quarantinedFor(const core::Fingerprint &fingerprint,
                             TimePoint now) {
  settle(now);
  const auto at = core::steadyTimeAsWallTime(now);
  const auto verdict = Quarantine.check(fingerprint, at);
  if (verdict.Permission == core::RunPermission::Refused)
    return verdict.RetryAfter;
  if (Quarantine.crashCount(fingerprint, at) + countUnproven(fingerprint) >=
      MaxBrokenRuns)
    return ProofPeriod;
  return std::nullopt;
}

std::size_t
CrashTracker::countUnproven(const core::Fingerprint &fingerprint) const {
  return static_cast<std::size_t>(
      std::count_if(Unproven.begin(), Unproven.end(), [&](const auto &it) {
        return it.Fingerprint == fingerprint;
      }));
}

void CrashTracker::onRunEnd(const RunOutcome &outcome, TimePoint now) {
  settle(now);
  if (outcome.Answered) {
    std::erase_if(Unproven, [&](const auto &it) {
      return it.Fingerprint == outcome.Fingerprint;
    });
    const auto known = Quarantine.crashCount(outcome.Fingerprint,
                                             core::steadyTimeAsWallTime(now));
    const auto records = Quarantine.onSuccess("", outcome.Fingerprint,
                                              core::steadyTimeAsWallTime(now));
    if (known > 0 && LogBudget.allowLine(now))
      support::LogLine("crash_runs_cleared")
          .with("fingerprint", outcome.Fingerprint.High)
          .with("request", outcome.RequestId)
          .with("runs", known);
    if (!records.empty() && SendRecords)
      SendRecords(records);
  } else if (outcome.ConnectionBroke && !Link.lost()) {
    addBrokenRun(outcome, now);
  }
}

void CrashTracker::addBrokenRun(const RunOutcome &outcome, TimePoint now) {
  // The crash id is derived from the request id, so that a run counts once,
  // however many hosts and leaves took part in it.
  BrokenRun run{outcome.Fingerprint, core::makeCrashId(outcome.RequestId, 0),
                now};
  if (Unproven.size() >= MaxUnproven ||
      std::any_of(Unproven.begin(), Unproven.end(),
                  [&](const auto &it) { return it.Crash == run.Crash; }))
    return;
  run.AnsweredBefore = now - Link.lastAnswer() <= AnswerDistance;
  for (BrokenRun &other : Unproven)
    if (other.Fingerprint != run.Fingerprint)
      other.OthersBroke = run.OthersBroke = true;
  Unproven.push_back(run);
  if (LogBudget.allowLine(now))
    support::LogLine("leaf_broke")
        .with("request", outcome.RequestId)
        .with("fingerprint", outcome.Fingerprint.High)
        .with("refused_from_now",
              quarantinedFor(outcome.Fingerprint, now) ? 1 : 0);
}

void CrashTracker::settle(TimePoint now) {
  std::vector<QuarantineRecord> records;
  std::size_t forgotten = 0;
  for (BrokenRun &run : Unproven)
    if (now - run.At <= AnswerDistance && Link.lastAnswer() > run.At)
      run.AnsweredAfter = true;
  while (!Unproven.empty() && now - Unproven.front().At >= ProofPeriod) {
    const BrokenRun run = Unproven.front();
    Unproven.pop_front();
    if (!run.OthersBroke || (run.AnsweredBefore && run.AnsweredAfter))
      records.push_back({run.Fingerprint, QuarantineEvent::Crash, run.Crash,
                         core::steadyTimeAsWallTime(run.At)});
    else
      ++forgotten;
    if (LogBudget.allowLine(now))
      support::LogLine("crash_run")
          .with("fingerprint", run.Fingerprint.High)
          .with("run", run.Crash)
          .with("counted", records.empty() || records.back().Crash != run.Crash
                               ? 0
                               : 1)
          .with("others_broke", run.OthersBroke ? 1 : 0)
          .with("answered_before", run.AnsweredBefore ? 1 : 0)
          .with("answered_after", run.AnsweredAfter ? 1 : 0);
  }
  if (forgotten > 0)
    support::LogLine("leaf_breaks_forgotten")
        .with("runs", forgotten)
        .with("why", "no leaf answered meanwhile");
  if (records.empty())
    return;
  Quarantine.merge(records, core::steadyTimeAsWallTime(now));
  if (SendRecords)
    SendRecords(records);
}

void CrashTracker::merge(const std::vector<QuarantineRecord> &records,
                         TimePoint now) {
  if (records.empty())
    return;
  support::LogLine("crashes_heard").with("records", records.size());
  const auto at = core::steadyTimeAsWallTime(now);
  Quarantine.merge(records, at);
  std::set<core::Fingerprint> named;
  for (const QuarantineRecord &record : records)
    if (named.insert(record.RequestFingerprint).second &&
        LogBudget.allowLine(now))
      support::LogLine("crash_runs_known")
          .with("fingerprint", record.RequestFingerprint.High)
          .with("runs", Quarantine.crashCount(record.RequestFingerprint, at));
}

} // namespace savorytrestle::entry
