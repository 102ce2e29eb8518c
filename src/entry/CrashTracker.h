#ifndef SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H
#define SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H

/// @file
/// @brief Refuses repeated requests whose earlier runs have crashed leaves.

#include <utility>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "entry/CallerSession.h"
#include "leaf/LeafEndings.h"
#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/quarantine/CrashLedger.h"
#include "savorytrestle/core/quarantine/CrashTrials.h"
#include "support/LogRateLimiter.h"

namespace savorytrestle::entry {

/// @brief Computes the fingerprint of a request's content; it is the same each
/// time the request is sent.
/// @param request the request as received from its caller
/// @param workspace workspace of the caller; null if there is none
core::Fingerprint fingerprintOf(const CallerRequest &request,
                                const core::WorkspaceRule *workspace = nullptr);

/// @brief A connection to a leaf that broke while it carried a request.
struct RunBreak {
  std::shared_ptr<const leaf::SuspectedLeaf> Leaf;
  core::ServiceHash Service = 0;
  /// Round in which the request was sent to the leaf.
  std::uint32_t Round = 1;
};

/// @brief A leaf that may run a request after its host has ended the run.
struct RunRest {
  std::shared_ptr<const leaf::SuspectedLeaf> Leaf;
  core::ServiceHash Service = 0;
  /// Round in which the request was sent to the leaf.
  std::uint32_t Round = 1;
  /// Time after which the end of the leaf isn't put down to the request.
  core::TimePoint Until;
};

/// @brief How a run of a request ended, for the detection of crashes.
struct RunOutcome {
  core::Fingerprint Fingerprint;
  std::string RequestId;
  /// Breaks in calls that got no successful answer.
  std::vector<RunBreak> Breaks{};
  /// Services that answered successfully. They clear the request, unless
  /// another of their leaves may still run it.
  std::set<core::ServiceHash> Answered{};
  /// Leaves that may still run it.
  std::vector<RunRest> Rest{};
};

class CrashTracker;

/// @brief Permission to run a request on probation once. The trial ends with
/// the object, or once it is known whether leaves ended in the run.
class TrialPermit {
public:
  TrialPermit(std::weak_ptr<CrashTracker *> tracker,
              const core::Fingerprint &fingerprint)
      : Tracker(std::move(tracker)), RequestFingerprint(fingerprint) {}
  TrialPermit(const TrialPermit &) = delete;
  TrialPermit &operator=(const TrialPermit &) = delete;
  ~TrialPermit();

  /// @brief Other hosts may have run the request, which report on their leaves
  /// themselves.
  /// @param runsUntil when their leaves stop to work on it at the latest
  void onRelayed(core::TimePoint runsUntil) { RelayedUntil = runsUntil; }

private:
  std::weak_ptr<CrashTracker *> Tracker;
  core::Fingerprint RequestFingerprint;
  std::optional<core::TimePoint> RelayedUntil;
};

/// @brief Finds the runs in which leaves ended and quarantines their requests.
/// Not thread-safe: used on the data thread only.
///
/// A break counts only if the leaf's process has ended: connections also break
/// by faults of the network, and leaves that go on break them too. A host whose
/// links are cut may still take leaves for ended; their runs fall into one
/// round, see @ref core::CrashLedger.
class CrashTracker {
public:
  using RunHandler = std::function<void(const core::FatalRun &run)>;
  using RunsHandler =
      std::function<void(const std::vector<core::FatalRun> &runs)>;
  using TrialReplyHandler = std::function<void(const core::TrialReply &reply)>;
  /// Writes what a trial begins with to the store.
  using TrialTaker = std::function<void(const core::TrialWrite &write,
                                        TrialReplyHandler onReply)>;
  /// Writes what a trial ends with, and the run if leaves ended in it.
  using TrialCloser = std::function<void(
      const core::TrialWrite &write, const std::optional<core::FatalRun> &run,
      TrialReplyHandler onReply)>;
  using PermitPtr = std::shared_ptr<TrialPermit>;
  /// A permit, or the time after which a caller may come again.
  using PermitHandler = std::function<void(
      tl::expected<PermitPtr, std::chrono::milliseconds> permit)>;

  static constexpr std::chrono::milliseconds SettleInterval{100};
  /// Time from a break to the verdict, within which connections to the leaf are
  /// tried.
  static constexpr std::chrono::milliseconds ProofPeriod{500};
  /// Time within which the leaf's entry may still prove that it has ended:
  /// entries lapse after seconds, and many at once are held.
  static constexpr std::chrono::milliseconds EvidencePeriod{8000};

  /// Time from a request's deadline for which the end of a leaf that may still
  /// run it is put down to it.
  static constexpr std::chrono::milliseconds RestPeriod{1000};

  /// Time from a run's end after which the hosts that it was relayed to have
  /// published that leaves ended, if any did.
  static constexpr std::chrono::milliseconds RelayProofPeriod{1500};

  /// @brief Sets the handlers of fatal runs that this host found, and of those
  /// that successful answers to it have cleared.
  void onFound(RunHandler found, RunsHandler cleared) {
    OnFound = std::move(found);
    OnCleared = std::move(cleared);
  }

  /// @brief Sets how trials are written to the store; without it each host has
  /// trials of its own.
  void onTrial(TrialTaker taken, TrialCloser closed) {
    TakeTrial = std::move(taken);
    CloseTrial = std::move(closed);
  }

  /// @brief The trials, which the store's feed updates.
  core::CrashTrials &trials() { return Trials; }

  /// @brief Whether a request is on probation: leaves have ended under it, or
  /// may have, or a host tries it.
  bool onProbation(const core::Fingerprint &fingerprint) const;

  /// @brief Asks for the permission to run a request on probation. No call to
  /// the store is made for those that have to wait.
  /// @param requestId id under which it is run
  /// @param timeLimit longest time that the run may take
  /// @param onDecided called once, before the return or later
  void askForTrial(const core::Fingerprint &fingerprint,
                   const std::string &requestId,
                   std::chrono::milliseconds timeLimit, core::TimePoint now,
                   const PermitHandler &onDecided);

  /// @brief A permit has ended; its run, if there was one, has been recorded.
  /// @param relayedUntil if other hosts may have run the request, when their
  /// leaves stop to work on it at the latest
  void onPermitEnd(const core::Fingerprint &fingerprint,
                   std::optional<core::TimePoint> relayedUntil,
                   core::TimePoint now);

  /// @brief Checks whether a request is quarantined.
  /// @return the rest of the quarantine; nothing if the request may run
  std::optional<std::chrono::milliseconds>
  quarantinedFor(const core::Fingerprint &fingerprint, core::TimePoint now);

  /// @brief Round of a run that starts now, see @ref core::CrashLedger.
  std::uint32_t nextRound(const core::Fingerprint &fingerprint) const;

  /// @brief Records how a run ended.
  void onRunEnd(RunOutcome outcome, core::TimePoint now);

  /// @brief Counts broken runs that have proved to be fatal, and forgets those
  /// that have not. Call every @ref SettleInterval.
  void settle(core::TimePoint now);

  /// @brief Adds a run that another host found.
  void addHeard(const core::FatalRun &run, core::TimePoint now);

  /// @brief Removes a run that a host has cleared or that is too old.
  void removeHeard(const core::Fingerprint &fingerprint, std::uint64_t runId,
                   std::uint32_t firstRound);

  /// @brief Adds the records of a host of an earlier version, which knows no
  /// rounds.
  void addRecords(const std::vector<core::QuarantineRecord> &records,
                  core::TimePoint now);

  /// @brief The newest runs and answers as records for hosts of earlier
  /// versions.
  std::vector<core::QuarantineRecord> records() const;

  /// @brief Whether runs of a request in which leaves ended are remembered.
  bool remembers(const core::Fingerprint &fingerprint) const {
    return Ledger.runCount(fingerprint) > 0;
  }

  /// @brief Number of requests in whose runs leaves have ended.
  std::size_t requestCount() const { return Ledger.size(); }

private:
  /// A run that broke, until it is known whether leaves ended.
  struct BrokenRun {
    RunOutcome Outcome;
    std::uint64_t Id = 0;
    core::TimePoint At;
  };

  /// A trial of this host.
  struct OwnTrial {
    std::uint64_t RunId = 0;
    /// Round of its run.
    std::uint32_t Round = 0;
    core::TimePoint StartedAt;
    /// When it is closed at the latest, once its run has ended.
    core::TimePoint SettledAt = core::TimePoint::max();
  };

  /// A run that the host has ended while leaves may run the request.
  struct UnfinishedRun {
    RunOutcome Outcome;
    std::uint64_t Id = 0;
    /// Round of its last leaf.
    std::uint32_t Round = 0;
  };

  static std::optional<core::FatalRun> proveFatal(const BrokenRun &run);
  void addUnfinished(const RunOutcome &outcome, std::uint64_t id,
                     core::TimePoint now);
  /// Counts unfinished runs under which leaves have ended, and drops those
  /// whose leaves have outlived them.
  void settleUnfinished(core::TimePoint now);
  /// Takes what is known of a run's leaves.
  /// @return the run if one has ended of it
  static std::optional<core::FatalRun> judge(UnfinishedRun &run,
                                             core::TimePoint now);
  /// The part of @ref settle that concerns runs which broke.
  void settleBroken(core::TimePoint now);
  void clearAnswered(const RunOutcome &outcome, core::TimePoint now);
  void addFatal(const core::FatalRun &run, core::TimePoint now);
  /// When it is known at the latest whether leaves end of a trial's run that
  /// its host has ended; nothing if it is known.
  std::optional<core::TimePoint>
  unfinishedUntil(const core::Fingerprint &fingerprint,
                  const OwnTrial &trial) const;
  std::vector<core::FatalRun>
  likelyFatal(const core::Fingerprint &fingerprint) const;
  void closeTrial(const core::Fingerprint &fingerprint, core::TimePoint now);
  void writeClose(const core::TrialWrite &write,
                  const std::optional<core::FatalRun> &run,
                  core::TimePoint now);
  void settleTrials(core::TimePoint now);
  /// Drops breaks of services that have answered the request since.
  void clearUnproven(const RunOutcome &answered);
  /// Whether it isn't known yet if leaves ended in a trial's run.
  bool isUnproven(const core::Fingerprint &fingerprint,
                  const OwnTrial &trial) const;
  void logQuarantine(const core::FatalRun &run, const char *foundBy,
                     core::TimePoint now);

  /// Oldest first.
  std::deque<BrokenRun> Unproven;
  std::unordered_map<core::Fingerprint, std::vector<UnfinishedRun>,
                     core::FingerprintHash>
      Unfinished;
  std::size_t UnfinishedCount = 0;
  core::CrashLedger Ledger;
  core::CrashTrials Trials;
  std::map<core::Fingerprint, OwnTrial> OwnTrials;
  core::TimePoint PrunedAt{};
  /// Answers that cleared runs, for hosts of earlier versions.
  std::deque<core::QuarantineRecord> Answers;
  RunHandler OnFound;
  RunsHandler OnCleared;
  TrialTaker TakeTrial;
  TrialCloser CloseTrial;
  /// Tells permits whether this tracker still exists.
  std::shared_ptr<CrashTracker *> Self = std::make_shared<CrashTracker *>(this);
  support::LogRateLimiter LogBudget;
};

} // namespace savorytrestle::entry

#endif
