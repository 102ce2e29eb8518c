#include "entry/CrashTracker.h"

#include <algorithm>
#include <map>

#include "support/BeastStringView.h"
#include "support/Log.h"

namespace savorytrestle::entry {

using core::FatalRun;
using core::QuarantineEvent;
using core::QuarantineRecord;
using core::TimePoint;
using leaf::LeafSign;

namespace {

constexpr std::size_t MaxUnproven = 4096;
constexpr std::size_t MaxUnfinished = 4096;
/// Keeps the entries of hosts small.
constexpr std::size_t MaxRecords = 96;
constexpr std::size_t MaxAnswers = 32;
constexpr std::chrono::milliseconds PruneInterval{1000};

/// What a break shows at once.
bool looksEnded(const RunBreak &it) {
  const auto sign = it.Leaf->Sign;
  return sign == LeafSign::Ended || sign == LeafSign::Pending ||
         sign == LeafSign::Refuses;
}

FatalRun fatalRun(const RunOutcome &outcome, std::uint64_t id) {
  return {outcome.Fingerprint, id, UINT32_MAX, 0, {}};
}

void addEnd(FatalRun &run, std::uint32_t round, core::ServiceHash service) {
  run.FirstRound = std::min(run.FirstRound, round);
  run.LastRound = std::max(run.LastRound, round);
  auto &services = run.Services;
  if (services.size() < FatalRun::MaxServices &&
      std::find(services.begin(), services.end(), service) == services.end())
    services.push_back(service);
}

} // namespace

core::Fingerprint fingerprintOf(const CallerRequest &request,
                                const core::WorkspaceRule *workspace) {
  std::string scope(
      support::toStringView(request[boost::beast::http::field::host]));
  // No host name holds a null byte.
  if (workspace != nullptr)
    scope.append(1, '\0').append(workspace->Name);
  return core::makeFingerprint(scope, support::toStringView(request.target()),
                               request.body());
}

TrialPermit::~TrialPermit() {
  if (const auto tracker = Tracker.lock())
    (*tracker)->onPermitEnd(RequestFingerprint, RelayedUntil,
                            std::chrono::steady_clock::now());
}

std::optional<std::chrono::milliseconds>
CrashTracker::quarantinedFor(const core::Fingerprint &fingerprint,
                             TimePoint now) {
  settleBroken(now);
  if (Trials.exhausted(fingerprint, now))
    return Trials.recordTimeLeft(fingerprint, now);
  const auto lapsed = Trials.lapsed(fingerprint, now);
  if (const auto wait = Ledger.quarantinedFor(fingerprint, now, {}, lapsed))
    return wait;
  if (!Unproven.empty() &&
      Ledger.quarantinedFor(fingerprint, now, likelyFatal(fingerprint), lapsed))
    return ProofPeriod;
  return std::nullopt;
}

bool CrashTracker::onProbation(const core::Fingerprint &fingerprint) const {
  return Ledger.runCount(fingerprint) > 0 || Trials.contains(fingerprint) ||
         (!Unproven.empty() && !likelyFatal(fingerprint).empty());
}

void CrashTracker::askForTrial(const core::Fingerprint &fingerprint,
                               const std::string &requestId,
                               std::chrono::milliseconds timeLimit,
                               TimePoint now, const PermitHandler &onDecided) {
  if (const auto wait = Trials.waitFor(fingerprint, now))
    return onDecided(tl::unexpected(*wait));
  const auto write = Trials.take(fingerprint, timeLimit, now);
  const auto onReply =
      [weak = std::weak_ptr(Self), fingerprint, onDecided,
       runId = core::makeCrashId(requestId, 0),
       number = write.Record->Number](const core::TrialReply &reply) {
        const auto tracker = weak.lock();
        if (!tracker)
          return;
        CrashTracker &self = **tracker;
        const auto repliedAt = std::chrono::steady_clock::now();
        if (!self.Trials.onTakeReply(fingerprint, reply, repliedAt))
          return onDecided(tl::unexpected(core::CrashTrials::ChangedPause));
        self.OwnTrials[fingerprint] = {.RunId = runId,
                                       .Round = self.nextRound(fingerprint),
                                       .StartedAt = repliedAt};
        support::LogLine("trial_started")
            .with("fingerprint", fingerprint.High)
            .with("number", number)
            .with("in_store",
                  reply.Result == core::TrialReply::Kind::Written ? 1 : 0);
        onDecided(std::make_shared<TrialPermit>(tracker, fingerprint));
      };
  if (TakeTrial)
    TakeTrial(write, onReply);
  else
    onReply({.Result = core::TrialReply::Kind::Written});
}

bool CrashTracker::isUnproven(const core::Fingerprint &fingerprint,
                              const OwnTrial &trial) const {
  return std::any_of(Unproven.begin(), Unproven.end(), [&](const auto &it) {
    return it.Outcome.Fingerprint == fingerprint && it.Id == trial.RunId &&
           it.At >= trial.StartedAt;
  });
}

std::optional<TimePoint>
CrashTracker::unfinishedUntil(const core::Fingerprint &fingerprint,
                              const OwnTrial &trial) const {
  const auto it = Unfinished.find(fingerprint);
  if (it == Unfinished.end())
    return std::nullopt;
  std::optional<TimePoint> until;
  for (const UnfinishedRun &run : it->second)
    if (run.Id == trial.RunId)
      for (const RunRest &rest : run.Outcome.Rest)
        until = std::max(until.value_or(TimePoint::min()), rest.Until);
  return until;
}

void CrashTracker::onPermitEnd(const core::Fingerprint &fingerprint,
                               std::optional<TimePoint> relayedUntil,
                               TimePoint now) {
  const auto it = OwnTrials.find(fingerprint);
  if (it == OwnTrials.end())
    return;
  std::optional<TimePoint> settledAt;
  const auto settleAfter = [&settledAt](TimePoint at) {
    settledAt = std::max(settledAt.value_or(at), at);
  };
  if (isUnproven(fingerprint, it->second))
    settleAfter(now + core::CrashTrials::SettleTime);
  if (relayedUntil)
    settleAfter(std::max(now, *relayedUntil) + RelayProofPeriod);
  // The last try is made when the time is over.
  if (const auto until = unfinishedUntil(fingerprint, it->second))
    settleAfter(*until + ProofPeriod);
  if (settledAt)
    it->second.SettledAt = *settledAt;
  else
    closeTrial(fingerprint, now);
}

void CrashTracker::closeTrial(const core::Fingerprint &fingerprint,
                              TimePoint now) {
  const auto own = OwnTrials.extract(fingerprint);
  // Of this host, or of one that the request was relayed to.
  const auto run = own.empty() ? std::nullopt
                               : Ledger.find(fingerprint, own.mapped().RunId,
                                             own.mapped().Round);
  const auto write = Trials.close(fingerprint, run.has_value(),
                                  Ledger.runCount(fingerprint) > 0, now);
  support::LogLine("trial_ended")
      .with("fingerprint", fingerprint.High)
      .with("leaf_ended", run ? 1 : 0)
      .with("runs_known", Ledger.runCount(fingerprint))
      .with("in_store", write ? 1 : 0);
  if (write)
    writeClose(*write, run, now);
}

void CrashTracker::writeClose(const core::TrialWrite &write,
                              const std::optional<FatalRun> &run,
                              TimePoint now) {
  if (!CloseTrial)
    return Trials.onCloseReply(
        write, {.Result = core::TrialReply::Kind::Written}, now);
  CloseTrial(
      write, run,
      [weak = std::weak_ptr(Self), write](const core::TrialReply &reply) {
        if (const auto tracker = weak.lock())
          (*tracker)->Trials.onCloseReply(write, reply,
                                          std::chrono::steady_clock::now());
      });
}

void CrashTracker::settleTrials(TimePoint now) {
  std::vector<core::Fingerprint> settled;
  for (const auto &[fingerprint, trial] : OwnTrials)
    if (trial.SettledAt != TimePoint::max() &&
        (now >= trial.SettledAt ||
         Ledger.find(fingerprint, trial.RunId, trial.Round)))
      settled.push_back(fingerprint);
  for (const core::Fingerprint &fingerprint : settled)
    closeTrial(fingerprint, now);
  if (now - PrunedAt < PruneInterval)
    return;
  PrunedAt = now;
  for (const core::TrialWrite &write : Trials.closeAbandoned(now))
    writeClose(write, std::nullopt, now);
  Trials.prune(now);
  Ledger.prune(now);
}

std::vector<FatalRun>
CrashTracker::likelyFatal(const core::Fingerprint &fingerprint) const {
  std::vector<FatalRun> runs;
  for (const BrokenRun &broken : Unproven) {
    if (broken.Outcome.Fingerprint != fingerprint)
      continue;
    FatalRun run = fatalRun(broken.Outcome, broken.Id);
    for (const RunBreak &it : broken.Outcome.Breaks)
      if (looksEnded(it))
        addEnd(run, it.Round, it.Service);
    if (run.LastRound > 0)
      runs.push_back(std::move(run));
  }
  return runs;
}

std::uint32_t
CrashTracker::nextRound(const core::Fingerprint &fingerprint) const {
  std::uint32_t round = Ledger.nextRound(fingerprint);
  // A run that proves to be fatal only later still came before this one.
  for (const BrokenRun &broken : Unproven)
    if (broken.Outcome.Fingerprint == fingerprint)
      for (const RunBreak &it : broken.Outcome.Breaks)
        round = std::max(round, it.Round + 1);
  return round;
}

void CrashTracker::clearAnswered(const RunOutcome &outcome, TimePoint now) {
  clearUnproven(outcome);
  auto cleared = Ledger.clear(outcome.Fingerprint, outcome.Answered);
  if (cleared.empty())
    return;
  support::LogLine("crash_runs_cleared")
      .with("fingerprint", outcome.Fingerprint.High)
      .with("request", outcome.RequestId)
      .with("runs", cleared.size());
  Answers.push_back({outcome.Fingerprint, QuarantineEvent::Success, 0,
                     core::steadyTimeAsWallTime(now)});
  if (Answers.size() > MaxAnswers)
    Answers.pop_front();
  if (OnCleared)
    OnCleared(cleared);
}

void CrashTracker::addUnfinished(const RunOutcome &outcome, std::uint64_t id,
                                 TimePoint now) {
  if (UnfinishedCount >= MaxUnfinished) {
    if (LogBudget.allowLine(now))
      support::LogLine("unfinished_runs_forgotten")
          .with("runs", 1)
          .with("why", "too many unfinished runs");
    return;
  }
  ++UnfinishedCount;
  UnfinishedRun run{outcome, id};
  run.Outcome.Breaks.clear();
  for (const RunRest &it : outcome.Rest)
    run.Round = std::max(run.Round, it.Round);
  Unfinished[outcome.Fingerprint].push_back(std::move(run));
}

std::optional<FatalRun> CrashTracker::judge(UnfinishedRun &run, TimePoint now) {
  FatalRun fatal = fatalRun(run.Outcome, run.Id);
  std::erase_if(run.Outcome.Rest, [&](const RunRest &it) {
    const bool outlived = it.Leaf->AliveAt > it.Until;
    if (it.Leaf->hasEnded() && !outlived) {
      addEnd(fatal, it.Round, it.Service);
      run.Outcome.Answered.erase(it.Service);
      return true;
    }
    return outlived || now > it.Until + EvidencePeriod;
  });
  return fatal.LastRound > 0 ? std::optional(fatal) : std::nullopt;
}

void CrashTracker::settleUnfinished(TimePoint now) {
  std::vector<FatalRun> found;
  std::vector<RunOutcome> answered;
  for (auto &[fingerprint, runs] : Unfinished)
    std::erase_if(runs, [&](UnfinishedRun &run) {
      if (auto fatal = judge(run, now))
        found.push_back(std::move(*fatal));
      if (!run.Outcome.Rest.empty())
        return false;
      // A success doesn't clear the runs that came after it.
      if (!run.Outcome.Answered.empty() &&
          Ledger.nextRound(run.Outcome.Fingerprint) <= run.Round)
        answered.push_back(std::move(run.Outcome));
      --UnfinishedCount;
      return true;
    });
  std::erase_if(Unfinished, [](const auto &it) { return it.second.empty(); });
  for (const FatalRun &run : found)
    addFatal(run, now);
  for (const RunOutcome &outcome : answered)
    clearAnswered(outcome, now);
}

void CrashTracker::onRunEnd(RunOutcome outcome, TimePoint now) {
  // Derived from the request's id, so that a run counts once, however many
  // hosts took part in it.
  const auto id = core::makeCrashId(outcome.RequestId, 0);
  if (!outcome.Rest.empty())
    addUnfinished(outcome, id, now);
  for (const RunRest &it : outcome.Rest)
    outcome.Answered.erase(it.Service);
  if (!outcome.Answered.empty())
    clearAnswered(outcome, now);
  if (outcome.Breaks.empty())
    return;
  if (Unproven.size() >= MaxUnproven) {
    Unproven.pop_front();
    if (LogBudget.allowLine(now))
      support::LogLine("leaf_breaks_forgotten")
          .with("runs", 1)
          .with("why", "too many broken runs");
  }
  if (LogBudget.allowLine(now))
    support::LogLine("leaf_broke")
        .with("request", outcome.RequestId)
        .with("fingerprint", outcome.Fingerprint.High)
        .with("breaks", outcome.Breaks.size())
        .with("round", outcome.Breaks.front().Round);
  Unproven.push_back({std::move(outcome), id, now});
}

void CrashTracker::clearUnproven(const RunOutcome &answered) {
  std::erase_if(Unproven, [&](BrokenRun &run) {
    if (run.Outcome.Fingerprint != answered.Fingerprint)
      return false;
    std::erase_if(run.Outcome.Breaks, [&](const RunBreak &it) {
      return answered.Answered.contains(it.Service);
    });
    return run.Outcome.Breaks.empty();
  });
  const auto it = Unfinished.find(answered.Fingerprint);
  if (it == Unfinished.end())
    return;
  std::erase_if(it->second, [&](UnfinishedRun &run) {
    std::erase_if(run.Outcome.Rest, [&](const RunRest &rest) {
      return answered.Answered.contains(rest.Service);
    });
    UnfinishedCount -= run.Outcome.Rest.empty() ? 1 : 0;
    return run.Outcome.Rest.empty();
  });
  if (it->second.empty())
    Unfinished.erase(it);
}

std::optional<FatalRun> CrashTracker::proveFatal(const BrokenRun &run) {
  FatalRun fatal = fatalRun(run.Outcome, run.Id);
  for (const RunBreak &it : run.Outcome.Breaks)
    if (it.Leaf->hasEnded())
      addEnd(fatal, it.Round, it.Service);
  return fatal.LastRound > 0 ? std::optional(fatal) : std::nullopt;
}

void CrashTracker::settle(TimePoint now) {
  settleBroken(now);
  settleUnfinished(now);
  settleTrials(now);
}

void CrashTracker::settleBroken(TimePoint now) {
  std::vector<FatalRun> found;
  std::size_t forgotten = 0;
  std::erase_if(Unproven, [&](const BrokenRun &run) {
    if (now - run.At < ProofPeriod)
      return false;
    if (auto fatal = proveFatal(run)) {
      found.push_back(std::move(*fatal));
      return true;
    }
    const bool expired = now - run.At >= EvidencePeriod;
    forgotten += expired ? 1 : 0;
    return expired;
  });
  if (forgotten > 0)
    support::LogLine("leaf_breaks_forgotten")
        .with("runs", forgotten)
        .with("why", "no leaf has ended");
  for (const FatalRun &run : found)
    addFatal(run, now);
}

void CrashTracker::addFatal(const FatalRun &run, TimePoint now) {
  if (!Ledger.add(run, now))
    return;
  logQuarantine(run, "run", now);
  if (OnFound)
    OnFound(run);
}

void CrashTracker::addHeard(const FatalRun &run, TimePoint now) {
  if (Ledger.add(run, now))
    logQuarantine(run, "host", now);
}

void CrashTracker::removeHeard(const core::Fingerprint &fingerprint,
                               std::uint64_t runId, std::uint32_t firstRound) {
  Ledger.remove(fingerprint, runId, firstRound);
}

void CrashTracker::logQuarantine(const FatalRun &run, const char *foundBy,
                                 TimePoint now) {
  if (!LogBudget.allowLine(now))
    return;
  support::LogLine("crash_run")
      .with("fingerprint", run.RequestFingerprint.High)
      .with("run", run.Id)
      .with("first_round", run.FirstRound)
      .with("last_round", run.LastRound)
      .with("services", run.Services.size())
      .with("found_by", foundBy)
      .with("runs_known", Ledger.runCount(run.RequestFingerprint))
      .with("quarantined",
            Ledger.quarantinedFor(run.RequestFingerprint, now) ? 1 : 0);
}

void CrashTracker::addRecords(const std::vector<QuarantineRecord> &records,
                              TimePoint now) {
  // What is heard together falls into one round.
  std::map<core::Fingerprint, std::uint32_t> rounds;
  std::map<core::Fingerprint, core::WallTime> answeredAt;
  const auto noteAnswer = [&](const QuarantineRecord &record) {
    auto &at = answeredAt[record.RequestFingerprint];
    at = std::max(at, record.At);
  };
  for (const QuarantineRecord &record : records)
    if (record.Event == QuarantineEvent::Success)
      noteAnswer(record);
  for (const auto &answer : answeredAt)
    Ledger.clear(answer.first, {});
  std::for_each(Answers.begin(), Answers.end(), noteAnswer);
  for (const QuarantineRecord &record : records) {
    const auto &fingerprint = record.RequestFingerprint;
    const auto answered = answeredAt.find(fingerprint);
    if (record.Event == QuarantineEvent::Success ||
        Ledger.knows(fingerprint, record.Crash) ||
        (answered != answeredAt.end() && record.At <= answered->second))
      continue;
    const auto round =
        rounds.emplace(fingerprint, Ledger.nextRound(fingerprint))
            .first->second;
    addHeard({fingerprint, record.Crash, round, round, {}}, now);
  }
}

std::vector<QuarantineRecord> CrashTracker::records() const {
  std::vector<QuarantineRecord> all;
  for (const auto &[run, addedAt] : Ledger.newestRuns(MaxRecords))
    all.push_back({run.RequestFingerprint, QuarantineEvent::Crash, run.Id,
                   core::steadyTimeAsWallTime(addedAt)});
  all.insert(all.end(), Answers.begin(), Answers.end());
  return all;
}

} // namespace savorytrestle::entry
