#ifndef SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H
#define SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H

/// @file
/// @brief Refuses repeated requests whose earlier runs have crashed leaves.

#include <utility>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/CallerSession.h"
#include "leaf/LeafEndings.h"
#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/quarantine/CrashLedger.h"
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

/// @brief How a run of a request ended, for the detection of crashes.
struct RunOutcome {
  core::Fingerprint Fingerprint;
  std::string RequestId;
  /// Breaks in calls that got no successful answer.
  std::vector<RunBreak> Breaks{};
  /// Services that answered successfully.
  std::set<core::ServiceHash> Answered{};
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

  static constexpr std::chrono::milliseconds SettleInterval{100};
  /// Time from a break to the verdict, within which connections to the leaf are
  /// tried.
  static constexpr std::chrono::milliseconds ProofPeriod{500};
  /// Time within which the leaf's entry may still prove that it has ended:
  /// entries lapse after seconds, and many at once are held.
  static constexpr std::chrono::milliseconds EvidencePeriod{8000};

  /// @brief Sets the handlers of fatal runs that this host found, and of those
  /// that successful answers to it have cleared.
  void onFound(RunHandler found, RunsHandler cleared) {
    OnFound = std::move(found);
    OnCleared = std::move(cleared);
  }

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

  /// @brief Number of requests in whose runs leaves have ended.
  std::size_t requestCount() const { return Ledger.size(); }

private:
  /// A run that broke, until it is known whether leaves ended.
  struct BrokenRun {
    RunOutcome Outcome;
    std::uint64_t Id = 0;
    core::TimePoint At;
  };

  static std::optional<core::FatalRun> proveFatal(const BrokenRun &run);
  std::vector<core::FatalRun>
  likelyFatal(const core::Fingerprint &fingerprint) const;
  void logQuarantine(const core::FatalRun &run, const char *foundBy,
                     core::TimePoint now);

  /// Oldest first.
  std::deque<BrokenRun> Unproven;
  core::CrashLedger Ledger;
  /// Answers that cleared runs, for hosts of earlier versions.
  std::deque<core::QuarantineRecord> Answers;
  RunHandler OnFound;
  RunsHandler OnCleared;
  support::LogRateLimiter LogBudget;
};

} // namespace savorytrestle::entry

#endif
