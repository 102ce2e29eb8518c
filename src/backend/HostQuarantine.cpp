#include "backend/HostQuarantine.h"

#include <nlohmann/json.hpp>

#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::backend {

using core::QuarantineEvent;
using core::QuarantineRecord;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

core::WallTime wallNow() {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

json toJson(const QuarantineRecord &record) {
  return {record.RequestFingerprint.High, record.RequestFingerprint.Low,
          record.Event == QuarantineEvent::Crash, record.Crash,
          record.At.time_since_epoch().count()};
}

std::optional<QuarantineRecord> fromJson(const json &item) {
  constexpr std::size_t FieldCount = 5;
  if (!item.is_array() || item.size() != FieldCount || !item[0].is_number() ||
      !item[1].is_number() || !item[2].is_boolean() || !item[3].is_number() ||
      !item[4].is_number())
    return std::nullopt;
  QuarantineRecord record;
  record.RequestFingerprint = {item[0].get<std::uint64_t>(),
                               item[1].get<std::uint64_t>()};
  record.Event =
      item[2].get<bool>() ? QuarantineEvent::Crash : QuarantineEvent::Success;
  record.Crash = item[3].get<std::uint64_t>();
  record.At = core::WallTime(milliseconds(item[4].get<std::int64_t>()));
  return record;
}

} // namespace

HostQuarantine::HostQuarantine(std::function<void()> onNewRecords)
    : OnNewRecords(std::move(onNewRecords)),
      Quarantine(core::QuarantineSettings{}) {}

core::QuarantineVerdict
HostQuarantine::check(const core::Fingerprint &fingerprint) {
  const std::lock_guard guard(Lock);
  return Quarantine.check(fingerprint, wallNow());
}

bool HostQuarantine::mayRunOnLeaf(const std::string &leafName,
                                  const core::Fingerprint &fingerprint) {
  const std::lock_guard guard(Lock);
  return Quarantine.mayRunOnLeaf(leafName, fingerprint, wallNow());
}

void HostQuarantine::onStart(const std::string &leafName,
                             const core::Fingerprint &fingerprint) {
  const std::lock_guard guard(Lock);
  Quarantine.onStart(leafName, fingerprint);
}

void HostQuarantine::onEnd(const std::string &leafName,
                           const core::Fingerprint &fingerprint,
                           const core::AttemptResult &result) {
  std::vector<QuarantineRecord> newRecords;
  {
    const std::lock_guard guard(Lock);
    if (result.Failure == core::AttemptFailure::ConnectionLost)
      Quarantine.onConnectionBroken(leafName, fingerprint, wallNow());
    else if (!result.Failure && !result.Cancelled)
      newRecords = Quarantine.onSuccess(leafName, fingerprint, wallNow());
    else if (result.Cancelled ||
             result.Failure == core::AttemptFailure::Expired)
      Quarantine.onAbandoned(leafName, fingerprint, wallNow());
    else
      Quarantine.onOtherOutcome(leafName, fingerprint);
  }
  notifyNewRecords(newRecords);
}

void HostQuarantine::onOtherOutcome(const std::string &leafName,
                                    const core::Fingerprint &fingerprint) {
  const std::lock_guard guard(Lock);
  Quarantine.onOtherOutcome(leafName, fingerprint);
}

void HostQuarantine::onLeafDownOrRestarted(const std::string &leafName,
                                           std::uint64_t incarnation,
                                           bool wasDraining) {
  std::vector<QuarantineRecord> newRecords;
  {
    const std::lock_guard guard(Lock);
    newRecords = Quarantine.onLeafDownOrRestarted(
        leafName, core::makeCrashId(leafName, incarnation), wallNow(),
        wasDraining);
  }
  for (const auto &record : newRecords)
    support::LogLine("leaf_crash")
        .with("leaf", leafName)
        .with("crash", record.Crash)
        .with("fingerprint", record.RequestFingerprint.Low);
  notifyNewRecords(newRecords);
}

void HostQuarantine::onLeafAlive(const std::string &leafName) {
  const std::lock_guard guard(Lock);
  Quarantine.onLeafAlive(leafName);
}

std::string HostQuarantine::recordsJson() {
  const std::lock_guard guard(Lock);
  json list = json::array();
  for (const auto &record : Quarantine.records(wallNow()))
    list.push_back(toJson(record));
  return list.dump();
}

void HostQuarantine::merge(const std::string &text) {
  const json list = support::parseJsonOrDiscarded(text);
  if (!list.is_array())
    return;
  std::vector<QuarantineRecord> records;
  for (const auto &item : list)
    if (const auto record = fromJson(item))
      records.push_back(*record);
  const std::lock_guard guard(Lock);
  Quarantine.merge(records, wallNow());
}

void HostQuarantine::notifyNewRecords(
    const std::vector<QuarantineRecord> &newRecords) {
  if (!newRecords.empty() && OnNewRecords)
    OnNewRecords();
}

} // namespace savorytrestle::backend
