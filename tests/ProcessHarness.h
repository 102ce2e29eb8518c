#ifndef SAVORYTRESTLE_TESTS_PROCESS_HARNESS_H
#define SAVORYTRESTLE_TESTS_PROCESS_HARNESS_H

/// @file
/// @brief Starts stand-ins and hosts as processes, for the process tests.

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "support/HttpClient.h"

namespace savorytrestle::testing {

/// @brief Token of the root operator on every host of a test.
inline constexpr const char *RootToken = "test-root-token";

/// @brief A child process; killed when it goes out of scope.
class Process {
public:
  Process() = default;
  /// @brief Starts a program.
  /// @param arguments its name in the build directory, or its absolute path,
  /// and its arguments
  /// @param logFile file for standard output and error; if empty, standard
  /// error is discarded and standard output is kept for @ref readPort
  explicit Process(const std::vector<std::string> &arguments,
                   const std::string &logFile = "");
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;
  ~Process();

  /// @brief Waits for the line "port=N" on the program's standard output.
  /// @return the port, 0 if the program ended without printing it
  int readPort();

  /// @brief Sends a signal.
  /// @param number the signal
  void signal(int number) const;

  /// @brief Waits until the process ends.
  /// @return the exit code, or the negated number of the signal that ended it
  int wait();

  /// @brief Kills with SIGKILL and waits.
  void kill();

  /// @brief Its process id; 0 if it is not running.
  pid_t id() const { return Pid; }

  /// @brief Whether the process has ended without @ref kill.
  bool ended();

private:
  pid_t Pid = 0;
  int Output = -1;
};

/// @brief A JSON answer with its HTTP status; status 0 if there was none.
struct JsonReply {
  int Status = 0;
  nlohmann::json Body;
  std::map<std::string, std::string> Headers;
};

/// @brief Sends a JSON request and parses the JSON answer.
JsonReply
sendJson(const std::string &method, const std::string &url,
         const nlohmann::json &body,
         const std::map<std::string, std::string> &headers = {},
         std::chrono::milliseconds timeout = std::chrono::milliseconds(5000));

/// @brief A port that was free when checked; another process may take it.
int freePort();

/// @brief Waits until a condition holds.
/// @return false if the time ran out first
template <typename F>
bool eventually(F condition, std::chrono::milliseconds within =
                                 std::chrono::milliseconds(10000)) {
  const auto until = std::chrono::steady_clock::now() + within;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until)
      return false;
    usleep(20000);
  }
  return true;
}

/// @brief One stand-in leaf.
struct LeafProcess {
  std::string Name;
  std::string Address;
  std::vector<std::string> Arguments;
  Process Child;

  /// @brief Changes settings and returns the counters.
  nlohmann::json control(const nlohmann::json &change = nullptr) const;
  /// @brief Restarts the leaf on its port, after a crash or kill.
  void restart();
};

/// @brief One entry host.
struct HostProcess {
  std::string Id;
  std::string CallerAddress;
  std::string OperatorAddress;
  std::string PeerAddress;
  std::string ConfigFile;
  Process Child;

  /// @brief Sends a caller request.
  JsonReply call(const std::string &path, const nlohmann::json &body,
                 std::chrono::milliseconds deadline,
                 std::map<std::string, std::string> headers = {}) const;
  bool ready() const;
};

/// @brief A deployment of stand-ins and hosts on loopback.
class Deployment {
public:
  /// @brief Starts the key-value stand-in.
  explicit Deployment(const std::vector<std::string> &kvArguments = {});
  ~Deployment();

  /// @brief Starts a leaf.
  /// @param name its name
  /// @param arguments flags of leaf-standin
  LeafProcess &addLeaf(const std::string &name,
                       const std::vector<std::string> &arguments);

  /// @brief Starts a host; its id is "host-N".
  /// @param failureDomain its failure domain
  /// @param extra further lines of its YAML file
  HostProcess &addHost(const std::string &failureDomain,
                       const std::string &extra = "");

  /// @brief Kills a host and starts it again with its configuration file.
  void restart(HostProcess &host) const;

  /// @brief Starts the host list stand-in; hosts added later read it.
  /// @param lag time until a change of the list is visible
  void startHostList(std::chrono::milliseconds lag);

  /// @brief Sets the live hosts in the host list.
  void publishHostList() const;

  /// @brief Changes the store's faults and returns its counters.
  nlohmann::json storeControl(const nlohmann::json &change = nullptr) const;

  std::string Folder;
  std::string StoreAddress;
  Process StoreChild;
  /// Address of the host list stand-in; empty until @ref startHostList.
  std::string HostListAddress;
  Process HostListChild;
  std::vector<std::unique_ptr<LeafProcess>> Leaves;
  std::vector<std::unique_ptr<HostProcess>> Hosts;
};

} // namespace savorytrestle::testing

#endif
