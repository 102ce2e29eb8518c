#include "backend/CrashGuard.h"

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
  constexpr std::size_t Fields = 5;
  if (!item.is_array() || item.size() != Fields || !item[0].is_number() ||
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

CrashGuard::CrashGuard(std::function<void()> onRecords)
    : OnRecords(std::move(onRecords)), Quarantine(core::QuarantineSettings{}) {}

core::QuarantineVerdict CrashGuard::check(const core::Fingerprint &print) {
  const std::lock_guard guard(Lock);
  return Quarantine.check(print, wallNow());
}

bool CrashGuard::mayShare(const std::string &leafName,
                          const core::Fingerprint &print) {
  const std::lock_guard guard(Lock);
  return Quarantine.mayRunOnLeaf(leafName, print, wallNow());
}

void CrashGuard::onStart(const std::string &leafName,
                         const core::Fingerprint &print) {
  const std::lock_guard guard(Lock);
  Quarantine.onStart(leafName, print);
}

void CrashGuard::onEnd(const std::string &leafName,
                       const core::Fingerprint &print,
                       const core::AttemptResult &result) {
  std::vector<QuarantineRecord> found;
  {
    const std::lock_guard guard(Lock);
    if (result.Failure == core::AttemptFailure::ConnectionLost)
      Quarantine.onConnectionBroken(leafName, print, wallNow());
    else if (!result.Failure && !result.Cancelled)
      found = Quarantine.onSuccess(leafName, print, wallNow());
    else
      Quarantine.onOtherOutcome(leafName, print);
  }
  publish(found);
}

void CrashGuard::onBystander(const std::string &leafName,
                             const core::Fingerprint &print) {
  const std::lock_guard guard(Lock);
  Quarantine.onOtherOutcome(leafName, print);
}

void CrashGuard::onLeafGone(const std::string &leafName,
                            std::uint64_t incarnation) {
  std::vector<QuarantineRecord> found;
  {
    const std::lock_guard guard(Lock);
    found = Quarantine.onLeafDownOrRestarted(
        leafName, core::makeCrashId(leafName, incarnation), wallNow());
  }
  for (const auto &record : found)
    support::LogLine("leaf_crash")
        .with("leaf", leafName)
        .with("crash", record.Crash)
        .with("fingerprint", record.RequestFingerprint.Low);
  publish(found);
}

void CrashGuard::onLeafAlive(const std::string &leafName) {
  const std::lock_guard guard(Lock);
  Quarantine.onLeafAlive(leafName);
}

std::string CrashGuard::recordsText() {
  const std::lock_guard guard(Lock);
  json list = json::array();
  for (const auto &record : Quarantine.records(wallNow()))
    list.push_back(toJson(record));
  return list.dump();
}

void CrashGuard::merge(const std::string &text) {
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

void CrashGuard::publish(const std::vector<QuarantineRecord> &found) {
  if (!found.empty() && OnRecords)
    OnRecords();
}

} // namespace savorytrestle::backend
