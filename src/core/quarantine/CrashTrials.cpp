#include "savorytrestle/core/quarantine/CrashTrials.h"

#include <algorithm>

namespace savorytrestle::core {

using std::chrono::milliseconds;

void CrashTrials::onRecord(const Fingerprint &fingerprint,
                           const TrialRecord &record, std::uint64_t revision,
                           TimePoint now) {
  Request &request = Requests[fingerprint];
  // What this host has written itself arrives later than the reply.
  if (request.Stored && revision <= request.Revision)
    return;
  onWritten(request, record, revision, now);
}

void CrashTrials::onWritten(Request &request, const TrialRecord &record,
                            std::uint64_t revision, TimePoint now) {
  request.Stored = record;
  request.Stored->Failed = std::max(record.Failed, request.LeastFailed);
  request.Stored->Lapsed = std::max(record.Lapsed, request.LeastLapsed);
  request.Revision = revision;
  request.SeenAt = now;
}

void CrashTrials::onRecordRemoved(const Fingerprint &fingerprint,
                                  std::uint64_t revision) {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end() || revision < it->second.Revision)
    return;
  Request &request = it->second;
  request.Stored.reset();
  request.Revision = 0;
  request.LeastFailed = 0;
  request.LeastLapsed = 0;
}

void CrashTrials::forgetRecords() {
  for (auto &[fingerprint, request] : Requests) {
    if (request.Stored) {
      request.LeastFailed = request.Stored->Failed;
      request.LeastLapsed = request.Stored->Lapsed;
    }
    request.Stored.reset();
    request.Revision = 0;
  }
}

void CrashTrials::prune(TimePoint now) {
  std::erase_if(Requests, [now](const auto &it) {
    const Request &request = it.second;
    return !request.Stored && request.Own == OwnTrial::None &&
           request.NotBefore <= now &&
           ((request.LeastFailed == 0 && request.LeastLapsed == 0) ||
            request.SeenAt + RecordLifetime <= now);
  });
}

bool CrashTrials::contains(const Fingerprint &fingerprint) const {
  const auto it = Requests.find(fingerprint);
  return it != Requests.end() &&
         (it->second.Stored || it->second.Own != OwnTrial::None);
}

bool CrashTrials::hasLapsed(const Request &request, TimePoint now) {
  return request.Stored && request.Stored->Open &&
         now >= request.SeenAt + request.Stored->Lifetime;
}

std::optional<milliseconds> CrashTrials::waitFor(const Fingerprint &fingerprint,
                                                 TimePoint now) {
  refillGrants(now);
  const auto it = Requests.find(fingerprint);
  if (it != Requests.end()) {
    const Request &request = it->second;
    if (request.Own == OwnTrial::Asked || request.Own == OwnTrial::Running)
      return MaxRetryAfter;
    if (now < request.NotBefore)
      return std::chrono::ceil<milliseconds>(request.NotBefore - now);
    // A trial of this process that it doesn't have is one whose grant came too
    // late or not at all.
    if (request.Stored && request.Stored->Open &&
        request.Stored->Host != OwnHost && !hasLapsed(request, now))
      return std::min(MaxRetryAfter,
                      std::chrono::ceil<milliseconds>(
                          request.SeenAt + request.Stored->Lifetime - now));
  }
  if (Grants < 1)
    return MaxRetryAfter;
  return std::nullopt;
}

void CrashTrials::refillGrants(TimePoint now) {
  const std::chrono::duration<double> passed = now - GrantsAt;
  Grants = std::min(MaxGrants, Grants + passed.count() * GrantsPerSecond);
  GrantsAt = now;
}

TrialWrite CrashTrials::take(const Fingerprint &fingerprint,
                             milliseconds timeLimit, TimePoint now) {
  Grants -= 1;
  Request &request = Requests[fingerprint];
  TrialRecord record{
      .Number = 1,
      .Open = true,
      .Lifetime = MaxGrantAge + timeLimit + SettleTime,
      .Host = OwnHost,
  };
  record.Failed = request.LeastFailed;
  record.Lapsed = request.LeastLapsed;
  if (request.Stored) {
    record.Number = request.Stored->Number + 1;
    record.Failed = request.Stored->Failed;
    record.Lapsed = request.Stored->Lapsed;
    if (request.Stored->Open && request.Stored->Host != OwnHost)
      ++record.Lapsed;
  }
  request.Own = OwnTrial::Asked;
  request.AskedAt = now;
  request.Asked = record;
  return {fingerprint, request.Revision, std::move(record)};
}

bool CrashTrials::onTakeReply(const Fingerprint &fingerprint,
                              const TrialReply &reply, TimePoint now) {
  Request &request = Requests[fingerprint];
  const bool late = now - request.AskedAt > MaxGrantAge;
  request.Own = OwnTrial::None;
  switch (reply.Result) {
  case TrialReply::Kind::Written:
    AwaySince.reset();
    onWritten(request, request.Asked, reply.Revision, now);
    // This process may have been paused meanwhile, and others may take the
    // trial for lapsed soon.
    if (late)
      return false;
    break;
  case TrialReply::Kind::Changed:
    AwaySince.reset();
    request.NotBefore = now + ChangedPause;
    return false;
  case TrialReply::Kind::Unknown:
    if (!AwaySince || now - LastUnknownAt > MaxAwayPause)
      AwaySince = now;
    LastUnknownAt = now;
    // Other hosts can't be asked either: hosts that are cut off from the store
    // go by what they know.
    if (late || now - *AwaySince < AwayAfter) {
      request.NotBefore = now + ChangedPause;
      return false;
    }
    break;
  }
  request.Own = OwnTrial::Running;
  return true;
}

std::optional<TrialWrite> CrashTrials::close(const Fingerprint &fingerprint,
                                             bool leafEnded, bool keepsRecord,
                                             TimePoint now) {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end() || it->second.Own != OwnTrial::Running)
    return std::nullopt;
  Request &request = it->second;
  request.Own = OwnTrial::None;
  // Another host may have taken this trial for lapsed, or the store never had
  // it.
  const bool known = request.Stored &&
                     request.Stored->Number == request.Asked.Number &&
                     request.Stored->Host == OwnHost;
  if (!known)
    return std::nullopt;
  TrialWrite write{fingerprint, request.Revision, std::nullopt};
  if (keepsRecord) {
    write.Record = request.Asked;
    write.Record->Open = false;
    write.Record->Failed += leafEnded ? 1 : 0;
  }
  // Other hosts wait until the write has succeeded; so does this one, for a
  // while.
  request.Own = OwnTrial::Closing;
  request.NotBefore = now + MaxGrantAge;
  return write;
}

std::vector<TrialWrite> CrashTrials::closeAbandoned(TimePoint now) {
  std::vector<TrialWrite> writes;
  for (auto &[fingerprint, request] : Requests) {
    if (request.Own != OwnTrial::None || !request.Stored ||
        !request.Stored->Open || request.Stored->Host != OwnHost ||
        now < request.NotBefore)
      continue;
    TrialWrite write{fingerprint, request.Revision, request.Stored};
    write.Record->Open = false;
    writes.push_back(std::move(write));
    request.Own = OwnTrial::Closing;
    request.NotBefore = now + MaxGrantAge;
  }
  return writes;
}

void CrashTrials::onCloseReply(const TrialWrite &write, const TrialReply &reply,
                               TimePoint now) {
  const auto it = Requests.find(write.RequestFingerprint);
  if (it == Requests.end())
    return;
  Request &request = it->second;
  if (request.Own == OwnTrial::Closing)
    request.Own = OwnTrial::None;
  switch (reply.Result) {
  case TrialReply::Kind::Written:
    AwaySince.reset();
    request.NotBefore = now;
    // A newer record may have arrived before this reply.
    if (request.Revision != write.ExpectedRevision)
      return;
    if (write.Record)
      return onWritten(request, *write.Record, reply.Revision, now);
    return onRecordRemoved(write.RequestFingerprint, reply.Revision);
  case TrialReply::Kind::Changed:
    AwaySince.reset();
    return;
  case TrialReply::Kind::Unknown:
    return;
  }
}

bool CrashTrials::exhausted(const Fingerprint &fingerprint,
                            TimePoint now) const {
  const auto it = Requests.find(fingerprint);
  return it != Requests.end() && it->second.Stored &&
         it->second.Stored->Failed + lapsed(fingerprint, now) >= MaxFailures;
}

std::uint32_t CrashTrials::lapsed(const Fingerprint &fingerprint,
                                  TimePoint now) const {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end() || !it->second.Stored)
    return 0;
  const Request &request = it->second;
  return request.Stored->Lapsed +
         (request.Stored->Host != OwnHost && hasLapsed(request, now) ? 1 : 0);
}

milliseconds CrashTrials::recordTimeLeft(const Fingerprint &fingerprint,
                                         TimePoint now) const {
  const auto it = Requests.find(fingerprint);
  if (it == Requests.end() || !it->second.Stored)
    return milliseconds(0);
  return std::max(milliseconds(0),
                  std::chrono::ceil<milliseconds>(it->second.SeenAt +
                                                  RecordLifetime - now));
}

} // namespace savorytrestle::core
