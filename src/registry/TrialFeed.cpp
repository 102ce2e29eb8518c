#include "registry/TrialFeed.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "platform/StoreProtocol.h"
#include "registry/CrashFeed.h"
#include "registry/FingerprintText.h"
#include "support/BoundedJson.h"
#include "support/Log.h"

namespace savorytrestle::registry {

using core::CrashTrials;
using core::Fingerprint;
using core::TrialRecord;
using core::TrialReply;
using nlohmann::json;
using std::chrono::milliseconds;
using store::StoredItem;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds RetryDelay{500};
constexpr milliseconds ExpiryInterval{10000};
/// Hosts that know an item for equally long don't all remove it.
constexpr milliseconds ExpirySpread{60000};
/// Writes in hand; a host asks for a few trials a second.
constexpr std::size_t MaxWrites = 256;
constexpr std::size_t MaxHostBytes = 200;
constexpr milliseconds MaxLifetime = std::chrono::minutes(10);

} // namespace

std::string trialKey(const Fingerprint &fingerprint) {
  return TrialPrefix + formatFingerprint(fingerprint);
}

std::optional<Fingerprint> parseTrialKey(std::string_view key) {
  return key.starts_with(TrialPrefix)
             ? parseFingerprint(
                   key.substr(std::string_view(TrialPrefix).size()))
             : std::nullopt;
}

std::string encodeTrial(const TrialRecord &record) {
  return json{{"number", record.Number},
              {"failed", record.Failed},
              {"lapsed", record.Lapsed},
              {"open", record.Open},
              {"lifetime_ms", record.Lifetime.count()},
              {"host", record.Host}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

core::Result<TrialRecord> decodeTrial(std::string_view value) {
  return support::decodeJson<TrialRecord>(
      value, [](const json &object) -> core::Result<TrialRecord> {
        TrialRecord record{
            .Number =
                support::integerWithin<std::uint32_t>(object.at("number")),
            .Failed =
                support::integerWithin<std::uint32_t>(object.at("failed")),
            .Lapsed =
                support::integerWithin<std::uint32_t>(object.at("lapsed")),
            .Open = object.at("open").get<bool>(),
            .Lifetime = milliseconds(support::integerWithin<std::uint32_t>(
                object.at("lifetime_ms"))),
            .Host = object.at("host").get<std::string>()};
        if (record.Failed > record.Number || record.Lapsed > record.Number ||
            record.Lifetime > MaxLifetime || record.Host.size() > MaxHostBytes)
          return core::makeError(core::ErrorCode::BadRequest,
                                 "numbers, lifetime or host are out of bounds");
        return record;
      });
}

TrialFeed::TrialFeed(boost::asio::io_context &io,
                     const boost::asio::ip::tcp::endpoint &store,
                     std::shared_ptr<store::EraTracker> eras,
                     CrashTrials &trials, KeepsHandler keeps)
    : Io(io), ExpiryTimer(io),
      Connection(
          std::make_shared<store::StoreConnection>(io, store, std::move(eras))),
      Trials(trials), Keeps(std::move(keeps)) {}

void TrialFeed::start(StoreMirror &mirror) {
  const auto self = shared_from_this();
  FeedHandlers handlers;
  handlers.OnList = [self](const auto &items) { self->onList(items); };
  handlers.OnChanges = [self](const auto &items) {
    for (const StoredItem &item : items)
      self->onItem(item);
  };
  handlers.OnStoreReachable = [] {};
  handlers.OnEraRise = [self] {
    self->Items.clear();
    self->Trials.forgetRecords();
  };
  mirror.subscribe(TrialPrefix, std::move(handlers));
  scheduleExpiry();
}

void TrialFeed::onList(const std::vector<StoredItem> &items) {
  std::set<Fingerprint> listed;
  for (const StoredItem &item : items) {
    if (const auto fingerprint = parseTrialKey(item.Key))
      listed.insert(*fingerprint);
    onItem(item);
  }
  std::erase_if(Items, [&](const auto &it) {
    if (listed.contains(it.first))
      return false;
    Trials.onRecordRemoved(it.first, it.second.Revision);
    return true;
  });
}

void TrialFeed::onItem(const StoredItem &item) {
  const auto fingerprint = parseTrialKey(item.Key);
  if (fingerprint && item.Removed) {
    Items.erase(*fingerprint);
    return Trials.onRecordRemoved(*fingerprint, item.ModRevision);
  }
  const auto record = decodeTrial(item.Value);
  if (!fingerprint || !record) {
    support::LogLine("trial_skipped")
        .with("key", item.Key)
        .with("why",
              record ? "key names no fingerprint" : record.error().Message);
    return;
  }
  const auto spread = std::uniform_int_distribution<std::int64_t>(
      0, ExpirySpread.count())(Random);
  const auto now = SteadyClock::now();
  Items[*fingerprint] = {item.ModRevision, now +
                                               core::CrashLedger::RunLifetime +
                                               milliseconds(spread)};
  Trials.onRecord(*fingerprint, *record, item.ModRevision, now);
}

TrialFeed::Write TrialFeed::makeWrite(const core::TrialWrite &write,
                                      ReplyHandler onReply) {
  Write next{.OnReply = std::move(onReply),
             .Deadline = SteadyClock::now() + CrashTrials::GrantTimeout};
  const std::string key = trialKey(write.RequestFingerprint);
  next.Transaction.Expects.push_back({key, write.ExpectedRevision});
  if (write.Record)
    next.Transaction.Puts.push_back({key, encodeTrial(*write.Record)});
  else
    next.Transaction.Removals.push_back(key);
  return next;
}

void TrialFeed::write(const core::TrialWrite &write, ReplyHandler onReply) {
  enqueue(makeWrite(write, std::move(onReply)));
}

void TrialFeed::close(const core::TrialWrite &write,
                      const std::optional<core::FatalRun> &run,
                      ReplyHandler onReply) {
  Write next = makeWrite(write, std::move(onReply));
  next.Deadline = SteadyClock::now() + core::CrashLedger::RunLifetime;
  next.Repeats = true;
  // Before the record: the reply names the revision of the last change, which
  // the next write of the record expects.
  if (run)
    next.Transaction.Puts.insert(next.Transaction.Puts.begin(),
                                 {crashRunKey(*run), encodeCrashRun(*run)});
  enqueue(std::move(next));
}

void TrialFeed::enqueue(Write write) {
  if (Queue.size() + Waiting >= MaxWrites) {
    support::LogLine("trials_unwritten")
        .with("writes", Queue.size() + Waiting)
        .with("why", "too many writes in hand");
    write.OnReply({});
    return;
  }
  // A caller waits for the writes that aren't repeated.
  const auto before =
      write.Repeats ? Queue.end()
                    : std::find_if(Queue.begin(), Queue.end(),
                                   [](const Write &it) { return it.Repeats; });
  Queue.insert(before, std::move(write));
  sendNext();
}

void TrialFeed::sendNext() {
  if (Writing || Queue.empty())
    return;
  Write write = std::move(Queue.front());
  Queue.pop_front();
  const auto left =
      std::chrono::ceil<milliseconds>(write.Deadline - SteadyClock::now());
  if (left <= milliseconds(0)) {
    write.OnReply({});
    return sendNext();
  }
  Writing = true;
  const auto call = platform::encodeTransaction(write.Transaction);
  Connection->call(call, std::min(left, CrashTrials::GrantTimeout),
                   [self = shared_from_this(), write = std::move(write)](
                       const store::StoreReply &reply) mutable {
                     self->Writing = false;
                     self->onReply(std::move(write), reply);
                     self->sendNext();
                   });
}

void TrialFeed::onReply(Write write, const store::StoreReply &reply) {
  TrialReply result;
  if (reply.Status == platform::StatusPreconditionFailed) {
    result.Result = TrialReply::Kind::Changed;
  } else if (reply.Status == platform::StatusOk) {
    if (const auto revision = platform::decodeRevision(reply.Body)) {
      result.Result = TrialReply::Kind::Written;
      result.Revision = *revision;
    }
  }
  if (result.Result == TrialReply::Kind::Unknown) {
    support::LogLine("trials_unwritten")
        .with("writes", 1)
        .with("status", reply.Status)
        .with("why", reply.Error);
    if (write.Repeats)
      return sendLater(std::move(write));
  }
  write.OnReply(result);
}

void TrialFeed::sendLater(Write write) {
  ++Waiting;
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(Io, RetryDelay);
  timer->async_wait(
      [self = shared_from_this(), timer,
       write = std::move(write)](const boost::system::error_code &ec) mutable {
        --self->Waiting;
        if (!ec)
          self->enqueue(std::move(write));
      });
}

void TrialFeed::scheduleExpiry() {
  ExpiryTimer.expires_after(ExpiryInterval);
  ExpiryTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec)
          return;
        self->expire();
        self->scheduleExpiry();
      });
}

void TrialFeed::expire() {
  const auto now = SteadyClock::now();
  for (auto &[fingerprint, item] : Items) {
    if (item.ExpiresAt > now || Keeps(fingerprint))
      continue;
    // Tried again if the store doesn't reply.
    item.ExpiresAt = now + ExpirySpread;
    write({fingerprint, item.Revision, std::nullopt},
          [](const TrialReply &) {});
  }
}

} // namespace savorytrestle::registry
