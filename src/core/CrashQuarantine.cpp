#include "savorytrestle/core/CrashQuarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

/// Crashes kept for a fingerprint; those beyond the two or three that
/// quarantine it change no decision.
constexpr std::size_t MaxCrashesKept = 4;
/// Broken attempts kept for a leaf; a host has fewer connections to a leaf.
constexpr std::size_t MaxBrokenAttemptsKept = 128;

} // namespace

CrashId makeCrashId(std::string_view leafName, std::uint64_t incarnation) {
  return XXH3_64bits_withSeed(leafName.data(), leafName.size(), incarnation);
}

CrashQuarantine::CrashQuarantine(QuarantineSettings settings)
    : Settings(settings), KnownGood(settings.MaxKnownGood) {}

QuarantineVerdict CrashQuarantine::check(const Fingerprint &fingerprint,
                                         WallTime now) {
  std::size_t crashes = 0;
  if (const auto it = Histories.find(fingerprint); it != Histories.end()) {
    auto &history = it->second;
    dropExpired(history, now);
    crashes = history.Crashes.size();
    if (crashes >= Settings.QuarantineAfterCrashes) {
      const auto last = std::max_element(
          history.Crashes.begin(), history.Crashes.end(),
          [](const auto &a, const auto &b) { return a.At < b.At; });
      return {RunPermission::Refused, last->At + Settings.RecordLifetime - now};
    }
  }
  // A broken attempt that is not confirmed yet may prove to be the last crash
  // allowed. The request is refused until then, as it could crash another leaf.
  const auto unconfirmed = countUnconfirmedBreaks(fingerprint, now);
  if (crashes + unconfirmed >= Settings.QuarantineAfterCrashes)
    return {RunPermission::Refused, Settings.ConfirmationWindow};
  if (crashes + unconfirmed > 0)
    return {RunPermission::Suspect, {}};
  return {KnownGood.contains(fingerprint) ? RunPermission::Unrestricted
                                          : RunPermission::Canary,
          {}};
}

std::size_t CrashQuarantine::crashCount(const Fingerprint &fingerprint,
                                        WallTime now) {
  const auto it = Histories.find(fingerprint);
  if (it == Histories.end())
    return 0;
  dropExpired(it->second, now);
  return it->second.Crashes.size();
}

bool CrashQuarantine::isSuspect(const Fingerprint &fingerprint, WallTime now) {
  return check(fingerprint, now).Permission == RunPermission::Suspect;
}

bool CrashQuarantine::mayRunOnLeaf(std::string_view leafName,
                                   const Fingerprint &fingerprint,
                                   WallTime now) {
  const bool suspect = isSuspect(fingerprint, now);
  const auto it = Leaves.find(std::string(leafName));
  if (it == Leaves.end())
    return true;
  // isSuspect() erases only entries without unproven requests, so `it` stays
  // valid.
  return std::none_of(it->second.Unproven.begin(), it->second.Unproven.end(),
                      [&](const auto &other) {
                        return other != fingerprint &&
                               (suspect || isSuspect(other, now));
                      });
}

std::size_t CrashQuarantine::canaryLeafIndex(const Fingerprint &fingerprint,
                                             std::size_t leaves) const {
  const auto own = Histories.find(fingerprint);
  if (own == Histories.end() || own->second.Crashes.empty())
    return fingerprint.High % leaves;
  // The suspects of a crash are ranked by fingerprint and each runs on a leaf
  // of its own, so that a further crash has a single suspect.
  const CrashId crash = own->second.Crashes.back().Id;
  std::size_t before = 0;
  for (const auto &[other, history] : Histories)
    if (other < fingerprint &&
        std::any_of(history.Crashes.begin(), history.Crashes.end(),
                    [&](const auto &known) { return known.Id == crash; }))
      ++before;
  return (crash % leaves + before) % leaves;
}

void CrashQuarantine::onStart(std::string_view leafName,
                              const Fingerprint &fingerprint) {
  if (!KnownGood.contains(fingerprint))
    Leaves[std::string(leafName)].Unproven.push_back(fingerprint);
}

std::vector<QuarantineRecord>
CrashQuarantine::onSuccess(std::string_view leafName,
                           const Fingerprint &fingerprint, WallTime now) {
  removeUnproven(leafName, fingerprint);
  KnownGood.insert(fingerprint);
  const auto it = Histories.find(fingerprint);
  if (it == Histories.end() || it->second.Crashes.empty())
    return {};
  const QuarantineRecord record{fingerprint, QuarantineEvent::Success, 0, now};
  add(record, now);
  return {record};
}

void CrashQuarantine::onConnectionBroken(std::string_view leafName,
                                         const Fingerprint &fingerprint,
                                         WallTime now) {
  removeUnproven(leafName, fingerprint);
  addAttempt(Leaves[std::string(leafName)].BrokenAttempts, fingerprint, now);
}

void CrashQuarantine::onAbandoned(std::string_view leafName,
                                  const Fingerprint &fingerprint,
                                  WallTime now) {
  removeUnproven(leafName, fingerprint);
  addAttempt(Leaves[std::string(leafName)].AbandonedAttempts, fingerprint, now);
}

void CrashQuarantine::addAttempt(std::vector<BrokenAttempt> &attempts,
                                 const Fingerprint &fingerprint, WallTime now) {
  if (attempts.size() >= MaxBrokenAttemptsKept)
    attempts.erase(attempts.begin());
  attempts.push_back({fingerprint, now});
}

void CrashQuarantine::onOtherOutcome(std::string_view leafName,
                                     const Fingerprint &fingerprint) {
  removeUnproven(leafName, fingerprint);
}

std::vector<QuarantineRecord>
CrashQuarantine::onLeafDownOrRestarted(std::string_view leafName, CrashId crash,
                                       WallTime now, bool wasDraining) {
  const auto it = Leaves.find(std::string(leafName));
  if (it == Leaves.end())
    return {};
  auto broken = std::exchange(it->second.BrokenAttempts, {});
  std::erase_if(broken, [&](const auto &b) {
    return now - b.At > Settings.ConfirmationWindow;
  });
  for (const auto &attempt : std::exchange(it->second.AbandonedAttempts, {}))
    if (!wasDraining && now - attempt.At <= Settings.AbandonedWindow)
      broken.push_back(attempt);
  // The crash is not recorded for fingerprints known to be good if an unproven
  // one broke too. If all are known to be good it is recorded for each: the
  // index or the leaf's program may have changed since.
  const bool anyUnproven =
      std::any_of(broken.begin(), broken.end(), [&](const auto &b) {
        return !KnownGood.contains(b.RequestFingerprint);
      });
  std::vector<QuarantineRecord> records;
  for (const auto &[fingerprint, at] : broken) {
    if (anyUnproven && KnownGood.contains(fingerprint))
      continue;
    const QuarantineRecord record{fingerprint, QuarantineEvent::Crash, crash,
                                  now};
    if (std::find(records.begin(), records.end(), record) == records.end())
      records.push_back(record);
  }
  merge(records, now);
  return records;
}

void CrashQuarantine::onLeafAlive(std::string_view leafName) {
  if (const auto it = Leaves.find(std::string(leafName)); it != Leaves.end())
    it->second.BrokenAttempts.clear();
}

void CrashQuarantine::merge(std::span<const QuarantineRecord> records,
                            WallTime now) {
  for (const auto &record : records)
    add(record, now);
}

void CrashQuarantine::add(const QuarantineRecord &record, WallTime now) {
  if (record.At + Settings.RecordLifetime <= now)
    return;
  auto &history = Histories[record.RequestFingerprint];
  history.NewestRecordAt = std::max(history.NewestRecordAt, record.At);
  if (record.Event == QuarantineEvent::Success) {
    history.ClearedAt = std::max(history.ClearedAt, record.At);
  } else {
    if (record.At > history.ClearedAt)
      KnownGood.erase(record.RequestFingerprint);
    const auto it = std::find_if(
        history.Crashes.begin(), history.Crashes.end(),
        [&](const auto &known) { return known.Id == record.Crash; });
    if (it == history.Crashes.end())
      history.Crashes.push_back({record.Crash, record.At});
    else
      it->At = std::max(it->At, record.At);
    std::sort(history.Crashes.begin(), history.Crashes.end(),
              [](const auto &a, const auto &b) {
                return std::tie(b.At, b.Id) < std::tie(a.At, a.Id);
              });
    if (history.Crashes.size() > MaxCrashesKept)
      history.Crashes.resize(MaxCrashesKept);
  }
  dropExpired(history, now);
  if (Histories.size() > Settings.MaxFingerprints)
    evictOldest();
}

void CrashQuarantine::dropExpired(History &history, WallTime now) const {
  std::erase_if(history.Crashes, [&](const auto &known) {
    return known.At <= history.ClearedAt ||
           known.At + Settings.RecordLifetime <= now;
  });
}

void CrashQuarantine::evictOldest() {
  const auto oldest = std::min_element(
      Histories.begin(), Histories.end(), [](const auto &a, const auto &b) {
        return std::tie(a.second.NewestRecordAt, a.first) <
               std::tie(b.second.NewestRecordAt, b.first);
      });
  Histories.erase(oldest);
}

std::size_t
CrashQuarantine::countUnconfirmedBreaks(const Fingerprint &fingerprint,
                                        WallTime now) {
  std::size_t unconfirmed = 0;
  for (auto &[name, leaf] : Leaves) {
    std::erase_if(leaf.BrokenAttempts, [&](const auto &b) {
      return now - b.At > Settings.ConfirmationWindow;
    });
    if (std::any_of(
            leaf.BrokenAttempts.begin(), leaf.BrokenAttempts.end(),
            [&](const auto &b) { return b.RequestFingerprint == fingerprint; }))
      ++unconfirmed;
  }
  for (auto &[name, leaf] : Leaves)
    std::erase_if(leaf.AbandonedAttempts, [&](const auto &it) {
      return now - it.At > Settings.AbandonedWindow;
    });
  std::erase_if(Leaves, [](const auto &entry) { return entry.second.empty(); });
  return unconfirmed;
}

void CrashQuarantine::removeUnproven(std::string_view leafName,
                                     const Fingerprint &fingerprint) {
  const auto leaf = Leaves.find(std::string(leafName));
  if (leaf == Leaves.end())
    return;
  auto &unproven = leaf->second.Unproven;
  if (const auto it = std::find(unproven.begin(), unproven.end(), fingerprint);
      it != unproven.end())
    unproven.erase(it);
  if (leaf->second.empty())
    Leaves.erase(leaf);
}

std::vector<QuarantineRecord> CrashQuarantine::records(WallTime now) {
  std::vector<QuarantineRecord> all;
  for (auto &[fingerprint, history] : Histories) {
    dropExpired(history, now);
    if (history.ClearedAt != WallTime::min() &&
        history.ClearedAt + Settings.RecordLifetime > now)
      all.push_back(
          {fingerprint, QuarantineEvent::Success, 0, history.ClearedAt});
    for (const auto &[crash, at] : history.Crashes)
      all.push_back({fingerprint, QuarantineEvent::Crash, crash, at});
  }
  std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return std::tie(a.RequestFingerprint, a.Event, a.Crash) <
           std::tie(b.RequestFingerprint, b.Event, b.Crash);
  });
  return all;
}

} // namespace savorytrestle::core
