#ifndef SAVORYTRESTLE_CORE_CRASH_QUARANTINE_H
#define SAVORYTRESTLE_CORE_CRASH_QUARANTINE_H

/// @file
/// @brief Refuses requests that crash the leaves which run them.
///
/// A request whose fingerprint is not known to be good first runs on a single
/// leaf (the canary) before it fans out. A leaf has crashed if its connections
/// break and it then refuses new ones or has restarted; the crash is recorded
/// for each fingerprint that was running there. A success clears a
/// fingerprint's crashes; a second crash without a success in between
/// quarantines it. Hosts exchange the records, so a request that is resent
/// through another host is refused there too.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "savorytrestle/core/Fingerprint.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Identifies a crash of a leaf; equal on each host that observed it.
using CrashId = std::uint64_t;

/// @brief Makes a crash id.
/// @param leafName the leaf
/// @param incarnation the leaf's incarnation, or another value that differs
/// between its crashes
/// @return the id
CrashId makeCrashId(std::string_view leafName, std::uint64_t incarnation);

/// @brief Kind of a quarantine record.
enum class QuarantineEvent {
  Crash,   ///< a leaf crashed while it ran the fingerprint
  Success, ///< a leaf answered the fingerprint
};

/// @brief A crash or success of a fingerprint, as hosts exchange it.
struct QuarantineRecord {
  Fingerprint RequestFingerprint;
  QuarantineEvent Event = QuarantineEvent::Crash;
  /// Id of the crash; 0 for a success.
  CrashId Crash = 0;
  WallTime At;

  bool operator==(const QuarantineRecord &) const = default;
};

/// @brief How a request may run.
enum class RunPermission {
  Unrestricted, ///< known to be good; may fan out at once
  Canary,       ///< runs on one leaf first
  Suspect,      ///< runs on one leaf first, apart from other unproven requests
  Refused,      ///< is not run
};

/// @brief Result of @ref CrashQuarantine::check.
struct QuarantineVerdict {
  RunPermission Permission = RunPermission::Canary;
  /// Time after which a refused request may be resent.
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief Limits of the quarantine.
struct QuarantineSettings {
  /// Crashes without a success in between that quarantine a fingerprint.
  std::size_t QuarantineAfterCrashes = 2;
  /// Time after which a record expires.
  std::chrono::milliseconds RecordLifetime = std::chrono::minutes(10);
  /// Time after a connection breaks within which a refusal confirms that the
  /// leaf crashed.
  std::chrono::milliseconds ConfirmationWindow = std::chrono::seconds(2);
  /// Time after an attempt that its host gave up within which the end of the
  /// leaf is put down to it.
  std::chrono::milliseconds AbandonedWindow = std::chrono::seconds(3);
  /// Most fingerprints with records; beyond it the one whose last record is the
  /// oldest is evicted.
  std::size_t MaxFingerprints = 4096;
  /// Most fingerprints known to be good.
  std::size_t MaxKnownGood = 16384;
};

/// @brief Decides which requests may run, by the crashes and successes of their
/// fingerprints on this and other hosts.
class CrashQuarantine {
public:
  /// @brief Creates an empty quarantine.
  /// @param settings its limits
  explicit CrashQuarantine(QuarantineSettings settings);

  /// @brief Decides how a request may run, before it is sent to any leaf.
  /// @param fingerprint its fingerprint
  /// @param now current time
  /// @return the decision; O(leaves with unproven requests or broken attempts)
  QuarantineVerdict check(const Fingerprint &fingerprint, WallTime now);

  /// @brief Number of crashes that are recorded for a request. O(log n).
  /// @param fingerprint its fingerprint
  /// @param now current time
  std::size_t crashCount(const Fingerprint &fingerprint, WallTime now);

  /// @brief Whether a request may run on a leaf beside the unproven requests
  /// that this host already runs there: a suspect shares a leaf with no other
  /// unproven request.
  /// @param leafName the leaf
  /// @param fingerprint its fingerprint
  /// @param now current time
  /// @return whether it may; O(unproven requests on the leaf)
  bool mayRunOnLeaf(std::string_view leafName, const Fingerprint &fingerprint,
                    WallTime now);

  /// @brief Index of the leaf, among `leaves`, on which a suspect's next canary
  /// runs. Suspects of the same crash get different indices, whichever hosts
  /// run them.
  /// @param fingerprint its fingerprint
  /// @param leaves number of leaves to choose from, not 0
  /// @return the index; O(fingerprints)
  std::size_t canaryLeafIndex(const Fingerprint &fingerprint,
                              std::size_t leaves) const;

  /// @brief Records that an attempt was sent.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onStart(std::string_view leafName, const Fingerprint &fingerprint);

  /// @brief Records an attempt that was answered.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param now current time
  /// @return records to send to other hosts
  std::vector<QuarantineRecord> onSuccess(std::string_view leafName,
                                          const Fingerprint &fingerprint,
                                          WallTime now);

  /// @brief Records an attempt whose connection broke after it was sent.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param now current time
  void onConnectionBroken(std::string_view leafName,
                          const Fingerprint &fingerprint, WallTime now);

  /// @brief Records an attempt that its host has given up while the leaf may
  /// still run it: the search was answered, or its deadline has passed.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param now current time
  void onAbandoned(std::string_view leafName, const Fingerprint &fingerprint,
                   WallTime now);

  /// @brief Records an attempt that ended in any other way.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onOtherOutcome(std::string_view leafName,
                      const Fingerprint &fingerprint);

  /// @brief Records that a leaf refuses connections or has restarted. If
  /// attempts on it broke within the confirmation window, or were abandoned
  /// within theirs, it has crashed.
  /// @param leafName the leaf
  /// @param crash id under which a crash is recorded
  /// @param now current time
  /// @param wasDraining whether it was about to end anyway; abandoned attempts
  /// don't count then
  /// @return records to send to other hosts before the callers get an answer
  std::vector<QuarantineRecord> onLeafDownOrRestarted(std::string_view leafName,
                                                      CrashId crash,
                                                      WallTime now,
                                                      bool wasDraining = false);

  /// @brief Records that a leaf whose connections broke answers with the same
  /// incarnation, so it did not crash.
  /// @param leafName the leaf
  void onLeafAlive(std::string_view leafName);

  /// @brief Merges records of other hosts; the result does not depend on their
  /// order or repetition.
  /// @param records the records
  /// @param now current time
  void merge(std::span<const QuarantineRecord> records, WallTime now);

  /// @brief All unexpired records, to be sent to a host that starts.
  /// @param now current time
  /// @return the records in a fixed order; O(n log n)
  std::vector<QuarantineRecord> records(WallTime now);

private:
  struct LeafCrash {
    CrashId Id = 0;
    WallTime At;
  };
  struct History {
    std::vector<LeafCrash> Crashes;
    WallTime ClearedAt = WallTime::min();
    WallTime NewestRecordAt = WallTime::min();
  };
  struct BrokenAttempt {
    Fingerprint RequestFingerprint;
    WallTime At;
  };
  struct LeafActivity {
    std::vector<Fingerprint> Unproven;
    std::vector<BrokenAttempt> BrokenAttempts;
    std::vector<BrokenAttempt> AbandonedAttempts;

    bool empty() const {
      return Unproven.empty() && BrokenAttempts.empty() &&
             AbandonedAttempts.empty();
    }
  };

  void add(const QuarantineRecord &record, WallTime now);
  void evictOldest();
  void dropExpired(History &history, WallTime now) const;
  std::size_t countUnconfirmedBreaks(const Fingerprint &fingerprint,
                                     WallTime now);
  static void addAttempt(std::vector<BrokenAttempt> &attempts,
                         const Fingerprint &fingerprint, WallTime now);
  void removeUnproven(std::string_view leafName,
                      const Fingerprint &fingerprint);
  bool isSuspect(const Fingerprint &fingerprint, WallTime now);

  QuarantineSettings Settings;
  FingerprintLruSet KnownGood;
  std::unordered_map<Fingerprint, History, FingerprintHash> Histories;
  std::unordered_map<std::string, LeafActivity> Leaves;
};

} // namespace savorytrestle::core

#endif
