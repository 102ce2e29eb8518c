#ifndef SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H
#define SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H

/// @file
/// @brief Refuses repeated requests whose earlier runs have crashed leaves.

#include <utility>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/CallerSession.h"
#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/LeafLink.h"
#include "support/LogRateLimiter.h"

namespace savorytrestle::entry {

/// @brief Computes the fingerprint of a request's content; it is the same each
/// time the request is sent.
/// @param request the request as received from its caller
core::Fingerprint fingerprintOf(const CallerRequest &request);

/// @brief How a run of a request ended, for the detection of crashes.
struct RunOutcome {
  core::Fingerprint Fingerprint;
  std::string RequestId;
  /// Whether a leaf answered. A request that crashes leaves gets no answer.
  bool Answered = false;
  /// Whether a leaf's connection broke while the request was in flight.
  bool ConnectionBroke = false;
};

/// @brief Counts runs without an answer in which a leaf's connection broke, and
/// quarantines their requests. Not thread-safe: used on the data thread only.
///
/// A run counts on this host at once, and for good and on other hosts only once
/// it has proved to be no fault of this host's links: these break the runs of
/// several requests, and no leaf answers meanwhile.
class CrashTracker {
public:
  /// @brief Sends records to the other hosts.
  using RecordsHandler =
      std::function<void(const std::vector<core::QuarantineRecord> &records)>;

  /// @brief Creates a tracker without records.
  /// @param link evidence on this host's links to leaves; must outlive the
  /// tracker
  explicit CrashTracker(const core::LeafLink &link);

  static constexpr std::chrono::milliseconds SettleInterval{100};

  /// @brief Sets the handler that sends records to the other hosts.
  void onRecords(RecordsHandler handler) { SendRecords = std::move(handler); }

  /// @brief Checks whether a request is quarantined.
  /// @param fingerprint fingerprint of the request
  /// @param now the current time
  /// @return the rest of the quarantine; nothing if the request may run
  std::optional<std::chrono::milliseconds>
  quarantinedFor(const core::Fingerprint &fingerprint, core::TimePoint now);

  /// @brief Records how a run ended.
  void onRunEnd(const RunOutcome &outcome, core::TimePoint now);

  /// @brief Counts broken runs that have proved to be crashes, and forgets
  /// those that prove nothing. Call every @ref SettleInterval.
  void settle(core::TimePoint now);

  /// @brief This host's links to all leaves are lost: forgets broken runs that
  /// aren't proved to be crashes.
  void onLeavesLost() { Unproven.clear(); }

  /// @brief Merges records of another host; merging them again has no effect.
  void merge(const std::vector<core::QuarantineRecord> &records,
             core::TimePoint now);

private:
  struct BrokenRun {
    core::Fingerprint Fingerprint;
    core::CrashId Crash;
    core::TimePoint At;
    /// Whether a leaf answered just before, and just after it.
    bool AnsweredBefore = false;
    bool AnsweredAfter = false;
    /// Whether a run of another request broke at about the same time.
    bool OthersBroke = false;
  };

  void addBrokenRun(const RunOutcome &outcome, core::TimePoint now);
  std::size_t countUnproven(const core::Fingerprint &fingerprint) const;

  const core::LeafLink &Link;
  /// Oldest first.
  std::deque<BrokenRun> Unproven;
  core::CrashQuarantine Quarantine;
  RecordsHandler SendRecords;
  support::LogRateLimiter LogBudget;
};

} // namespace savorytrestle::entry

#endif
