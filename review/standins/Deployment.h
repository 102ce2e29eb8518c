#ifndef SAVORYTRESTLE_REVIEW_DEPLOYMENT_H
#define SAVORYTRESTLE_REVIEW_DEPLOYMENT_H

/// @file
/// @brief A small deployment: hosts as processes of their own, the store and
/// the leaves as stand-ins on a thread, and the record of what was sent,
/// answered and run.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Store.h"

namespace review {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// @brief Seconds since the start of the program.
inline double secondsNow() {
  static const auto start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// @brief Whether the case plays its disruption.
inline bool hasTrouble() {
  const char *const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// @brief Lines with a time, in a file; thread-safe.
class Record {
public:
  explicit Record(const std::string &path) : File(path) {}

  template <typename... Parts> void line(const Parts &...parts) {
    const std::lock_guard lock(Mutex);
    File << std::fixed;
    File.precision(3);
    File << secondsNow();
    ((File << ' ' << parts), ...);
    File << '\n';
  }

  /// @brief Writes a line that is also shown.
  template <typename... Parts> void show(const Parts &...parts) {
    line(parts...);
    std::ostringstream out;
    ((out << ' ' << parts), ...);
    std::printf("%s\n", out.str().c_str() + 1);
    std::fflush(stdout);
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

/// @brief One request that a leaf began to run.
struct Run {
  double At = 0;
  std::string RequestId;
  std::string Leaf;
};

/// @brief A sound leaf: runs what is meant for it and signs its answers. Its
/// members change on the stand-ins' thread only.
class Leaf {
public:
  /// Answers a request instead of the usual answer, if set.
  using Behavior = std::function<void(const Leaf &, const Request &, Respond)>;

  Leaf(boost::asio::io_context &context, std::string id, std::string service,
       std::string zone, Record &record)
      : Id(std::move(id)), Service(std::move(service)), Zone(std::move(zone)),
        Io(context), Log(record), Port(freePort()),
        Listener(context, Port,
                 [this](const Request &request, const Respond &respond) {
                   handle(request, respond);
                 }) {}

  std::string entry(const std::string &state = "ready") const {
    return nlohmann::json{
        {"service", Service},  {"address", "127.0.0.1:" + std::to_string(Port)},
        {"zone", Zone},        {"version", "v1"},
        {"maxConcurrency", 5}, {"state", state},
        {"warmupLeftMs", 0},   {"sequence", 1},
        {"born", Born}}
        .dump();
  }

  std::string key() const { return "servers/" + Id; }

  /// @brief The usual answer to a request that it has run.
  Response answer(const std::string &requestId) const {
    std::string records;
    for (const char rank : {'1', '3', '2'}) {
      std::string row = rank + Service;
      row.resize(16, '.');
      records += row;
    }
    Response response = makeResponse(200, records);
    response.set("Savorytrestle-Request-Id", requestId);
    response.set("Savorytrestle-Server-Stamp", "stamp." + Id + "." + requestId);
    return response;
  }

  /// @brief Ends the leaf's process without a word.
  void crash() { Listener.crash(); }

  const std::string Id;
  const std::string Service;
  const std::string Zone;
  milliseconds Work{2};
  Behavior OnRun;
  std::vector<Run> Runs;

private:
  void handle(const Request &request, const Respond &respond) {
    const auto id = text(request["Savorytrestle-Request-Id"]);
    const auto expected = text(request["Savorytrestle-Expected-Instance"]);
    if (!expected.empty() && expected != Id) {
      Response response = makeResponse(421);
      response.set("Savorytrestle-Request-Id", id);
      response.set("Savorytrestle-Not-Executed", "1");
      response.set("Savorytrestle-Instance-Id", Id);
      return respond(std::move(response));
    }
    Runs.push_back({secondsNow(), id, Id});
    Log.line("run", id, Id);
    if (OnRun)
      return OnRun(*this, request, respond);
    const auto timer = std::make_shared<boost::asio::steady_timer>(Io, Work);
    timer->async_wait(
        [this, timer, id, respond](error_code) { respond(answer(id)); });
  }

  boost::asio::io_context &Io;
  Record &Log;
  int Port;
  std::int64_t Born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  Server Listener;
};

/// @brief One host process of the deploy file's role.
class Host {
public:
  Host(std::string id, std::string zone)
      : Id(std::move(id)), Zone(std::move(zone)) {}
  ~Host() { kill(); }
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  void start(const std::string &program) {
    Pid = fork();
    if (Pid != 0)
      return;
    const int log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const std::string config = "--config=" + ConfigFile;
    execl(program.c_str(), "savorytrestle", "node", config.c_str(), nullptr);
    _exit(127);
  }

  void signal(int number) const {
    if (Pid > 0)
      ::kill(Pid, number);
  }

  /// @brief Waits until the process has ended, and kills it after the grace
  /// period, as the platform does.
  void awaitEnd(milliseconds grace) {
    const auto until = Clock::now() + grace;
    while (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == 0) {
      if (Clock::now() > until)
        return kill();
      std::this_thread::sleep_for(milliseconds(20));
    }
    Pid = 0;
  }

  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = 0;
  }

  bool ready() const {
    return call(ReadyPort, "GET", "/readiness", {}, "", milliseconds(500))
               .Status == 200;
  }

  const std::string Id;
  const std::string Zone;
  const int FrontPort = freePort();
  const int ReadyPort = freePort();
  const int ControlPort = freePort();
  const int MetricsPort = freePort();
  std::string ConfigFile;
  std::string LogFile;
  /// Whether the platform's balancer gives it new connections.
  std::atomic<bool> InRotation{true};

private:
  pid_t Pid = 0;
};

/// @brief Hosts, store and leaves. The destructor ends all of them.
class Deployment {
public:
  Deployment(std::string program, const std::string &recordFile)
      : Log(recordFile), Program(std::move(program)),
        Guard(boost::asio::make_work_guard(Io)), StorePort(freePort()),
        Platform(Io, StorePort) {
    Folder =
        (std::filesystem::temp_directory_path() / "savorytrestle-review-XXXXXX")
            .string();
    if (mkdtemp(Folder.data()) == nullptr)
      std::exit(CouldNotRun);
    secondsNow();
    Thread = std::thread([this] { Io.run(); });
  }

  ~Deployment() {
    Hosts.clear();
    Guard.reset();
    Io.stop();
    Thread.join();
    std::filesystem::remove_all(Folder);
  }

  /// @brief Runs a function on the stand-ins' thread.
  template <typename F> auto onStandIns(F f) {
    std::packaged_task<decltype(f())()> task(std::move(f));
    auto done = task.get_future();
    boost::asio::post(Io, [&task] { task(); });
    return done.get();
  }

  Leaf &addLeaf(const std::string &id, const std::string &service,
                const std::string &zone) {
    return *onStandIns([&] { return &startLeaf(id, service, zone); });
  }

  /// @brief Like @ref addLeaf, on the stand-ins' thread.
  Leaf &startLeaf(const std::string &id, const std::string &service,
                  const std::string &zone) {
    Leaves.push_back(std::make_unique<Leaf>(Io, id, service, zone, Log));
    Platform.put(Leaves.back()->key(), Leaves.back()->entry());
    return *Leaves.back();
  }

  /// @brief Removes a leaf's entry, as the store does for its silence; on the
  /// stand-ins' thread.
  void removeEntry(const Leaf &leaf) { Platform.remove(leaf.key()); }

  /// @brief Calls a function on the stand-ins' thread after some time.
  void after(milliseconds time, std::function<void()> f) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(Io, time);
    timer->async_wait([timer, call = std::move(f)](error_code ec) {
      if (!ec)
        call();
    });
  }

  void putConfig(const nlohmann::json &config) {
    onStandIns([&] {
      Platform.put("op/config", config.dump());
      return 0;
    });
    Log.line("operator wrote version", config.at("version").get<int>());
  }

  /// @brief Adds hosts and starts them together, spread over the zones.
  /// @return whether all have become ready
  bool startHosts(int count, const std::vector<std::string> &zones) {
    for (int i = 0; i < count; ++i)
      Hosts.push_back(std::make_unique<Host>(
          "edge-" + std::to_string(i),
          zones[static_cast<std::size_t>(i) % zones.size()]));
    for (const auto &host : Hosts)
      writeSettings(*host, zones);
    for (const auto &host : Hosts)
      host->start(Program);
    return std::all_of(Hosts.begin(), Hosts.end(),
                       [this](const auto &host) { return awaitReady(*host); });
  }

  bool awaitReady(const Host &host) const {
    const auto until = Clock::now() + std::chrono::seconds(20);
    while (!host.ready()) {
      if (Clock::now() > until)
        return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
  }

  void startAgain(Host &host) const { host.start(Program); }

  /// @brief All requests that leaves began to run, in order.
  std::vector<Run> runs() {
    std::vector<Run> all;
    onStandIns([&] {
      for (const auto &leaf : Leaves)
        all.insert(all.end(), leaf->Runs.begin(), leaf->Runs.end());
      return 0;
    });
    std::sort(all.begin(), all.end(),
              [](const Run &a, const Run &b) { return a.At < b.At; });
    return all;
  }

  boost::asio::io_context Io;
  Record Log;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::unique_ptr<Leaf>> Leaves;
  /// Further lines of the settings' bounds.
  std::string ExtraBounds;

private:
  static std::string address(int port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
  }

  /// The template of the deploy file, filled in.
  void writeSettings(Host &host, const std::vector<std::string> &zones) {
    host.ConfigFile = Folder + "/" + host.Id + ".yaml";
    host.LogFile = Folder + "/" + host.Id + ".log";
    std::ofstream file(host.ConfigFile);
    file << "host:\n  id: \"" << host.Id << "\"\n  failure_domain: \""
         << host.Zone << "\"\nregions:\n";
    for (const std::string &zone : zones)
      file << "  \"" << zone << "\": \"region-" << zone << "\"\n";
    file << "listen:\n  callers: " << address(host.FrontPort)
         << "\n  readiness: " << address(host.ReadyPort)
         << "\n  peers: " << address(host.ControlPort)
         << "\n  metrics: " << address(host.MetricsPort)
         << "\nplatform:\n  store: " << address(StorePort) << "\nseeds: [";
    for (std::size_t i = 0; i < std::min<std::size_t>(3, Hosts.size()); ++i)
      file << (i == 0 ? "" : ",") << address(Hosts[i]->ControlPort);
    file << "]\nstart: \"fleet\"\nbounds:\n  config_apply: \"3000 ms\"\n"
         << "  stop_grace: \"6 s\"\n  retry_ratio: 0.2\n  retry_extra: 54\n"
         << "  retry_window: \"10 s\"\n"
         << ExtraBounds;
  }

  std::string Program;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  int StorePort;
  Store Platform;
  std::string Folder;
  std::thread Thread;
};

/// @brief A route of host "a.example" to one service.
inline nlohmann::json makeRoute(const std::string &name,
                                const std::string &prefix,
                                const std::string &service,
                                bool idempotent = true) {
  return {{"name", name},
          {"host", "a.example"},
          {"pathPrefix", prefix},
          {"type", idempotent ? "idempotent" : "non_idempotent"},
          {"timeoutMs", 2000},
          {"targetLatencyMs", 400},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2}};
}

/// @brief A configuration of routes and services.
inline nlohmann::json makeConfig(int version,
                                 const std::vector<nlohmann::json> &routes,
                                 const std::vector<std::string> &services) {
  nlohmann::json rows = nlohmann::json::array();
  for (const std::string &service : services)
    rows.push_back({{"name", service},
                    {"healthCheckPath", "/health"},
                    {"maxConnections", 100},
                    {"protocol", "h1"},
                    {"tls", false}});
  return {{"version", version},
          {"routes", routes},
          {"services", rows},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

} // namespace review

#endif
