#ifndef REVIEW_STANDINS_3_KIT_H
#define REVIEW_STANDINS_3_KIT_H

/// @file
/// @brief Parts of the third review's cases: sockets, HTTP messages, the
/// platform's store, leaves, host processes and the record. Loopback only.

#include <utility>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

inline const Clock::time_point Began = Clock::now();

inline long sinceStart() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Began).count();
}

inline void sleepFor(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// @brief What was sent, answered and run; a line an event.
class Record {
public:
  explicit Record(const std::string &path) : Out(path, std::ios::trunc) {}
  void line(const std::string &text) {
    const std::lock_guard guard(Lock);
    Out << sinceStart() << " ms  " << text << "\n" << std::flush;
  }

private:
  std::mutex Lock;
  std::ofstream Out;
};

/// @brief A port below the ephemeral range on which nothing listens.
inline int freePort() {
  static std::mutex lock;
  const std::lock_guard guard(lock);
  static int next = 11000 + static_cast<int>(getpid()) * 53 % 18000;
  for (;;) {
    next = next >= 31000 ? 11000 : next + 1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(next));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0;
    close(fd);
    if (free)
      return next;
  }
}

/// @brief A blocking connection; closed by its destructor.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {
    const int on = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() {
    if (Fd >= 0)
      close(Fd);
  }

  /// @brief Connects to a loopback port; null if that fails.
  static std::shared_ptr<Connection> to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_shared<Connection>(fd);
  }

  bool send(const std::string &bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto n =
          ::send(Fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// @brief Receives more bytes into @ref Buffer.
  /// @return false at the end of the connection, or if none come in time
  bool receive(int timeoutMs) {
    pollfd it{Fd, POLLIN, 0};
    TimedOut = poll(&it, 1, timeoutMs) == 0;
    if (TimedOut)
      return false;
    char bytes[16384];
    const auto n = recv(Fd, bytes, sizeof bytes, 0);
    if (n <= 0)
      return false;
    Buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  /// @brief Ends the connection with a reset.
  void reset() {
    const linger it{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    close(Fd);
    Fd = -1;
  }

  /// @brief Ends what other threads wait for.
  void shut() { shutdown(Fd, SHUT_RDWR); }

  std::string Buffer;
  bool TimedOut = false;

private:
  int Fd;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline std::string lower(std::string text) {
  for (char &c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

/// @brief A request or response: its first line, headers by lower-case name
/// and its body.
struct Message {
  std::string First;
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &name) const {
    const auto it = Headers.find(lower(name));
    return it == Headers.end() ? "" : it->second;
  }
  /// @brief Second word of the first line: a request's target, a response's
  /// status.
  std::string word(int n) const {
    std::istringstream words(First);
    std::string word;
    for (int i = 0; i <= n; ++i)
      word.clear(), words >> word;
    return word;
  }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// @brief Reads a message with a Content-Length or without a body.
/// @param noBody the message has no body, as the answer to HEAD
inline std::optional<Message> readMessage(Connection &from, int timeoutMs,
                                          bool noBody = false) {
  const auto until = Clock::now() + milliseconds(timeoutMs);
  const auto more = [&] {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    return left.count() > 0 && from.receive(static_cast<int>(left.count()));
  };
  std::size_t end = 0;
  while ((end = from.Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more())
      return std::nullopt;
  Message message;
  std::istringstream head(from.Buffer.substr(0, end));
  std::getline(head, message.First);
  if (!message.First.empty() && message.First.back() == '\r')
    message.First.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.Headers[lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length =
      noBody ? 0
             : static_cast<std::size_t>(
                   std::atol(message.header("content-length").c_str()));
  while (from.Buffer.size() < end + 4 + length)
    if (!more())
      return std::nullopt;
  message.Body = from.Buffer.substr(end + 4, length);
  from.Buffer.erase(0, end + 4 + length);
  return message;
}

inline std::string response(int status,
                            const std::map<std::string, std::string> &headers,
                            const std::string &body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto &[name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  text.append("Content-Length: ").append(std::to_string(body.size()));
  return text.append("\r\n\r\n").append(body);
}

/// @brief Listens on a port and runs a function on a thread for each
/// connection.
class Server {
public:
  using Handler = std::function<void(const ConnectionPtr &)>;

  explicit Server(Handler handler, int port = 0)
      : OnConnection(std::move(handler)), Port(port != 0 ? port : freePort()) {
    open();
  }
  ~Server() { stop(); }

  int port() const { return Port; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  /// @brief Closes the port and all connections, as a process that ends.
  void stop() {
    if (Fd < 0)
      return;
    Stopped = true;
    shutdown(Fd, SHUT_RDWR);
    Acceptor.join();
    close(Fd);
    Fd = -1;
    std::unique_lock guard(Lock);
    for (const auto &weak : Open)
      if (const auto it = weak.lock())
        it->shut();
    Open.clear();
    Idle.wait(guard, [this] { return Handlers == 0; });
  }

  /// @brief Opens the port again.
  void open() {
    Stopped = false;
    Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(Port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(Fd, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 ||
        listen(Fd, 256) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    Acceptor = std::thread([this] { accept(); });
  }

  bool stopped() const { return Stopped; }

private:
  void accept() {
    for (;;) {
      const int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const auto connection = std::make_shared<Connection>(fd);
      const std::lock_guard guard(Lock);
      std::erase_if(Open, [](const auto &it) { return it.expired(); });
      Open.push_back(connection);
      ++Handlers;
      std::thread([this, it = connection]() mutable {
        OnConnection(it);
        it.reset();
        const std::lock_guard ended(Lock);
        if (--Handlers == 0)
          Idle.notify_all();
      }).detach();
    }
  }

  Handler OnConnection;
  const int Port;
  int Fd = -1;
  std::atomic<bool> Stopped = false;
  std::thread Acceptor;
  std::mutex Lock;
  std::vector<std::weak_ptr<Connection>> Open;
  std::condition_variable Idle;
  int Handlers = 0;
};

inline std::string base64(const std::string &bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned n = 0;
    for (std::size_t j = 0; j < 3; ++j)
      n = n << 8 |
          (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j <= bytes.size() ? digits[n >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

inline std::string unbase64(const std::string &text) {
  std::string bytes;
  unsigned n = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z')
      digit = c - 'A';
    else if (c >= 'a' && c <= 'z')
      digit = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      digit = c - '0' + 52;
    else if (c == '+')
      digit = 62;
    else if (c == '/')
      digit = 63;
    else
      break;
    n = n << 6 | static_cast<unsigned>(digit);
    if ((bits += 6) >= 8) {
      bits -= 8;
      bytes += static_cast<char>(n >> bits & 255);
    }
  }
  return bytes;
}

inline std::string unescape(const std::string &text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i)
    if (text[i] == '%' && i + 2 < text.size()) {
      bytes += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      bytes += text[i];
    }
  return bytes;
}

/// @brief The platform's store: keys, ranges, watches, transactions, leases.
class Store {
public:
  Store() : Http([this](const ConnectionPtr &it) { serve(it); }) {
    Expiry = std::thread([this] {
      while (!Ended) {
        sleepFor(50);
        const std::lock_guard guard(Lock);
        for (auto it = Leases.begin(); it != Leases.end();)
          if (it->second.Ends <= Clock::now()) {
            endLease(it->first);
            it = Leases.erase(it);
          } else {
            ++it;
          }
      }
    });
  }
  ~Store() {
    Ended = true;
    Changed.notify_all();
    Expiry.join();
    Http.stop();
  }

  std::string address() const { return Http.address(); }

  /// @brief Writes an item, as the operator or a leaf does.
  void put(const std::string &key, const std::string &value) {
    const std::lock_guard guard(Lock);
    write(key, value, 0);
  }
  void remove(const std::string &key) {
    const std::lock_guard guard(Lock);
    erase(key);
  }
  /// @brief Keys that begin with a prefix.
  std::size_t count(const std::string &prefix) {
    const std::lock_guard guard(Lock);
    return static_cast<std::size_t>(
        std::count_if(Items.begin(), Items.end(), [&](const auto &it) {
          return it.first.rfind(prefix, 0) == 0;
        }));
  }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Lease {
    milliseconds Ttl;
    Clock::time_point Ends;
  };
  struct Event {
    std::uint64_t Revision;
    std::string Key;
    std::optional<Item> Written;
  };

  void write(const std::string &key, const std::string &value,
             std::uint64_t lease) {
    ++Revision;
    Item &item = Items[key];
    item = {value, Revision, item.Created != 0 ? item.Created : Revision,
            lease};
    History.push_back({Revision, key, item});
    Changed.notify_all();
  }
  void erase(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    History.push_back({++Revision, key, std::nullopt});
    Changed.notify_all();
  }
  void endLease(std::uint64_t lease) {
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items)
      if (item.Lease == lease)
        keys.push_back(key);
    for (const std::string &key : keys)
      erase(key);
  }

  static json rowOf(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", base64(item.Value)},
            {"revision", item.Revision},
            {"createdAt", item.Created},
            {"lease", item.Lease}};
  }

  static std::map<std::string, std::string> queryOf(const std::string &target) {
    std::map<std::string, std::string> query;
    const auto at = target.find('?');
    if (at == std::string::npos)
      return query;
    std::istringstream parts(target.substr(at + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equals = part.find('=');
      if (equals != std::string::npos)
        query[part.substr(0, equals)] = unescape(part.substr(equals + 1));
    }
    return query;
  }

  void serve(const ConnectionPtr &to) {
    while (const auto request = readMessage(*to, 3600000)) {
      const auto [status, body] = answer(*request);
      if (!to->send(response(status, {{"Content-Type", "application/json"}},
                             body.dump())))
        return;
    }
  }

  using Answer = std::pair<int, json>;

  Answer answer(const Message &request) {
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    const auto query = queryOf(target);
    std::unique_lock guard(Lock);
    if (path == "/kv-key")
      return readKey(query);
    if (path == "/kv-range")
      return readRange(query);
    if (path == "/kv-watch")
      return watch(query, guard);
    if (path == "/kv-txn")
      return change(json::parse(request.Body));
    return lease(path, request);
  }

  static std::string valueOf(const std::map<std::string, std::string> &query,
                             const std::string &name) {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }

  Answer readKey(const std::map<std::string, std::string> &query) const {
    const auto it = Items.find(valueOf(query, "key"));
    if (it == Items.end())
      return {404, json::object()};
    json row = rowOf(it->first, it->second);
    row["at"] = Revision;
    return {200, row};
  }

  Answer readRange(const std::map<std::string, std::string> &query) const {
    constexpr std::size_t MaxRows = 500;
    const std::string prefix = valueOf(query, "pathPrefix");
    json rows = json::array();
    bool more = false;
    for (auto it = Items.upper_bound(valueOf(query, "after"));
         it != Items.end() && !more; ++it) {
      if (!it->first.starts_with(prefix))
        continue;
      more = rows.size() == MaxRows;
      if (!more)
        rows.push_back(rowOf(it->first, it->second));
    }
    return {200, {{"items", rows}, {"hasMore", more}, {"at", Revision}}};
  }

  Answer watch(const std::map<std::string, std::string> &query,
               std::unique_lock<std::mutex> &guard) {
    const std::string prefix = valueOf(query, "pathPrefix");
    const auto after = std::stoull("0" + valueOf(query, "after"));
    const auto until =
        Clock::now() + milliseconds(std::stol("0" + valueOf(query, "waitMs")));
    json events = json::array();
    for (;;) {
      for (const Event &it : History) {
        if (it.Revision <= after || !it.Key.starts_with(prefix))
          continue;
        events.push_back(it.Written ? rowOf(it.Key, *it.Written)
                                    : json{{"key", it.Key},
                                           {"revision", it.Revision},
                                           {"deleted", true}});
      }
      if (!events.empty() || Ended ||
          Changed.wait_until(guard, until) == std::cv_status::timeout)
        return {200, {{"events", events}, {"at", Revision}}};
    }
  }

  Answer lease(const std::string &path, const Message &request) {
    static const std::string keep = "/kv-keep/";
    static const std::string end = "/kv-lease-end/";
    if (path == "/kv-lease") {
      constexpr long MinTtl = 1000;
      const auto body = json::parse(request.Body);
      const milliseconds ttl(std::max<long>(MinTtl, body.at("ttlMs")));
      Leases[++NextLease] = {ttl, Clock::now() + ttl};
      return {200, {{"lease", NextLease}, {"ttlMs", ttl.count()}}};
    }
    if (path.starts_with(keep)) {
      const auto it = Leases.find(std::stoull("0" + path.substr(keep.size())));
      if (it == Leases.end())
        return {404, json::object()};
      it->second.Ends = Clock::now() + it->second.Ttl;
      return {200, {{"ttlMs", it->second.Ttl.count()}}};
    }
    if (path.starts_with(end)) {
      const auto id = std::stoull("0" + path.substr(end.size()));
      if (Leases.erase(id) == 0)
        return {404, json::object()};
      endLease(id);
      return {200, json::object()};
    }
    return {404, json::object()};
  }

  Answer change(const json &body) {
    json current = json::array();
    bool holds = true;
    for (const json &row : body.value("expected", json::array())) {
      const auto it = Items.find(row.at("key").get<std::string>());
      const std::uint64_t known = it == Items.end() ? 0 : it->second.Revision;
      holds = holds && known == row.at("revision").get<std::uint64_t>();
      if (it != Items.end())
        current.push_back(rowOf(it->first, it->second));
    }
    if (!holds)
      return {412, {{"items", current}}};
    for (const json &row : body.value("puts", json::array())) {
      const auto lease = row.value("lease", std::uint64_t{0});
      if (lease != 0 && Leases.count(lease) == 0)
        return {404, json::object()};
      const auto key = row.at("key").get<std::string>();
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
        return {403, json::object()};
    }
    for (const json &row : body.value("puts", json::array()))
      write(row.at("key"), unbase64(row.at("value")),
            row.value("lease", std::uint64_t{0}));
    for (const json &key : body.value("removals", json::array()))
      erase(key);
    return {200, {{"revision", Revision}}};
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::deque<Event> History;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 100;
  std::uint64_t NextLease = 5000;
  std::atomic<bool> Ended = false;
  std::thread Expiry;
  Server Http;
};

/// @brief Entry of a leaf in the store.
inline std::string leafEntry(const std::string &service,
                             const std::string &address,
                             const std::string &zone, long sequence,
                             const std::string &state = "ready") {
  return json{
      {"service", service}, {"address", address},   {"zone", zone},
      {"version", "v1"},    {"maxConcurrency", 5},  {"state", state},
      {"warmupLeftMs", 0},  {"sequence", sequence}, {"born", 1765000000000LL}}
      .dump();
}

/// @brief A request as it arrived at a leaf, which runs it.
struct LeafRun {
  std::string Leaf;
  Message Request;
  std::string id() const { return Request.header("Savorytrestle-Request-Id"); }
};

/// @brief Headers of a leaf's answer after a run.
inline std::map<std::string, std::string> signedBy(const LeafRun &run) {
  return {{"Savorytrestle-Request-Id", run.id()},
          {"Savorytrestle-Server-Stamp", "stamp." + run.Leaf + "." + run.id()},
          {"Savorytrestle-Instance-Load", "1,0,5"},
          {"Keep-Alive", "timeout=30"}};
}

/// @brief A sound leaf: refuses what names another instance, runs the rest.
/// @param onRun returns the body of the answer
inline void
serveLeaf(const ConnectionPtr &to, const std::string &ownId,
          const std::function<std::string(const LeafRun &)> &onRun) {
  while (const auto it = readMessage(*to, 60000)) {
    const LeafRun run{ownId, *it};
    const std::string expected = it->header("Savorytrestle-Expected-Instance");
    std::string answer;
    if (!expected.empty() && expected != ownId) {
      answer = response(421,
                        {{"Savorytrestle-Not-Executed", "1"},
                         {"Savorytrestle-Request-Id", run.id()},
                         {"Savorytrestle-Instance-Id", ownId}},
                        "");
    } else {
      const std::string body = onRun(run);
      answer = response(200, signedBy(run), body);
      if (it->word(0) == "HEAD")
        answer.resize(answer.size() - body.size());
    }
    if (!to->send(answer))
      return;
  }
}

/// @brief A route on one service, as the operator writes it.
inline json plainRoute(const std::string &name, const std::string &prefix,
                       const std::string &type, const std::string &service) {
  return {
      {"name", name},  {"host", "leno12.example"}, {"pathPrefix", prefix},
      {"type", type},  {"timeoutMs", 6000},        {"targetLatencyMs", 1000},
      {"priority", 1}, {"maxAttempts", 2},         {"service", service}};
}

inline json serviceRule(const std::string &name) {
  return {{"name", name},
          {"healthCheckPath", "/health"},
          {"maxConnections", 100},
          {"protocol", "h1"},
          {"tls", false}};
}

inline std::string configText(int version, const json &routes,
                              const json &services) {
  return json{{"version", version},
              {"routes", routes},
              {"services", services},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
      .dump();
}

/// @brief Host processes with settings like those of the site nagelpreis, in
/// one failure domain.
class Hosts {
public:
  explicit Hosts(const std::string &storeAddress)
      : StoreAddress(storeAddress),
        Folder(std::filesystem::temp_directory_path() /
               ("review-3-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(Folder);
  }
  ~Hosts() {
    for (Host &it : All)
      end(it);
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(Folder);
  }

  struct Host {
    std::string Id;
    int Callers = 0;
    int Ready = 0;
    int Peers = 0;
    std::string Settings;
    pid_t Pid = -1;
  };

  /// @brief Adds a host and starts its process.
  Host &add(const std::string &zone = "wien-a") {
    Host host;
    host.Id = "edge-" + zone + "-" + std::to_string(All.size() + 1);
    host.Callers = freePort();
    host.Ready = freePort();
    host.Peers = freePort();
    host.Settings = (Folder / (host.Id + ".yaml")).string();
    std::string seeds;
    for (const Host &it : All)
      seeds.append(seeds.empty() ? "\"127.0.0.1:" : ", \"127.0.0.1:")
          .append(std::to_string(it.Peers))
          .append("\"");
    const auto at = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream(host.Settings)
        << "host:\n  id: \"" << host.Id << "\"\n  failure_domain: \"" << zone
        << "\"\nregions:\n  \"wien-a\": \"wien\"\n  \"graz-a\": \"graz\"\n"
        << "listen:\n  callers: " << at(host.Callers)
        << "  readiness: " << at(host.Ready) << "  peers: " << at(host.Peers)
        << "  metrics: " << at(freePort()) << "platform:\n  store: \""
        << StoreAddress << "\"\nseeds: [" << seeds
        << "]\nstart: \"host\"\nbounds:\n  config_apply: \"3000 ms\"\n"
        << "  stability: \"5000 ms\"\n  stop_grace: \"6 s\"\n"
        << "  retry_ratio: 0.2\n  retry_extra: 54\n  retry_window: \"10 s\"\n"
        << "  quota_window: \"5 s\"\n  quota_overage: 0.1\n"
        << "  quota_slack: 20\n";
    All.push_back(host);
    start(All.back());
    return All.back();
  }

  void start(Host &host) const {
    const std::string log = (Folder / (host.Id + ".log")).string();
    host.Pid = fork();
    if (host.Pid != 0)
      return;
    const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    const std::string config = "--config=" + host.Settings;
    execl("target/savorytrestle", "target/savorytrestle", "node",
          config.c_str(), nullptr);
    std::_Exit(127);
  }

  static void end(Host &host) {
    if (host.Pid <= 0)
      return;
    kill(host.Pid, SIGCONT);
    kill(host.Pid, SIGKILL);
    waitpid(host.Pid, nullptr, 0);
    host.Pid = -1;
  }

  /// @brief Whether a host's process has ended by itself.
  static bool ended(Host &host) {
    return host.Pid > 0 && waitpid(host.Pid, nullptr, WNOHANG) == host.Pid;
  }

  /// @brief Waits until a host is ready.
  static bool waitReady(const Host &host, int timeoutMs = 15000) {
    for (int waited = 0; waited < timeoutMs; waited += 100) {
      if (const auto to = Connection::to(host.Ready)) {
        to->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto reply = readMessage(*to, 1000);
        if (reply && reply->status() == 200)
          return true;
      }
      sleepFor(100);
    }
    return false;
  }

  std::deque<Host> All;
  const std::string StoreAddress;
  const std::filesystem::path Folder;
};

/// @brief Text on one line of the record.
inline std::string shown(std::string text) {
  constexpr std::size_t MaxShown = 160;
  for (char &c : text)
    if (c == '\r' || c == '\n')
      c = '|';
  return text.substr(0, MaxShown);
}

/// @brief A request of a client.
inline std::string request(const std::string &method, const std::string &path,
                           const std::string &id, int deadlineMs,
                           const std::string &body = "") {
  std::string text =
      method + " " + path +
      " HTTP/1.1\r\nHost: leno12.example\r\n"
      "Savorytrestle-Request-Id: " +
      id + "\r\nSavorytrestle-Deadline-Ms: " + std::to_string(deadlineMs) +
      "\r\n";
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline std::string hexId(long n) {
  char text[32];
  std::snprintf(text, sizeof text, "9c41d07b%08lx", n);
  return text;
}

/// @brief What a script's exit status says.
enum Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

/// @brief Whether the disruption comes: not with TROUBLE=0.
inline bool troubled() {
  const char *const it = std::getenv("TROUBLE");
  return it == nullptr || std::string(it) != "0";
}

/// @brief Runs a script's program: its argument is the path of the record.
/// @return its exit status
inline int runScript(int argc, char **argv, Verdict (*play)(Record &)) {
  if (argc != 2)
    return NotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  const Verdict verdict = play(record);
  record.line(verdict == Held     ? "rule held"
              : verdict == Broken ? "rule broken"
                                  : "could not run");
  return verdict;
}

} // namespace review

#endif
