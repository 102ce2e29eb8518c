#include "registry/HostEntry.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "support/BoundedJson.h"

namespace savorytrestle::registry {

using core::QuarantineEvent;
using core::QuarantineRecord;
using core::WallTime;
using nlohmann::json;

namespace {

constexpr const char *CrashEventName = "broke";
constexpr const char *SuccessEventName = "ok";
/// Keeps the item below some tens of kilobytes.
constexpr std::size_t MaxRateLimits = 256;

json encodeRun(const core::LeafRun &run) {
  return {{"leaf", run.Id},
          {"address", run.Address},
          {"started_at", run.StartedAt}};
}

core::LeafRun decodeRun(const json &object) {
  return {object.at("leaf").get<std::string>(),
          object.at("address").get<std::string>(),
          object.at("started_at").get<std::int64_t>()};
}

json encodeRecord(const QuarantineRecord &record, WallTime now) {
  return {{"high", record.RequestFingerprint.High},
          {"low", record.RequestFingerprint.Low},
          {"event", record.Event == QuarantineEvent::Crash ? CrashEventName
                                                           : SuccessEventName},
          {"run", record.Crash},
          {"age_ms",
           std::max(now - record.At, WallTime::duration::zero()).count()}};
}

QuarantineRecord decodeRecord(const json &object, WallTime now) {
  QuarantineRecord record;
  record.RequestFingerprint = {object.at("high").get<std::uint64_t>(),
                               object.at("low").get<std::uint64_t>()};
  record.Event = object.at("event").get<std::string>() == CrashEventName
                     ? QuarantineEvent::Crash
                     : QuarantineEvent::Success;
  record.Crash = object.at("run").get<core::CrashId>();
  record.At = now - WallTime::duration(object.at("age_ms").get<std::int64_t>());
  return record;
}

} // namespace

std::string encodeHostEntry(const HostEntry &entry, WallTime now) {
  json object{{"failure_domain", entry.FailureDomain},
              {"callers", entry.CallerAddress},
              {"peers", entry.PeerAddress}};
  for (const QuarantineRecord &record : entry.QuarantineRecords)
    object["crashes"].push_back(encodeRecord(record, now));
  for (const core::LeafRun &run : entry.LeavingLeaves)
    object["leaving"].push_back(encodeRun(run));
  for (const auto &[run, perSecond] : entry.RateLimits) {
    if (object["limits"].size() >= MaxRateLimits)
      break;
    json limit = encodeRun(run);
    limit["per_second"] = perSecond;
    object["limits"].push_back(std::move(limit));
  }
  for (const core::LeafRun &run : entry.EndedRateLimits) {
    if (object["limits_ended"].size() >= MaxRateLimits)
      break;
    object["limits_ended"].push_back(encodeRun(run));
  }
  if (entry.KeepsWorkspaces)
    object["workspaces"] = true;
  if (entry.ReadsCrashRuns)
    object["crash_runs"] = true;
  if (entry.LeavesLost)
    object["leaves_lost"] = true;
  return object.dump();
}

core::Result<HostEntry> decodeHostEntry(const std::string &id,
                                        std::string_view text, WallTime now) {
  return support::decodeJson<HostEntry>(text, [&](const json &object) {
    HostEntry entry{id, object.at("failure_domain").get<std::string>(),
                    object.at("callers").get<std::string>(),
                    object.value("peers", "")};
    for (const json &record : object.value("crashes", json::array()))
      entry.QuarantineRecords.push_back(decodeRecord(record, now));
    for (const json &run : object.value("leaving", json::array()))
      entry.LeavingLeaves.push_back(decodeRun(run));
    for (const json &limit : object.value("limits", json::array()))
      if (const double rate = limit.at("per_second").get<double>();
          rate >= 0 && entry.RateLimits.size() < MaxRateLimits)
        entry.RateLimits.emplace(decodeRun(limit), rate);
    for (const json &run : object.value("limits_ended", json::array()))
      if (entry.EndedRateLimits.size() < MaxRateLimits)
        entry.EndedRateLimits.insert(decodeRun(run));
    entry.LeavesLost = object.value("leaves_lost", false);
    entry.KeepsWorkspaces = object.value("workspaces", false);
    entry.ReadsCrashRuns = object.value("crash_runs", false);
    return entry;
  });
}

} // namespace savorytrestle::registry
