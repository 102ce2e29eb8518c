#ifndef SAVORYTRESTLE_REVIEW_STORE_H
#define SAVORYTRESTLE_REVIEW_STORE_H

/// @file
/// @brief Stand-in for the platform's store: items, ranges, watches,
/// transactions and leases.

#include <condition_variable>
#include <vector>

#include <nlohmann/json.hpp>

#include "Wire.h"

namespace review {

using Json = nlohmann::json;

inline std::string toBase64(const std::string &bytes) {
  static constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopq"
                                   "rstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += k <= bytes.size() - i ? Digits[group >> (18 - 6 * k) & 63] : '=';
  }
  return text;
}

/// @brief The store. Values are kept as the base64 text of the calls.
class Store {
public:
  Store() : Listening("127.0.0.1:0", [this](Socket &it) { serve(it); }) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listening.port());
  }

  /// @brief Writes an item, as the operator or a leaf does.
  void put(const std::string &key, const std::string &value) {
    const std::lock_guard lock(Mutex);
    write(key, toBase64(value), 0);
    Changed.notify_all();
  }

  /// @brief Removes an item, as the platform does for a leaf that is gone.
  void remove(const std::string &key) {
    const std::lock_guard lock(Mutex);
    erase(key);
    Changed.notify_all();
  }

private:
  struct Reply {
    int Status = 404;
    Json Body = Json::object();
  };
  using Query = std::map<std::string, std::string>;
  struct Lease {
    Milliseconds TimeToLive;
    Clock::time_point Ends;
  };

  static std::string decoded(const std::string &text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i)
      if (text[i] == '%' && i + 2 < text.size()) {
        plain += static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    return plain;
  }

  static Query parseQuery(const std::string &target) {
    Query query;
    for (auto at = target.find('?'); at != std::string::npos;) {
      const auto next = target.find('&', at + 1);
      const std::string part = target.substr(at + 1, next - at - 1);
      const auto equals = part.find('=');
      if (equals != std::string::npos)
        query[part.substr(0, equals)] = decoded(part.substr(equals + 1));
      at = next;
    }
    return query;
  }

  void serve(Socket &socket) {
    while (const auto call = socket.read()) {
      const Reply reply = execute(*call);
      const std::string body = reply.Body.dump();
      if (!socket.send("HTTP/1.1 " + std::to_string(reply.Status) +
                       " Reply\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  Reply execute(const Message &call) {
    const std::string target = call.secondWord();
    const std::string path = target.substr(0, target.find('?'));
    const Query query = parseQuery(target);
    std::unique_lock lock(Mutex);
    endLeases();
    if (path == "/kv-range")
      return range(query);
    if (path == "/kv-watch")
      return watch(query, lock);
    if (path == "/kv-txn")
      return transact(Json::parse(call.Body));
    if (path == "/kv-lease") {
      const auto id = ++LastLease;
      const Milliseconds time(Json::parse(call.Body).at("ttlMs").get<int>());
      Leases[id] = {time, Clock::now() + time};
      return {200, {{"lease", id}, {"ttlMs", time.count()}}};
    }
    const auto id =
        std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto lease = Leases.find(id);
    if (lease == Leases.end())
      return {};
    const Milliseconds time = lease->second.TimeToLive;
    const bool ends = path.rfind("/kv-lease-end/", 0) == 0;
    lease->second.Ends = Clock::now() + (ends ? Milliseconds(0) : time);
    endLeases();
    return {200, {{"ttlMs", time.count()}}};
  }

  Reply range(const Query &query) const {
    constexpr std::size_t PageItems = 500;
    const std::string prefix = valueOf(query, "pathPrefix");
    const std::string after = valueOf(query, "after");
    Json items = Json::array();
    bool more = false;
    for (const auto &[key, item] : Items) {
      if (key.rfind(prefix, 0) != 0 || key <= after)
        continue;
      more = items.size() == PageItems;
      if (more)
        break;
      items.push_back(item);
    }
    return {200, {{"items", items}, {"hasMore", more}, {"at", Revision}}};
  }

  Reply watch(const Query &query, std::unique_lock<std::mutex> &lock) {
    const std::string prefix = valueOf(query, "pathPrefix");
    const auto after =
        std::strtoull(valueOf(query, "after").c_str(), nullptr, 10);
    const auto until =
        Clock::now() +
        Milliseconds(std::atoi(valueOf(query, "waitMs").c_str()));
    for (;;) {
      Json events = Json::array();
      for (const Json &event : History)
        if (event["revision"].get<std::uint64_t>() > after &&
            event["key"].get<std::string>().rfind(prefix, 0) == 0)
          events.push_back(event);
      if (!events.empty() || Clock::now() >= until)
        return {200, {{"events", events}, {"at", Revision}}};
      Changed.wait_until(lock, until);
    }
  }

  Reply transact(const Json &call) {
    for (const Json &row : call.at("expected")) {
      const auto it = Items.find(row.at("key").get<std::string>());
      if ((it == Items.end() ? 0
                             : it->second["revision"].get<std::uint64_t>()) !=
          row.at("revision").get<std::uint64_t>())
        return {412, {{"items", Json::array()}}};
    }
    for (const Json &row : call.at("puts"))
      if (const auto lease = row.value("lease", std::uint64_t{0});
          lease != 0 && Leases.count(lease) == 0)
        return {};
    for (const Json &row : call.at("puts"))
      write(row.at("key"), row.at("value"),
            row.value("lease", std::uint64_t{0}));
    for (const Json &key : call.at("removals"))
      erase(key);
    Changed.notify_all();
    return {200, {{"revision", Revision}}};
  }

  static std::string valueOf(const Query &query, const std::string &name) {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }

  void write(const std::string &key, const std::string &value,
             std::uint64_t lease) {
    ++Revision;
    Json &item = Items[key];
    const auto created =
        item.is_null() ? Revision : item["createdAt"].get<std::uint64_t>();
    item = {{"key", key},
            {"value", value},
            {"revision", Revision},
            {"createdAt", created},
            {"lease", lease}};
    History.push_back(item);
  }

  void erase(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    ++Revision;
    History.push_back(
        {{"key", key}, {"revision", Revision}, {"deleted", true}});
  }

  void endLeases() {
    const auto now = Clock::now();
    if (std::erase_if(Leases, [now](const auto &it) {
          return it.second.Ends <= now;
        }) == 0)
      return;
    std::vector<std::string> ended;
    for (const auto &[key, item] : Items)
      if (const auto lease = item["lease"].get<std::uint64_t>();
          lease != 0 && Leases.count(lease) == 0)
        ended.push_back(key);
    for (const std::string &key : ended)
      erase(key);
    Changed.notify_all();
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Json> Items;
  std::vector<Json> History;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t LastLease = 0;
  Server Listening;
};

} // namespace review

#endif
