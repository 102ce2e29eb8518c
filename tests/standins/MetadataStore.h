#ifndef SAVORYTRESTLE_TESTS_METADATA_STORE_H
#define SAVORYTRESTLE_TESTS_METADATA_STORE_H

/// @file
/// @brief Stand-in for the platform's metadata store: keys, ranges, watches,
/// transactions and leases over HTTP, with injectable faults.

#include <utility>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <civetweb.h>
#include <nlohmann/json.hpp>

#include "standins/StandInHttpServer.h"

namespace savorytrestle::tests {

/// @brief Fault that the store applies to calls.
enum class StoreFault {
  None,
  Busy,   ///< answers 503; the call is not executed
  Reset,  ///< closes the connection; the call is not executed
  Silent, ///< does not answer; the call is not executed
  Lost,   ///< executes writes without answering them
};

/// @brief The stand-in; runs on one thread.
class MetadataStore {
public:
  using Json = nlohmann::json;

  explicit MetadataStore(boost::asio::io_context &io)
      : Io(io),
        Server(io, [this](const StandInRequest &request, SendResponse respond) {
          handle(request, std::move(respond));
        }) {}

  /// @brief Listens on an address that is not in use.
  core::Result<void> open(const std::string &address) {
    return Server.open(address);
  }

  int port() const { return Server.port(); }

  /// @brief Writes an item, as an operator or a leaf does.
  void put(const std::string &key, const std::string &value,
           std::uint64_t lease = 0) {
    ++CurrentRevision;
    Item &item = Items[key];
    item = {value, CurrentRevision,
            item.Created == 0 ? CurrentRevision : item.Created, lease};
    recordEvent(key, false);
  }

  /// @brief Removes an item.
  void remove(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    ++CurrentRevision;
    recordEvent(key, true);
  }

  /// @brief Drops the history: watches from an earlier revision get 410.
  void compact() {
    History.clear();
    CompactedRevision = CurrentRevision;
    auto waiting = std::move(Watches);
    Watches.clear();
    for (auto &watch : waiting)
      tryAnswerWatch(watch);
  }

  /// @brief Takes the copy from which @ref restoreCopy brings the store back.
  void takeCopy() {
    Copy = {Items, {}, CurrentRevision, NextLease};
    for (const auto &[id, lease] : Leases)
      Copy.LeaseIds.insert(id);
  }

  /// @brief Comes back from the copy: what was written since is gone, leases
  /// too, revisions and lease ids are given out again, and the era rises by
  /// one.
  void restoreCopy() {
    Items = Copy.Items;
    CurrentRevision = CompactedRevision = Copy.Revision;
    History.clear();
    std::erase_if(Leases, [this](const auto &lease) {
      return Copy.LeaseIds.count(lease.first) == 0;
    });
    NextLease = Copy.NextLease;
    ++CurrentEra;
    auto waiting = std::move(Watches);
    Watches.clear();
    for (auto &watch : waiting) {
      watch.Timer->cancel();
      watch.Respond(std::nullopt);
    }
  }

  std::uint64_t revision() const { return CurrentRevision; }

  void setFault(StoreFault fault) { Fault = fault; }

  /// @brief Sends interim responses before each reply from now on. Call it
  /// before any host is started.
  void setInterim(std::string bytes) { Server.setInterim(std::move(bytes)); }

  /// @brief Closes all connections, as an idle timeout does.
  void dropConnections() { Server.dropConnections(); }

  /// @brief Sets the calls accepted per second; further calls get 429.
  void setRates(int reads, int writes) {
    ReadLimit.PerSecond = reads;
    WriteLimit.PerSecond = writes;
  }
  std::size_t calls() const { return Calls; }
  /// @brief Value of an item; empty if there is none.
  std::string value(const std::string &key) const {
    const auto it = Items.find(key);
    return it == Items.end() ? "" : it->second.Value;
  }

  std::size_t count(const std::string &prefix) const {
    return static_cast<std::size_t>(
        std::count_if(Items.begin(), Items.end(), [&](const auto &it) {
          return it.first.starts_with(prefix);
        }));
  }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    std::uint64_t Revision;
    Json Body;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After;
    SendResponse Respond;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };
  struct Lease {
    std::chrono::milliseconds TimeToLive;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };
  /// Limits the calls accepted per second.
  struct RateLimit {
    int PerSecond = std::numeric_limits<int>::max();
    int CallsInWindow = 0;
    std::chrono::steady_clock::time_point WindowStart{};

    bool tryTake() {
      const auto now = std::chrono::steady_clock::now();
      if (now - WindowStart >= std::chrono::seconds(1)) {
        WindowStart = now;
        CallsInWindow = 0;
      }
      return ++CallsInWindow <= PerSecond;
    }
  };
  using Query = std::map<std::string, std::string>;

  StandInResponse reply(unsigned status, const Json &body) const {
    StandInResponse answer{static_cast<boost::beast::http::status>(status), 11};
    answer.set("Store-Era", std::to_string(CurrentEra));
    answer.set(boost::beast::http::field::content_type, "application/json");
    answer.body() = body.dump();
    return answer;
  }

  static std::string urlDecode(const std::string &text) {
    std::string plain(text.size() + 1, '\0');
    const int n =
        mg_url_decode(text.data(), static_cast<int>(text.size()), plain.data(),
                      static_cast<int>(plain.size()), 0);
    plain.resize(static_cast<std::size_t>(std::max(n, 0)));
    return plain;
  }

  static Json itemJson(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", absl::Base64Escape(item.Value)},
            {"revision", item.Revision},
            {"createdAt", item.Created},
            {"lease", item.Lease}};
  }

  static Query parseQuery(const std::string &target) {
    Query query;
    const auto at = target.find('?');
    if (at == std::string::npos)
      return query;
    for (const auto part : absl::StrSplit(target.substr(at + 1), '&')) {
      const std::vector<std::string> pair =
          absl::StrSplit(part, absl::MaxSplits('=', 1));
      query[pair[0]] = pair.size() > 1 ? urlDecode(pair[1]) : "";
    }
    return query;
  }

  void handle(const StandInRequest &request, SendResponse respond) {
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(0, target.find('?'));
    const bool write = request.method() != boost::beast::http::verb::get;
    const Json body = write && !request.body().empty()
                          ? Json::parse(request.body(), nullptr, false)
                          : Json::object();
    if (path == "/control")
      return respond(control(body));
    ++Calls;
    if (Fault == StoreFault::Reset)
      return respond(std::nullopt);
    if (Fault == StoreFault::Silent) {
      Unanswered.push_back(std::move(respond));
      return;
    }
    if (Fault == StoreFault::Busy)
      return respond(reply(503, Json::object()));
    ++(write ? Writes : Reads);
    if (!(write ? WriteLimit : ReadLimit).tryTake()) {
      ++Refused;
      return respond(reply(429, Json::object()));
    }
    if (Delay.count() == 0)
      return execute(target, body, write, std::move(respond));
    const auto timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
    timer->async_wait([this, timer, target, body, write,
                       respond](const boost::system::error_code &) {
      execute(target, body, write, respond);
    });
  }

  void execute(const std::string &target, const Json &body, bool write,
               SendResponse respond) {
    const std::string path = target.substr(0, target.find('?'));
    const auto discardResponse = [](const std::optional<StandInResponse> &) {};
    if (write && Fault == StoreFault::Lost) {
      Unanswered.push_back(std::move(respond));
      return dispatch(path, parseQuery(target), body, discardResponse);
    }
    if (write && static_cast<int>(Random() % 100) < LostAnswerPercent) {
      dispatch(path, parseQuery(target), body, discardResponse);
      return respond(std::nullopt);
    }
    dispatch(path, parseQuery(target), body, std::move(respond));
  }

  /// Sets faults for another process and returns the call counters.
  StandInResponse control(const Json &body) {
    if (body.is_object()) {
      if (body.contains("outage"))
        Fault = body["outage"] ? StoreFault::Reset : StoreFault::None;
      Delay = std::chrono::milliseconds(body.value("delay_ms", Delay.count()));
      LostAnswerPercent = body.value("lose_percent", LostAnswerPercent);
    }
    return reply(200, {{"outage", Fault != StoreFault::None},
                       {"reads", Reads},
                       {"writes", Writes},
                       {"refused", Refused}});
  }

  void dispatch(const std::string &path, const Query &query, const Json &body,
                SendResponse respond) {
    if (path == "/kv-key")
      return respond(readKey(query.at("key")));
    if (path == "/kv-range")
      return respond(readRange(query));
    if (path == "/kv-watch")
      return startWatch(query, std::move(respond));
    if (path == "/kv-txn")
      return respond(transact(body));
    if (path == "/kv-lease")
      return respond(grantLease(std::chrono::milliseconds(body.at("ttlMs"))));
    if (path.starts_with("/kv-keep/"))
      return respond(renewLease(numberAfter(path, "/kv-keep/")));
    if (path.starts_with("/kv-lease-end/")) {
      endLease(numberAfter(path, "/kv-lease-end/"));
      return respond(reply(200, Json::object()));
    }
    respond(reply(404, Json::object()));
  }

  static std::uint64_t numberAfter(const std::string &path,
                                   const std::string &prefix) {
    std::uint64_t number = 0;
    (void)absl::SimpleAtoi(path.substr(prefix.size()), &number);
    return number;
  }

  StandInResponse readKey(const std::string &key) const {
    const auto it = Items.find(key);
    if (it == Items.end())
      return reply(404, Json::object());
    Json body = itemJson(key, it->second);
    body["at"] = CurrentRevision;
    return reply(200, body);
  }

  StandInResponse readRange(const Query &query) const {
    constexpr std::size_t PageItems = 50;
    const std::string prefix = query.at("pathPrefix");
    const std::string after = query.count("after") ? query.at("after") : "";
    Json items = Json::array();
    bool more = false;
    for (auto it = Items.lower_bound(prefix);
         it != Items.end() && it->first.starts_with(prefix); ++it) {
      if (it->first <= after)
        continue;
      if (items.size() == PageItems) {
        more = true;
        break;
      }
      items.push_back(itemJson(it->first, it->second));
    }
    return reply(
        200, {{"items", items}, {"hasMore", more}, {"at", CurrentRevision}});
  }

  void startWatch(const Query &query, SendResponse respond) {
    Watch watch{query.at("pathPrefix"), 0, std::move(respond),
                std::make_shared<boost::asio::steady_timer>(Io)};
    (void)absl::SimpleAtoi(query.at("after"), &watch.After);
    if (tryAnswerWatch(watch))
      return;
    int wait = 0;
    (void)absl::SimpleAtoi(query.at("waitMs"), &wait);
    watch.Timer->expires_after(std::chrono::milliseconds(wait));
    watch.Timer->async_wait(
        [this, timer = watch.Timer](const boost::system::error_code &ec) {
          if (!ec)
            expireWatch(timer);
        });
    Watches.push_back(std::move(watch));
  }

  /// Answers a watch that has events or whose history was dropped; returns
  /// whether it did.
  bool tryAnswerWatch(Watch &watch) {
    if (watch.After < CompactedRevision || watch.After > CurrentRevision) {
      watch.Timer->cancel();
      watch.Respond(reply(410, Json::object()));
      return true;
    }
    Json events = Json::array();
    for (const Event &event : History)
      if (event.Revision > watch.After && event.Key.starts_with(watch.Prefix))
        events.push_back(event.Body);
    if (events.empty())
      return false;
    watch.Timer->cancel();
    watch.Respond(reply(200, {{"events", events}, {"at", CurrentRevision}}));
    return true;
  }

  void expireWatch(const std::shared_ptr<boost::asio::steady_timer> &timer) {
    for (auto it = Watches.begin(); it != Watches.end(); ++it)
      if (it->Timer == timer) {
        const auto respond = std::move(it->Respond);
        Watches.erase(it);
        return respond(
            reply(200, {{"events", Json::array()}, {"at", CurrentRevision}}));
      }
  }

  void recordEvent(const std::string &key, bool removed) {
    Json body = removed ? Json{{"key", key},
                               {"revision", CurrentRevision},
                               {"deleted", true}}
                        : itemJson(key, Items[key]);
    History.push_back({key, CurrentRevision, std::move(body)});
    // No event is delivered to waiting watches while a fault is set.
    if (Fault != StoreFault::None)
      return;
    auto waiting = std::move(Watches);
    Watches.clear();
    for (auto &watch : waiting)
      if (!tryAnswerWatch(watch))
        Watches.push_back(std::move(watch));
  }

  StandInResponse transact(const Json &body) {
    for (const Json &row : body.at("expected")) {
      const auto it = Items.find(row.at("key"));
      const std::uint64_t held = it == Items.end() ? 0 : it->second.Revision;
      if (held != row.at("revision").get<std::uint64_t>())
        return reply(412, {{"items", Json::array()}});
    }
    for (const Json &row : body.at("puts"))
      if (const std::uint64_t lease = row.value("lease", 0ULL);
          lease != 0 && Leases.count(lease) == 0)
        return reply(404, Json::object());
    for (const Json &row : body.at("puts")) {
      std::string value;
      absl::Base64Unescape(row.at("value").get<std::string>(), &value);
      put(row.at("key"), value, row.value("lease", 0ULL));
    }
    for (const Json &key : body.at("removals"))
      remove(key);
    return reply(200, {{"revision", CurrentRevision}});
  }

  StandInResponse grantLease(std::chrono::milliseconds timeToLive) {
    const std::uint64_t id = NextLease++;
    Leases[id] = {timeToLive, std::make_shared<boost::asio::steady_timer>(Io)};
    restartLeaseTimer(id);
    return reply(200, {{"lease", id}, {"ttlMs", timeToLive.count()}});
  }

  StandInResponse renewLease(std::uint64_t id) {
    if (Leases.count(id) == 0)
      return reply(404, Json::object());
    restartLeaseTimer(id);
    return reply(200, {{"ttlMs", Leases[id].TimeToLive.count()}});
  }

  void restartLeaseTimer(std::uint64_t id) {
    Lease &lease = Leases[id];
    lease.Timer->expires_after(lease.TimeToLive);
    lease.Timer->async_wait([this, id](const boost::system::error_code &ec) {
      if (!ec)
        endLease(id);
    });
  }

  void endLease(std::uint64_t id) {
    Leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items)
      if (item.Lease == id)
        keys.push_back(key);
    for (const std::string &key : keys)
      remove(key);
  }

  boost::asio::io_context &Io;
  StandInHttpServer Server;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::vector<Watch> Watches;
  std::vector<SendResponse> Unanswered;
  std::map<std::uint64_t, Lease> Leases;
  /// State to come back to.
  struct StoreCopy {
    std::map<std::string, Item> Items;
    std::set<std::uint64_t> LeaseIds;
    std::uint64_t Revision = 1;
    std::uint64_t NextLease = 1;
  } Copy;
  std::uint64_t CurrentEra = 1;
  std::uint64_t CurrentRevision = 1;
  std::uint64_t CompactedRevision = 0;
  std::uint64_t NextLease = 1;
  std::size_t Calls = 0;
  std::size_t Reads = 0;
  std::size_t Writes = 0;
  std::size_t Refused = 0;
  RateLimit ReadLimit;
  RateLimit WriteLimit;
  StoreFault Fault = StoreFault::None;
  std::chrono::milliseconds Delay{0};
  int LostAnswerPercent = 0;
  std::mt19937_64 Random{1};
};

} // namespace savorytrestle::tests

#endif
