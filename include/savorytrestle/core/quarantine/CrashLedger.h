#ifndef SAVORYTRESTLE_CORE_QUARANTINE_CRASH_LEDGER_H
#define SAVORYTRESTLE_CORE_QUARANTINE_CRASH_LEDGER_H

/// @file
/// @brief Decides which requests crash the leaves that run them, from the runs
/// in which leaves ended, on all hosts.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "savorytrestle/core/Fingerprint.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Hash of a service's name.
using ServiceHash = std::uint64_t;

/// @brief Hashes the name of a service; equal on all hosts.
ServiceHash hashService(std::string_view name);

/// @brief A run of a request in which a leaf ended while it worked on it, and
/// after which the leaf's service gave no successful answer.
struct FatalRun {
  Fingerprint RequestFingerprint;
  /// Identifies the run; the same on all hosts that took part in it.
  std::uint64_t Id = 0;
  /// Rounds of the first and the last leaf that ended, see @ref CrashLedger.
  std::uint32_t FirstRound = 1;
  std::uint32_t LastRound = 1;
  /// Services whose leaves ended, at most @ref MaxServices of them.
  std::vector<ServiceHash> Services;

  static constexpr std::size_t MaxServices = 4;
};

/// @brief The fatal runs that this host knows of.
///
/// Leaves also end for other reasons, all leaves of a service at once even, and
/// then break the runs of harmless requests. What tells these apart is
/// repetition after the fact: a request sent to a leaf belongs to round n+1 if
/// its host knew of fatal runs up to round n. Leaves that fail together fall
/// into one round, however many runs they break; a request that crashes leaves
/// opens a new round each time it comes again.
class CrashLedger {
public:
  /// Fatal runs, and rounds they span, from which a request is quarantined.
  static constexpr std::size_t RunsToQuarantine = 3;
  static constexpr std::uint32_t RoundsToQuarantine = 3;
  /// Fatal runs from which it is if each run alone spans two rounds.
  static constexpr std::size_t LongRunsToQuarantine = 4;
  /// Time from the newest run for which a request is quarantined.
  static constexpr std::chrono::milliseconds QuarantineTime =
      std::chrono::minutes(10);
  /// Time from the newest run after which the runs of a request are forgotten.
  static constexpr std::chrono::milliseconds RunLifetime =
      std::chrono::minutes(10);
  /// The same if as many leaves have ended as @ref RunsToQuarantine.
  static constexpr std::chrono::milliseconds LongRunLifetime =
      std::chrono::hours(24);
  /// Requests with fatal runs; the one with the oldest last run is dropped
  /// beyond it.
  static constexpr std::size_t MaxRequests = 4096;
  /// Runs kept of one request; further ones are kept in place of one whose
  /// rounds another kept run has too.
  static constexpr std::size_t MaxRunsOfRequest = 8;

  /// @brief Adds a run. O(runs of the request).
  /// @return whether it is new and kept
  bool add(const FatalRun &run, TimePoint now);

  /// @brief Removes a run. O(runs of the request).
  void remove(const Fingerprint &fingerprint, std::uint64_t runId,
              std::uint32_t firstRound);

  /// @brief Removes the runs of a request in which only leaves of services
  /// ended that have answered it successfully since. O(runs of the request).
  /// @return the runs removed
  std::vector<FatalRun> clear(const Fingerprint &fingerprint,
                              const std::set<ServiceHash> &answered);

  /// @brief Round of a leaf that a request is sent to now. O(runs of the
  /// request).
  std::uint32_t nextRound(const Fingerprint &fingerprint) const;

  /// @brief Whether a request is quarantined. O(runs of the request).
  /// @param unproven runs that may prove to be fatal
  /// @param lapsed trials of unknown result, see @ref CrashTrials; each counts
  /// as a run in a round of its own
  /// @return time until it no longer is, 0 if no run is known; nothing if it
  /// may run
  std::optional<std::chrono::milliseconds>
  quarantinedFor(const Fingerprint &fingerprint, TimePoint now,
                 const std::vector<FatalRun> &unproven = {},
                 std::uint32_t lapsed = 0);

  /// @brief Forgets the runs of requests whose time is over. O(runs).
  void prune(TimePoint now);

  /// @brief Whether a run of a request is known, in whatever round.
  bool knows(const Fingerprint &fingerprint, std::uint64_t runId) const;

  /// @brief The run of a request with an id and of a round, or of a later one.
  std::optional<FatalRun> find(const Fingerprint &fingerprint,
                               std::uint64_t runId,
                               std::uint32_t leastRound) const;

  /// @brief Number of runs known of a request.
  std::size_t runCount(const Fingerprint &fingerprint) const;

  /// @brief Number of requests with fatal runs.
  std::size_t size() const { return Requests.size(); }

  /// @brief A run and when it was added.
  struct KnownRun {
    FatalRun Run;
    TimePoint AddedAt;
  };

  /// @brief The runs of all requests, oldest first, at most a number of them,
  /// the newest. O(n log n).
  std::vector<KnownRun> newestRuns(std::size_t most) const;

private:
  using Runs = std::vector<KnownRun>;

  /// The run that gives way to another one; the end if that adds no round.
  static Runs::iterator surplusRun(Runs &runs, const FatalRun &added);
  static std::chrono::milliseconds lifetimeOf(const Runs &runs);
  /// Whether the runs are to be forgotten.
  static bool isOver(const Runs &runs, TimePoint now);
  void evictOldest();

  std::unordered_map<Fingerprint, Runs, FingerprintHash> Requests;
};

} // namespace savorytrestle::core

#endif
