#ifndef SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H
#define SAVORYTRESTLE_ENTRY_CRASH_TRACKER_H

/// @file
/// @brief Stops requests that come again after they have crashed leaves.

#include <utility>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/CallerSession.h"
#include "savorytrestle/core/CrashQuarantine.h"
#include "support/LineBudget.h"

namespace savorytrestle::entry {

/// @brief Identity of a request's content, the same each time that it comes.
/// @param request as its caller sent it
core::Fingerprint fingerprintOf(const CallerRequest &request);

/// @brief How a request ended, as far as its content may be to blame.
struct RunOutcome {
  core::Fingerprint Fingerprint;
  std::string RequestId;
  /// A leaf answered it; a request that crashes leaves gets no answer at all.
  bool Answered = false;
  /// A leaf's connection broke while it had the request.
  bool ConnectionBroke = false;
};

/// @brief Counts runs that got nothing but broken connections; used
/// on the data thread only.
class CrashTracker {
public:
  /// Takes what the other hosts are to be told.
  using RecordsHandler =
      std::function<void(const std::vector<core::QuarantineRecord> &records)>;

  CrashTracker();

  /// @brief Sets who tells the other hosts.
  void onRecords(RecordsHandler handler) { SendRecords = std::move(handler); }

  /// @brief Whether a request is refused.
  /// @param fingerprint its identity
  /// @param now the time
  /// @return when it may come again; nothing when it may run
  std::optional<std::chrono::milliseconds>
  quarantinedFor(const core::Fingerprint &fingerprint, core::TimePoint now);

  /// @brief Takes how a request ended.
  void onRunEnd(const RunOutcome &end, core::TimePoint now);

  /// @brief Takes what another host tells; again does no harm.
  void merge(const std::vector<core::QuarantineRecord> &records,
             core::TimePoint now);

private:
  core::CrashQuarantine Quarantine;
  RecordsHandler SendRecords;
  support::LineBudget LogBudget;
};

} // namespace savorytrestle::entry

#endif
