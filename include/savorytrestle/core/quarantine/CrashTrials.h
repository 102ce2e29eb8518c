#ifndef SAVORYTRESTLE_CORE_QUARANTINE_CRASH_TRIALS_H
#define SAVORYTRESTLE_CORE_QUARANTINE_CRASH_TRIALS_H

/// @file
/// @brief Lets one host at a time run a request under which leaves have ended.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "savorytrestle/core/Fingerprint.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief What the store holds of the trials of one request.
struct TrialRecord {
  /// Number of the newest trial; trials are numbered from 1.
  std::uint32_t Number = 0;
  /// Trials in which leaves ended.
  std::uint32_t Failed = 0;
  /// Earlier trials that ended without a word from their hosts.
  std::uint32_t Lapsed = 0;
  /// Whether the newest trial has no result yet.
  bool Open = false;
  /// Time after which an open trial has lapsed.
  std::chrono::milliseconds Lifetime{0};
  /// Host of the newest trial.
  std::string Host;

  bool operator==(const TrialRecord &) const = default;
};

/// @brief A write of a record that holds only if the stored one is unchanged.
struct TrialWrite {
  Fingerprint RequestFingerprint;
  /// Revision of the record that is replaced; 0 if there is none.
  std::uint64_t ExpectedRevision = 0;
  /// The new record; nothing to remove it.
  std::optional<TrialRecord> Record;
};

/// @brief Reply of the store to a @ref TrialWrite.
struct TrialReply {
  enum class Kind {
    Written, ///< the store holds the record
    Changed, ///< the stored record is another one; nothing was written
    Unknown, ///< the store has not replied
  };
  Kind Result = Kind::Unknown;
  /// Revision of the record, if it was written.
  std::uint64_t Revision = 0;
};

/// @brief The trials of requests on probation, as this host knows them.
///
/// A request is on probation once a leaf has ended under it. From then on each
/// run of it is a trial, and a trial starts only with a write that replaces the
/// record of the last one: at most one host has an open trial, and it knows
/// the result of all before, since results are written before the record that
/// closes their trial or with it. A trial whose host says nothing for its
/// lifetime has lapsed; as leaves may have ended in it, it counts like one in
/// which they did.
///
/// While the store doesn't reply, each host has trials of its own, one at a
/// time.
class CrashTrials {
public:
  /// Time within which the store must reply to a write.
  static constexpr std::chrono::milliseconds GrantTimeout{500};
  /// Time from asking for a trial to the start of its run, at most.
  static constexpr std::chrono::milliseconds MaxGrantAge{1000};
  /// Time from a run's end to the close of its trial, at most.
  static constexpr std::chrono::milliseconds SettleTime{2000};
  /// Longest wait that a refusal states.
  static constexpr std::chrono::milliseconds MaxRetryAfter{500};
  /// Pause of a host after a write that met another record, within which it
  /// usually hears of that record.
  static constexpr std::chrono::milliseconds ChangedPause{300};
  /// Time without a reply from which on the store counts as away, unless this
  /// host has not asked for longer than the pause.
  static constexpr std::chrono::milliseconds AwayAfter{2000};
  static constexpr std::chrono::milliseconds MaxAwayPause{5000};
  /// Trials that a host may ask for at once, and each second.
  static constexpr double MaxGrants = 8;
  static constexpr double GrantsPerSecond = 4;
  /// Failed and lapsed trials from which on there are no more.
  static constexpr std::uint32_t MaxFailures = 3;
  /// Time for which a record is kept without a change.
  static constexpr std::chrono::milliseconds RecordLifetime =
      std::chrono::hours(24);

  /// @param ownHost id of this host's process
  explicit CrashTrials(std::string ownHost = "")
      : OwnHost(std::move(ownHost)) {}

  /// @brief Names this host's process in records.
  void setOwnHost(std::string host) { OwnHost = std::move(host); }

  /// @brief Takes in a record of the store. O(1).
  /// @param revision the record's revision in the store
  void onRecord(const Fingerprint &fingerprint, const TrialRecord &record,
                std::uint64_t revision, TimePoint now);

  /// @brief The store no longer holds a record. O(1).
  /// @param revision revision from which on it doesn't
  void onRecordRemoved(const Fingerprint &fingerprint, std::uint64_t revision);

  /// @brief The store has come back from an older copy: its records and
  /// revisions are others.
  void forgetRecords();

  /// @brief Drops what no longer decides anything. O(requests).
  void prune(TimePoint now);

  /// @brief Whether the store holds a record of a request, or this host has a
  /// trial of it.
  bool contains(const Fingerprint &fingerprint) const;

  /// @brief Time after which a caller may come again; nothing if this host may
  /// ask for a trial now. O(1).
  std::optional<std::chrono::milliseconds>
  waitFor(const Fingerprint &fingerprint, TimePoint now);

  /// @brief Begins to ask for a trial; @ref waitFor must have allowed it.
  /// @param timeLimit longest time that the run may take
  /// @return what has to be written to the store
  TrialWrite take(const Fingerprint &fingerprint,
                  std::chrono::milliseconds timeLimit, TimePoint now);

  /// @brief The store has replied to @ref take, or will not.
  /// @return whether the request may be run now; if so @ref close follows
  bool onTakeReply(const Fingerprint &fingerprint, const TrialReply &reply,
                   TimePoint now);

  /// @brief Ends this host's trial of a request.
  /// @param leafEnded whether leaves ended in its run
  /// @param keepsRecord whether runs of the request in which leaves ended are
  /// still known
  /// @return what has to be written; nothing if the store doesn't know of the
  /// trial
  std::optional<TrialWrite> close(const Fingerprint &fingerprint,
                                  bool leafEnded, bool keepsRecord,
                                  TimePoint now);

  /// @brief Closes the trials of this process that it has not run, since the
  /// grant came too late or got lost. O(requests).
  /// @return what has to be written; @ref onCloseReply follows
  std::vector<TrialWrite> closeAbandoned(TimePoint now);

  /// @brief The store has replied to the write of @ref close, or will not.
  void onCloseReply(const TrialWrite &write, const TrialReply &reply,
                    TimePoint now);

  /// @brief Whether a request has failed so many trials that there are no more.
  bool exhausted(const Fingerprint &fingerprint, TimePoint now) const;

  /// @brief Trials of a request that have lapsed.
  std::uint32_t lapsed(const Fingerprint &fingerprint, TimePoint now) const;

  /// @brief Time until the record of a request is removed for its age.
  std::chrono::milliseconds recordTimeLeft(const Fingerprint &fingerprint,
                                           TimePoint now) const;

  /// @brief Number of requests with a record or a trial.
  std::size_t size() const { return Requests.size(); }

private:
  /// State of this host's trial.
  enum class OwnTrial { None, Asked, Running, Closing };

  struct Request {
    std::optional<TrialRecord> Stored;
    /// What records of a store had that has come back from an older copy.
    std::uint32_t LeastFailed = 0;
    std::uint32_t LeastLapsed = 0;
    std::uint64_t Revision = 0;
    /// When this host learned of the stored record.
    TimePoint SeenAt{};
    OwnTrial Own = OwnTrial::None;
    TimePoint AskedAt{};
    /// The record that this host asked to write.
    TrialRecord Asked;
    /// This host asks for no trial before.
    TimePoint NotBefore{};
  };

  static bool hasLapsed(const Request &request, TimePoint now);
  /// Takes in what this host has written itself.
  static void onWritten(Request &request, const TrialRecord &record,
                        std::uint64_t revision, TimePoint now);
  void refillGrants(TimePoint now);

  std::string OwnHost;
  std::unordered_map<Fingerprint, Request, FingerprintHash> Requests;
  /// Trials that may be asked for now.
  double Grants = MaxGrants;
  TimePoint GrantsAt{};
  /// Since when the store has not replied, and when it last did not.
  std::optional<TimePoint> AwaySince;
  TimePoint LastUnknownAt{};
};

} // namespace savorytrestle::core

#endif
