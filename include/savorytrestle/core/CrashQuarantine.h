#ifndef SAVORYTRESTLE_CORE_CRASH_QUARANTINE_H
#define SAVORYTRESTLE_CORE_CRASH_QUARANTINE_H

/// @file
/// @brief Stops requests that crash the leaves which run them.
///
/// A request whose fingerprint is not known to be good first runs on one leaf
/// alone (the canary) before it fans out. A leaf whose connections break and
/// which then refuses has crashed; each fingerprint that broke there gets a
/// strike. A success clears it, a second crash quarantines it. Hosts exchange
/// the records, so a request that is sent again through another host is
/// stopped there too.

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

/// @brief Number of a leaf crash, the same on each host that saw it.
using CrashId = std::uint64_t;

/// @brief Makes a crash id.
/// @param leafName the leaf
/// @param incarnation differs between two crashes of the leaf; its incarnation
/// if known
/// @return the id
CrashId makeCrashId(std::string_view leafName, std::uint64_t incarnation);

/// @brief What a quarantine record says.
enum class QuarantineEvent {
  Crash,   ///< a leaf crashed while it ran the fingerprint
  Success, ///< a leaf answered the fingerprint
};

/// @brief What hosts tell each other about a fingerprint.
struct QuarantineRecord {
  Fingerprint RequestFingerprint;
  QuarantineEvent Event = QuarantineEvent::Crash;
  /// Crash of a strike, 0 of a success.
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

/// @brief Answer to whether a request may run.
struct QuarantineVerdict {
  RunPermission Permission = RunPermission::Canary;
  /// When a refused request may come back.
  std::chrono::milliseconds RetryAfter{0};
};

/// @brief Bounds of the quarantine.
struct QuarantineSettings {
  /// Crashes without a success in between that quarantine a fingerprint.
  std::size_t MaxCrashes = 2;
  /// How long a record counts.
  std::chrono::milliseconds RecordLifetime = std::chrono::minutes(10);
  /// Time after a break in which a refusal proves that the leaf crashed.
  std::chrono::milliseconds ConfirmationWindow = std::chrono::seconds(2);
  /// Fingerprints with records; beyond it the oldest goes.
  std::size_t MaxFingerprints = 4096;
  /// Fingerprints known to be good.
  std::size_t MaxKnownGood = 16384;
};

/// @brief Crashes and successes of fingerprints on this and other hosts.
class CrashQuarantine {
public:
  /// @brief An empty quarantine.
  /// @param settings its bounds
  explicit CrashQuarantine(QuarantineSettings settings);

  /// @brief Decides on a request before any leaf is asked.
  /// @param fingerprint its fingerprint
  /// @param now current time
  /// @return the decision; O(leaves with unproven or broken requests)
  QuarantineVerdict check(const Fingerprint &fingerprint, WallTime now);

  /// @brief Whether an unproven request may run on a leaf beside what this host
  /// already runs there: a suspect and another unproven request stay apart.
  /// @param leafName the leaf
  /// @param fingerprint its fingerprint
  /// @param now current time
  /// @return whether it may; O(unproven requests on the leaf)
  bool mayRunOnLeaf(std::string_view leafName, const Fingerprint &fingerprint,
                    WallTime now);

  /// @brief Position among `leaves` where a suspect's next canary runs.
  /// Suspects of one crash get different positions on whichever host they run.
  /// @param fingerprint its fingerprint
  /// @param leaves number of leaves to choose from, not 0
  /// @return the position; O(fingerprints)
  std::size_t canaryLeafIndex(const Fingerprint &fingerprint,
                              std::size_t leaves) const;

  /// @brief Notes that an attempt was sent.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onStart(std::string_view leafName, const Fingerprint &fingerprint);

  /// @brief Notes an answered attempt.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param now current time
  /// @return records to tell other hosts
  std::vector<QuarantineRecord> onSuccess(std::string_view leafName,
                                          const Fingerprint &fingerprint,
                                          WallTime now);

  /// @brief Notes an attempt whose connection broke after it was sent.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  /// @param now current time
  void onConnectionBroken(std::string_view leafName,
                          const Fingerprint &fingerprint, WallTime now);

  /// @brief Notes an attempt that ended in any other way.
  /// @param leafName the leaf
  /// @param fingerprint the request's fingerprint
  void onOtherOutcome(std::string_view leafName,
                      const Fingerprint &fingerprint);

  /// @brief Notes that a leaf refuses connections or has restarted; together
  /// with a break shortly before, it has crashed.
  /// @param leafName the leaf
  /// @param crash id of the crash, if it is one
  /// @param now current time
  /// @return records to tell other hosts, before the callers are answered
  std::vector<QuarantineRecord>
  onLeafDownOrRestarted(std::string_view leafName, CrashId crash, WallTime now);

  /// @brief Notes that a leaf which broke connections answers with the same
  /// incarnation: it did not crash.
  /// @param leafName the leaf
  void onLeafAlive(std::string_view leafName);

  /// @brief Takes records of other hosts in; the order and repetition of calls
  /// do not matter.
  /// @param records the records
  /// @param now current time
  void merge(std::span<const QuarantineRecord> records, WallTime now);

  /// @brief All records in force, for a host that starts.
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
  };

  void add(const QuarantineRecord &record, WallTime now);
  void evictOldest();
  void dropExpired(History &history, WallTime now) const;
  std::size_t countUnconfirmedBreaks(const Fingerprint &fingerprint,
                                     WallTime now);
  void removeUnproven(std::string_view leafName,
                      const Fingerprint &fingerprint);
  bool isSuspect(const Fingerprint &fingerprint, WallTime now);

  QuarantineSettings Settings;
  FingerprintSet KnownGood;
  std::unordered_map<Fingerprint, History, FingerprintHash> Histories;
  std::unordered_map<std::string, LeafActivity> Leaves;
};

} // namespace savorytrestle::core

#endif
