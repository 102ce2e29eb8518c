#include "registry/CrashFeed.h"

#include <algorithm>
#include <set>
#include <string_view>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "platform/StoreProtocol.h"
#include "registry/FingerprintText.h"
#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using core::FatalRun;
using nlohmann::json;
using std::chrono::milliseconds;
using store::StoredItem;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Collects the runs that prove to be fatal at the same time in one write.
constexpr milliseconds WriteDelay{100};
constexpr milliseconds RetryDelay{500};
constexpr milliseconds ReplyTimeout{1500};
/// Below what the store accepts in one transaction.
constexpr std::size_t MaxItemsPerWrite = 30;
constexpr milliseconds ExpiryInterval{10000};
/// Hosts that know an item for equally long don't all remove it.
constexpr milliseconds ExpirySpread{60000};
/// Hosts write again between these times after a rise of the era: they read
/// first what has changed since, and share the rest.
constexpr milliseconds MinEraDelay{1000};
constexpr milliseconds MaxEraDelay{5000};

/// Reads what the key holds: fingerprint, run id and first round.
bool parseKey(const std::string &key, FatalRun &run) {
  const auto rest = std::string_view(key).substr(
      std::min(key.size(), std::string_view(CrashRunPrefix).size()));
  const auto fingerprint = parseFingerprint(rest.substr(0, FingerprintDigits));
  if (!fingerprint || rest.size() <= FingerprintDigits ||
      rest[FingerprintDigits] != '/')
    return false;
  run.RequestFingerprint = *fingerprint;
  const std::vector<std::string> parts = absl::StrSplit(
      std::string(rest.substr(FingerprintDigits + 1)), absl::MaxSplits('-', 1));
  return parts.size() == 2 && parseHex(parts[0], run.Id) &&
         absl::SimpleAtoi(parts[1], &run.FirstRound);
}

} // namespace

std::string crashRunKey(const FatalRun &run) {
  return absl::StrCat(CrashRunPrefix, formatFingerprint(run.RequestFingerprint),
                      "/", absl::Hex(run.Id, absl::kZeroPad16), "-",
                      run.FirstRound);
}

std::string encodeCrashRun(const FatalRun &run) {
  return json{{"last_round", run.LastRound}, {"services", run.Services}}.dump();
}

core::Result<FatalRun> decodeCrashRun(const std::string &key,
                                      std::string_view value) {
  return support::decodeJson<FatalRun>(
      value, [&](const json &object) -> core::Result<FatalRun> {
        FatalRun run;
        run.LastRound =
            support::integerWithin<std::uint32_t>(object.at("last_round"));
        for (const json &service : object.value("services", json::array()))
          run.Services.push_back(
              support::integerWithin<core::ServiceHash>(service));
        if (!parseKey(key, run) || run.LastRound < run.FirstRound ||
            run.Services.size() > FatalRun::MaxServices)
          return core::makeError(core::ErrorCode::BadRequest,
                                 "key, rounds or services are out of bounds");
        return run;
      });
}

CrashFeed::CrashFeed(boost::asio::io_context &io,
                     const boost::asio::ip::tcp::endpoint &store,
                     std::shared_ptr<store::EraTracker> eras,
                     RunHandler onAdded, RunHandler onRemoved,
                     KeepsHandler keeps)
    : WriteTimer(io), ExpiryTimer(io),
      Connection(
          std::make_shared<store::StoreConnection>(io, store, std::move(eras))),
      OnAdded(std::move(onAdded)), OnRemoved(std::move(onRemoved)),
      Keeps(std::move(keeps)) {}

void CrashFeed::start(StoreMirror &mirror) {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &items) { self->onList(items); };
  handlers.OnChanges = [self](const auto &items) {
    for (const StoredItem &item : items) {
      self->onItem(item);
      self->dropPendingWrite(item);
    }
  };
  handlers.OnStoreReachable = [] {};
  handlers.OnEraRise = [self] { self->writeAgain(); };
  // An older copy of the store doesn't end a quarantine.
  handlers.KeepsHeld = [](const StoredItem &, const StoredItem *listed) {
    return listed == nullptr;
  };
  mirror.subscribe(CrashRunPrefix, std::move(handlers));
  scheduleExpiry();
}

void CrashFeed::onList(const std::vector<StoredItem> &items) {
  std::set<std::string> missing;
  for (const auto &[key, item] : Items)
    missing.insert(key);
  for (const StoredItem &item : items) {
    missing.erase(item.Key);
    onItem(item);
  }
  for (const std::string &key : missing)
    removeItem(key);
}

void CrashFeed::onItem(const StoredItem &item) {
  if (item.Removed)
    return removeItem(item.Key);
  if (Items.contains(item.Key))
    return;
  const auto run = decodeCrashRun(item.Key, item.Value);
  if (!run) {
    support::LogLine("crash_run_skipped")
        .with("key", item.Key)
        .with("why", run.error().Message);
    return;
  }
  const auto spread = std::uniform_int_distribution<std::int64_t>(
      0, ExpirySpread.count())(Random);
  Items[item.Key] = {*run, SteadyClock::now() + core::CrashLedger::RunLifetime +
                               milliseconds(spread)};
  OnAdded(*run);
}

void CrashFeed::dropPendingWrite(const StoredItem &item) {
  const auto it = Pending.find(item.Key);
  if (!item.Removed && it != Pending.end() && it->second == item.Value)
    Pending.erase(it);
}

void CrashFeed::removeItem(const std::string &key) {
  // Also a write of it, again after a rise of the era: it is out of date.
  Pending.erase(key);
  const auto it = Items.find(key);
  if (it == Items.end())
    return;
  OnRemoved(it->second.Run);
  Items.erase(it);
}

void CrashFeed::writeAgain() {
  // The host that found a run may be gone, so all write what they know, at
  // different times: who hears of an item in time doesn't write it.
  for (const auto &[key, item] : Items)
    Pending.try_emplace(key, encodeCrashRun(item.Run));
  scheduleWrite(milliseconds(std::uniform_int_distribution<std::int64_t>(
      MinEraDelay.count(), MaxEraDelay.count())(Random)));
}

void CrashFeed::publish(const FatalRun &run) {
  const std::string key = crashRunKey(run);
  Pending[key] = encodeCrashRun(run);
  scheduleWrite(WriteDelay);
}

void CrashFeed::withdraw(const std::vector<FatalRun> &runs) {
  for (const FatalRun &run : runs) {
    const std::string key = crashRunKey(run);
    Items.erase(key);
    Pending[key] = std::nullopt;
  }
  scheduleWrite(WriteDelay);
}

void CrashFeed::scheduleExpiry() {
  ExpiryTimer.expires_after(ExpiryInterval);
  ExpiryTimer.async_wait([self = shared_from_this()](
                             const boost::system::error_code &ec) {
    if (ec)
      return;
    const auto now = SteadyClock::now();
    std::vector<FatalRun> expired;
    for (const auto &[key, item] : self->Items)
      if (item.ExpiresAt <= now && !self->Keeps(item.Run.RequestFingerprint))
        expired.push_back(item.Run);
    if (!expired.empty())
      self->withdraw(expired);
    self->scheduleExpiry();
  });
}

void CrashFeed::scheduleWrite(milliseconds delay) {
  if (Writing || Pending.empty())
    return;
  Writing = true;
  WriteTimer.expires_after(delay);
  WriteTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec)
          self->write();
      });
}

void CrashFeed::write() {
  store::StoreTransaction transaction;
  std::map<std::string, std::optional<std::string>> sent;
  for (const auto &[key, value] : Pending) {
    if (sent.size() >= MaxItemsPerWrite)
      break;
    sent.emplace(key, value);
    if (value)
      transaction.Puts.push_back({key, *value});
    else
      transaction.Removals.push_back(key);
  }
  Connection->call(platform::encodeTransaction(transaction), ReplyTimeout,
                   [self = shared_from_this(),
                    sent = std::move(sent)](const store::StoreReply &reply) {
                     self->Writing = false;
                     const bool done = reply.Status == platform::StatusOk;
                     if (done)
                       std::erase_if(self->Pending, [&](const auto &it) {
                         const auto written = sent.find(it.first);
                         return written != sent.end() &&
                                written->second == it.second;
                       });
                     else
                       support::LogLine("crash_runs_unwritten")
                           .with("items", sent.size())
                           .with("status", reply.Status)
                           .with("why", reply.Error);
                     self->scheduleWrite(done ? WriteDelay : RetryDelay);
                   });
}

} // namespace savorytrestle::registry
