#ifndef SAVORYTRESTLE_REVIEW_DEPLOYMENT_H
#define SAVORYTRESTLE_REVIEW_DEPLOYMENT_H

/// @file
/// @brief A small deployment: hosts as processes, stand-ins for the store and
/// the leaves, and callers.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include "Store.h"

namespace review {

/// @brief Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// @brief Whether the disruption is played; TROUBLE=0 leaves it out.
inline bool withTrouble() {
  const char *const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// @brief Writes what was sent, answered and run to record.txt.
class Record {
public:
  explicit Record(const std::string &file) : Out(file) {}

  void line(const std::string &text) {
    const std::lock_guard lock(Mutex);
    const std::chrono::duration<double> passed = Clock::now() - Start;
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", passed.count());
    Out << time << text << '\n';
    Out.flush();
  }

  /// @brief Writes a line that also goes to standard output.
  void result(const std::string &text) {
    line(text);
    std::printf("%s\n", text.c_str());
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
  Clock::time_point Start = Clock::now();
};

/// @brief A loopback address that other cases that run now don't use.
inline std::string loopback(int number) {
  constexpr int Networks = 200;
  const int pid = getpid();
  return "127." + std::to_string(2 + pid % Networks) + "." +
         std::to_string(pid / Networks % Networks) + "." +
         std::to_string(number);
}

/// @brief One request as a leaf received it.
struct Arrival {
  std::string Id;
  Message Request;
};

/// @brief Headers that a leaf signs an answer with.
inline std::string signature(const std::string &leaf, const std::string &id) {
  return "Savorytrestle-Request-Id: " + id +
         "\r\nSavorytrestle-Server-Stamp: 3e1b.07." + leaf + "." + id + "\r\n";
}

/// @brief A whole answer.
inline std::string answer(const std::string &status, const std::string &headers,
                          const std::string &body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Stand-in for a leaf. It answers 421 to requests that expect another
/// instance, and hands the others to its handler.
class Leaf {
public:
  /// Returns the bytes of the answer; called on the connection's thread.
  using Handler = std::function<std::string(const Arrival &)>;

  Leaf(std::string id, std::string service, std::string zone, Handler handler)
      : Id(std::move(id)), Service(std::move(service)), Zone(std::move(zone)),
        Answer(std::move(handler)),
        Listening(loopback(100) + ":0", [this](Socket &it) { serve(it); }) {}

  /// @brief Its entry in the store.
  std::string entry() const {
    return Json{
        {"service", Service},
        {"address", loopback(100) + ":" + std::to_string(Listening.port())},
        {"zone", Zone},
        {"version", "v1"},
        {"maxConcurrency", 5},
        {"state", "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1},
        {"born", Born}}
        .dump();
  }
  std::string key() const { return "servers/" + Id; }

  /// @brief Ends all connections and the listener.
  void stop() { Listening.shutDown(); }
  /// @brief The same with resets, as by the end of its process.
  void crash() { Listening.shutDown(true); }

  const std::string Id;
  const std::string Service;
  const std::string Zone;

private:
  void serve(Socket &socket) {
    while (auto request = socket.read()) {
      const std::string expected =
          request->header("savorytrestle-expected-instance");
      const std::string id = request->header("savorytrestle-request-id");
      const std::string bytes =
          expected != Id && !expected.empty()
              ? answer("421 Misdirected Request",
                       "Savorytrestle-Instance-Id: " + Id + "\r\n", "")
              : Answer({id, std::move(*request)});
      if (bytes.empty() || !socket.send(bytes))
        return;
    }
  }

  const std::int64_t Born =
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  Handler Answer;
  Server Listening;
};

/// @brief A host: `savorytrestle node` with its settings file.
class Host {
public:
  Host(std::string name, std::string zone, std::string ip,
       const std::string &folder)
      : Name(std::move(name)), Zone(std::move(zone)), Ip(std::move(ip)),
        SettingsFile(folder + "/" + Name + ".yaml"),
        LogFile(folder + "/" + Name + ".log"), Front(address()),
        Readiness(address()), Control(address()), Metrics(address()) {}
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;
  ~Host() { kill(); }

  /// @brief Writes the settings as deploy/host.yaml.template gives them, with
  /// the bounds of nagelpreis.
  /// @param bootstrap whether the whole system starts for the first time
  void writeSettings(const std::string &store, const std::string &seeds,
                     bool bootstrap) const {
    std::ofstream(SettingsFile)
        << "host:\n  id: \"" << Name << "\"\n  failure_domain: \"" << Zone
        << "\"\nregions:\n  \"wien-a\": \"wien\"\n  \"graz-a\": \"graz\"\n"
        << "  \"innsbruck-a\": \"innsbruck\"\nlisten:\n  callers: \"" << Front
        << "\"\n  readiness: \"" << Readiness << "\"\n  peers: \"" << Control
        << "\"\n  metrics: \"" << Metrics << "\"\nplatform:\n  store: \""
        << store << "\"\nseeds: [" << seeds << "]\nstart: \""
        << (bootstrap ? "fleet" : "host") << "\"\n"
        << "bounds:\n  config_apply: \"3000 ms\"\n  stop_grace: \"6 s\"\n"
        << "  retry_ratio: 0.2\n  retry_extra: 54\n  retry_window: \"10 s\"\n";
  }

  /// @brief Starts the process.
  bool start() {
    const std::string program = "target/savorytrestle";
    const std::string config = "--config=" + SettingsFile;
    char *arguments[] = {const_cast<char *>(program.c_str()),
                         const_cast<char *>("node"),
                         const_cast<char *>(config.c_str()), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, LogFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&Pid, program.c_str(), &actions, nullptr,
                                   arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
      Pid = 0;
    return failed == 0;
  }

  bool ready() const {
    Socket socket = connectTo(Readiness, Milliseconds(500));
    if (!socket.isOpen())
      return false;
    socket.setReadTimeout(Milliseconds(500));
    socket.send("GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n");
    const auto reply = socket.read();
    return reply && reply->status() == 200;
  }

  /// @brief If the process has ended by itself: how.
  std::optional<std::string> takeEnd() {
    int status = 0;
    if (Pid <= 0 || waitpid(Pid, &status, WNOHANG) != Pid)
      return std::nullopt;
    Pid = 0;
    return WIFSIGNALED(status)
               ? "signal " + std::to_string(WTERMSIG(status))
               : "exit status " + std::to_string(WEXITSTATUS(status));
  }

  void signal(int number) const {
    if (Pid > 0)
      ::kill(Pid, number);
  }

  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    waitpid(std::exchange(Pid, 0), nullptr, 0);
  }

  const std::string Name;
  const std::string Zone;
  const std::string Ip;
  const std::string SettingsFile;
  const std::string LogFile;
  const std::string Front;
  const std::string Readiness;
  const std::string Control;
  const std::string Metrics;

private:
  std::string address() const {
    return Ip + ":" + std::to_string(freePort(Ip));
  }

  pid_t Pid = 0;
};

/// @brief Store, leaves and hosts; ends the processes at its end.
class Deployment {
public:
  static constexpr const char *Zones[] = {"wien-a", "graz-a", "innsbruck-a"};

  Deployment() {
    std::string folder =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    Folder = mkdtemp(folder.data()) == nullptr ? "" : folder;
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment() {
    Hosts.clear();
    for (const auto &leaf : Leaves)
      leaf->stop();
    std::filesystem::remove_all(Folder);
  }

  /// @brief Adds leaves of a service, in turn in the zones.
  void addLeaves(
      const std::string &service, int count,
      const std::function<Leaf::Handler(const std::string &id)> &makeHandler) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "i-" + service + "-" + std::to_string(i);
      Leaves.push_back(
          std::make_unique<Leaf>(id, service, Zones[i % 3], makeHandler(id)));
      PlatformStore.put(Leaves.back()->key(), Leaves.back()->entry());
    }
  }

  /// @brief Writes a configuration, as the operator does.
  void putConfig(const Json &config) {
    PlatformStore.put("op/config", config.dump());
  }

  /// @brief Starts hosts, in turn in the zones, and waits until they are ready.
  bool startHosts(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string zone = Zones[i % 3];
      Hosts.push_back(std::make_unique<Host>("edge-" + zone + "-" +
                                                 std::to_string(i / 3 + 1),
                                             zone, loopback(i + 1), Folder));
      if (i < 3)
        Seeds +=
            std::string(i == 0 ? "" : ",") + "\"" + Hosts[i]->Control + "\"";
    }
    for (const auto &host : Hosts) {
      host->writeSettings(PlatformStore.address(), Seeds, true);
      if (!host->start())
        return false;
    }
    const auto until = Clock::now() + Milliseconds(20000);
    for (const auto &host : Hosts)
      while (!host->ready())
        if (Clock::now() > until)
          return false;
        else
          std::this_thread::sleep_for(Milliseconds(50));
    return true;
  }

  /// @brief Starts a host's process again, as the platform does after its end.
  bool restart(Host &host) const {
    host.writeSettings(PlatformStore.address(), Seeds, false);
    return host.start();
  }

  std::string Folder;
  /// Control addresses of the first hosts, as the settings list them.
  std::string Seeds;
  Store PlatformStore;
  std::vector<std::unique_ptr<Leaf>> Leaves;
  std::vector<std::unique_ptr<Host>> Hosts;
};

/// @brief A route of "leno12.example" to one service.
inline Json route(const std::string &name, const std::string &prefix,
                  bool idempotent, const std::string &service) {
  return {{"name", name},
          {"host", "leno12.example"},
          {"pathPrefix", prefix},
          {"type", idempotent ? "idempotent" : "non_idempotent"},
          {"timeoutMs", 6000},
          {"targetLatencyMs", 1000},
          {"priority", 2},
          {"service", service},
          {"maxAttempts", 2},
          {"public", false},
          {"allowedRegions", Json::array()}};
}

/// @brief A configuration with the limits of the pages' examples.
inline Json makeConfig(int version, const std::vector<Json> &routes,
                       const std::vector<std::string> &services) {
  Json list = Json::array();
  for (const std::string &name : services)
    list.push_back({{"name", name},
                    {"healthCheckPath", "/health"},
                    {"maxConnections", 100},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"warmupS", 3.0},
                    {"warmupPerS", 0.0}});
  return {{"version", version},
          {"routes", routes},
          {"services", list},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// @brief A client's connection to a host.
class Caller {
public:
  explicit Caller(std::string front) : Front(std::move(front)) {}

  /// @brief Sends a request on the kept connection, or on a new one.
  /// @param headers further header lines
  /// @param leavesAfter time after which the client leaves; 0 for the deadline
  /// @return nothing if the connection ended without a whole answer, or the
  /// client left
  std::optional<Message> send(const std::string &method,
                              const std::string &path, const std::string &id,
                              Milliseconds deadline,
                              const std::string &body = "",
                              const std::string &headers = "",
                              Milliseconds leavesAfter = {}) {
    if (!Connection.isOpen()) {
      Connection = connectTo(Front, Milliseconds(1000));
      Answers = 0;
    }
    const bool sent =
        Connection.isOpen() &&
        Connection.send(
            method + " " + path + " HTTP/1.1\r\nHost: leno12.example\r\n" +
            "Savorytrestle-Request-Id: " + id +
            "\r\nSavorytrestle-Deadline-Ms: " +
            std::to_string(deadline.count()) + "\r\n" + headers +
            (body.empty()
                 ? ""
                 : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
            "\r\n" + body);
    if (!sent) {
      Connection.close();
      return std::nullopt;
    }
    Connection.setReadTimeout(leavesAfter.count() > 0 ? leavesAfter : deadline);
    auto reply = Connection.read();
    if (reply)
      ++Answers;
    if (!reply || reply->header("connection") == "close")
      Connection.close();
    return reply;
  }

  /// @brief Answers on the present connection.
  int answers() const { return Answers; }

  std::string Front;

private:
  Socket Connection;
  int Answers = 0;
};

} // namespace review

#endif
