#ifndef SAVORYTRESTLE_REVIEW_STORE_H
#define SAVORYTRESTLE_REVIEW_STORE_H

/// @file
/// @brief Stand-in for the platform's metadata store: ranges, watches,
/// transactions and leases, without faults of its own.

#include <algorithm>
#include <cstdint>
#include <list>
#include <set>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "Http.h"

namespace review {

/// @brief Standard base64 with padding.
inline std::string encodeBase64(const std::string &bytes) {
  constexpr const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out += k <= bytes.size() - i ? Digits[group >> (18 - 6 * k) & 63U] : '=';
  }
  return out;
}

inline std::string decodeBase64(const std::string &text) {
  const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto digit = digits.find(c);
    if (digit == std::string::npos)
      break;
    group = group << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8)
      continue;
    bits -= 8;
    out += static_cast<char>(group >> bits & 255U);
  }
  return out;
}

inline std::string decodeUrl(const std::string &text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

/// @brief The store; all members but the constructor run on the io context's
/// thread.
class Store {
public:
  using Json = nlohmann::json;

  Store(boost::asio::io_context &context, int port)
      : Io(context),
        Listener(context, port,
                 [this](const Request &request, const Respond &respond) {
                   handle(request, respond);
                 }) {}

  void put(const std::string &key, const std::string &value,
           std::uint64_t lease = 0) {
    ++Revision;
    Item &item = Items[key];
    item = {value, Revision, item.Created == 0 ? Revision : item.Created,
            lease};
    addEvent(key, encode(key, item));
  }

  void remove(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    ++Revision;
    addEvent(key, {{"key", key}, {"revision", Revision}, {"deleted", true}});
  }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    Json Body;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After = 0;
    Respond Answer;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };
  struct Lease {
    milliseconds TimeToLive{0};
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };
  using Query = std::map<std::string, std::string>;

  static Json encode(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", encodeBase64(item.Value)},
            {"revision", item.Revision},
            {"createdAt", item.Created},
            {"lease", item.Lease}};
  }

  static Response reply(unsigned status, const Json &body) {
    Response response = makeResponse(status, body.dump());
    response.set("Store-Era", "1");
    response.set(http::field::content_type, "application/json");
    return response;
  }

  static Query parseQuery(const std::string &target) {
    Query query;
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const std::string field = target.substr(at + 1, end - at - 1);
      const auto equals = field.find('=');
      query[field.substr(0, equals)] =
          equals == std::string::npos ? ""
                                      : decodeUrl(field.substr(equals + 1));
      at = end;
    }
    return query;
  }

  void handle(const Request &request, const Respond &respond) {
    const std::string target = text(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const Query query = parseQuery(target);
    const Json body = request.body().empty()
                          ? Json::object()
                          : Json::parse(request.body(), nullptr, false);
    if (path == "/kv-watch")
      return watch(query, respond);
    if (path == "/kv-key")
      return respond(readKey(query.at("key")));
    if (path == "/kv-range")
      return respond(readRange(query));
    if (path == "/kv-txn")
      return respond(transact(body));
    if (path == "/kv-lease")
      return respond(grant(milliseconds(body.at("ttlMs"))));
    const auto id = path.substr(path.rfind('/') + 1);
    if (path.starts_with("/kv-keep/"))
      return respond(renew(std::stoull(id)));
    if (path.starts_with("/kv-lease-end/")) {
      end(std::stoull(id));
      return respond(reply(200, Json::object()));
    }
    respond(reply(404, Json::object()));
  }

  Response readKey(const std::string &key) const {
    const auto it = Items.find(key);
    if (it == Items.end())
      return reply(404, Json::object());
    Json body = encode(key, it->second);
    body["at"] = Revision;
    return reply(200, body);
  }

  Response readRange(const Query &query) const {
    constexpr std::size_t PageItems = 500;
    const std::string prefix = query.at("pathPrefix");
    const auto after = query.find("after");
    Json items = Json::array();
    bool more = false;
    for (auto it = Items.lower_bound(prefix);
         it != Items.end() && it->first.starts_with(prefix); ++it) {
      if (after != query.end() && it->first <= after->second)
        continue;
      more = items.size() == PageItems;
      if (more)
        break;
      items.push_back(encode(it->first, it->second));
    }
    return reply(200, {{"items", items}, {"hasMore", more}, {"at", Revision}});
  }

  void watch(const Query &query, const Respond &respond) {
    Watch waiting{query.at("pathPrefix"), std::stoull(query.at("after")),
                  respond, std::make_shared<boost::asio::steady_timer>(Io)};
    if (answerWatch(waiting, false))
      return;
    waiting.Timer->expires_after(milliseconds(std::stoi(query.at("waitMs"))));
    waiting.Timer->async_wait([this, timer = waiting.Timer](error_code ec) {
      const auto it =
          std::find_if(Watches.begin(), Watches.end(), [&](const Watch &other) {
            return other.Timer == timer;
          });
      if (ec || it == Watches.end())
        return;
      answerWatch(*it, true);
      Watches.erase(it);
    });
    Watches.push_back(std::move(waiting));
  }

  bool answerWatch(const Watch &waiting, bool expired) const {
    Json events = Json::array();
    for (const Event &event : Events)
      if (event.Revision > waiting.After &&
          event.Key.starts_with(waiting.Prefix))
        events.push_back(event.Body);
    if (events.empty() && !expired)
      return false;
    waiting.Answer(reply(200, {{"events", events}, {"at", Revision}}));
    return true;
  }

  void addEvent(const std::string &key, Json body) {
    Events.push_back({Revision, key, std::move(body)});
    Watches.remove_if([this](const Watch &waiting) {
      if (!answerWatch(waiting, false))
        return false;
      waiting.Timer->cancel();
      return true;
    });
  }

  Response transact(const Json &body) {
    for (const Json &row : body.at("expected")) {
      const auto it = Items.find(row.at("key"));
      if ((it == Items.end() ? 0 : it->second.Revision) != row.at("revision"))
        return reply(412, {{"items", Json::array()}});
    }
    for (const Json &row : body.at("puts"))
      if (const std::uint64_t lease = row.value("lease", std::uint64_t{0});
          lease != 0 && Leases.count(lease) == 0)
        return reply(404, Json::object());
    for (const Json &row : body.at("puts"))
      put(row.at("key"), decodeBase64(row.at("value")),
          row.value("lease", std::uint64_t{0}));
    for (const Json &key : body.at("removals"))
      remove(key);
    return reply(200, {{"revision", Revision}});
  }

  Response grant(milliseconds timeToLive) {
    const std::uint64_t id = ++LastLease;
    Leases[id] = {timeToLive, std::make_shared<boost::asio::steady_timer>(Io)};
    restart(id);
    return reply(200, {{"lease", id}, {"ttlMs", timeToLive.count()}});
  }

  Response renew(std::uint64_t id) {
    if (Leases.count(id) == 0)
      return reply(404, Json::object());
    restart(id);
    return reply(200, {{"ttlMs", Leases[id].TimeToLive.count()}});
  }

  void restart(std::uint64_t id) {
    Leases[id].Timer->expires_after(Leases[id].TimeToLive);
    Leases[id].Timer->async_wait([this, id](error_code ec) {
      if (!ec)
        end(id);
    });
  }

  void end(std::uint64_t id) {
    if (const auto it = Leases.find(id); it != Leases.end()) {
      it->second.Timer->cancel();
      Leases.erase(it);
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items)
      if (item.Lease == id)
        keys.push_back(key);
    for (const std::string &key : keys)
      remove(key);
  }

  boost::asio::io_context &Io;
  std::map<std::string, Item> Items;
  std::vector<Event> Events;
  std::list<Watch> Watches;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t LastLease = 0;
  Server Listener;
};

} // namespace review

#endif
