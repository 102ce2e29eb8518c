#ifndef SAVORYTRESTLE_TESTS_NODE_DEPLOYMENT_H
#define SAVORYTRESTLE_TESTS_NODE_DEPLOYMENT_H

/// @file
/// @brief Runs hosts on the platform as processes, and the stand-ins for the
/// store and the leaves on a thread of the test.

#include <utility>

#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>

#include "ProcessHarness.h"
#include "standins/MetadataStore.h"
#include "standins/PlatformLeaf.h"
#include "support/HttpClient.h"

namespace savorytrestle::tests {

/// @brief Reserves a port for this process, whether a host listens there or is
/// down for a while, by holding the UDP port of the same number.
/// @return nothing if another process has reserved it or listens on it
inline std::optional<boost::asio::ip::udp::socket>
reservePort(boost::asio::io_context &io, int port) {
  const auto loopback = boost::asio::ip::address_v4::loopback();
  const auto number = static_cast<unsigned short>(port);
  boost::asio::ip::udp::socket reservation(io, boost::asio::ip::udp::v4());
  // Hosts must not inherit it and outlive this process with it.
  fcntl(reservation.native_handle(), F_SETFD, FD_CLOEXEC);
  boost::asio::ip::tcp::acceptor acceptor(io, boost::asio::ip::tcp::v4());
  boost::system::error_code ec;
  reservation.bind({loopback, number}, ec);
  if (!ec)
    acceptor.bind({loopback, number}, ec);
  return ec ? std::nullopt : std::optional(std::move(reservation));
}

/// @brief A free port below the ephemeral range, so that no outgoing connection
/// takes it while its host is restarted, nor another test process.
inline int nonEphemeralPort() {
  static int next = 10000 + getpid() * 37 % 20000;
  static boost::asio::io_context io;
  static std::vector<boost::asio::ip::udp::socket> reservations;
  for (;;) {
    next = next >= 31000 ? 10000 : next + 1;
    if (auto reservation = reservePort(io, next)) {
      reservations.push_back(std::move(*reservation));
      return next;
    }
  }
}

/// @brief One host process.
struct NodeProcess {
  std::string Id;
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string PeerAddress;
  std::string MetricsAddress;
  std::string ConfigFile;
  std::string LogFile;
  testing::Process Child;

  /// @brief Reads the log written so far.
  std::string log() const {
    std::ifstream file(LogFile);
    return {std::istreambuf_iterator<char>(file), {}};
  }
};

/// @brief An answer as the caller receives it; status 0 if there was none.
struct CallerReply {
  int Status = 0;
  std::string Body;
  std::map<std::string, std::string> Headers;
};

/// @brief The deployment; its destructor ends all hosts and stand-ins.
class NodeDeployment {
public:
  NodeDeployment()
      : WorkGuard(boost::asio::make_work_guard(Io)),
        Folder(std::filesystem::temp_directory_path() /
               ("savorytrestle-node-" + std::to_string(getpid()) + "-" +
                std::to_string(++Count))) {
    std::filesystem::create_directories(Folder);
    StoreAddress = "127.0.0.1:" + std::to_string(nonEphemeralPort());
    Store = std::make_unique<MetadataStore>(Io);
    StoreOpen = Store->open(StoreAddress).has_value();
    Thread = std::thread([this] { Io.run(); });
  }

  ~NodeDeployment() {
    stop();
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(Folder);
  }

  /// @brief Ends the hosts and the stand-ins' thread.
  void stop() {
    Nodes.clear();
    WorkGuard.reset();
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }

  /// @brief Runs a function on the stand-ins' thread and returns its result.
  template <typename F> auto runOnStandInThread(F f) {
    std::packaged_task<decltype(f())()> task(std::move(f));
    auto done = task.get_future();
    boost::asio::post(Io, [&task] { task(); });
    return done.get();
  }

  /// @brief Adds a leaf and writes its entry to the store.
  PlatformLeaf &addLeaf(const std::string &id, const std::string &service,
                        const std::string &failureDomain = "a") {
    return *runOnStandInThread([&] {
      Leaves.push_back(
          std::make_unique<PlatformLeaf>(Io, id, service, failureDomain));
      Store->put(Leaves.back()->key(), Leaves.back()->entry());
      return Leaves.back().get();
    });
  }

  /// @brief Writes a configuration to the store, as an operator does.
  void putConfig(const nlohmann::json &config) {
    runOnStandInThread([&] {
      Store->put("op/config", config.dump());
      return 0;
    });
  }

  /// @brief Starts a host.
  /// @param waitReady whether to wait until it is ready
  /// @param failureDomain its failure domain
  /// @param store address under which it connects to the store; empty for
  /// @ref StoreAddress
  /// @param seeds peer addresses to start from; the first hosts if not given
  NodeProcess &addNode(bool waitReady = true,
                       const std::string &failureDomain = "a",
                       const std::string &store = "",
                       const std::optional<std::string> &seeds = {}) {
    auto node = std::make_unique<NodeProcess>();
    node->Id = "node-" + std::to_string(Nodes.size());
    node->CallerAddress = "127.0.0.1:" + std::to_string(nonEphemeralPort());
    node->ReadinessAddress = "127.0.0.1:" + std::to_string(nonEphemeralPort());
    node->PeerAddress = "127.0.0.1:" + std::to_string(nonEphemeralPort());
    node->MetricsAddress = "127.0.0.1:" + std::to_string(nonEphemeralPort());
    node->ConfigFile = (Folder / (node->Id + ".yaml")).string();
    node->LogFile = (Folder / (node->Id + ".log")).string();
    std::ofstream(node->ConfigFile)
        << "host: {id: " << node->Id << ", failure_domain: " << failureDomain
        << "}\n"
        << "regions: {a: west, b: west, c: east}\n"
        << "listen:\n  callers: " << node->CallerAddress
        << "\n  readiness: " << node->ReadinessAddress
        << "\n  peers: " << node->PeerAddress
        << "\n  metrics: " << node->MetricsAddress << "\nseeds: ["
        << seeds.value_or(seedPeers()) << "]"
        << (FleetStarts ? "\nstart: fleet" : "")
        << "\nplatform:\n  store: " << (store.empty() ? StoreAddress : store)
        << "\nbounds: {stop_grace: 4 s, retry_ratio: 0.2, "
        << "retry_extra: 54, retry_window: 10 s, "
        << "warmup_overage: 1.5, warmup_slack: 5, evacuation: 5 s}\n"
        << ExtraSettings;
    Nodes.push_back(std::move(node));
    start(*Nodes.back());
    if (waitReady)
      testing::eventually([&] { return ready(*Nodes.back()); });
    return *Nodes.back();
  }

  /// @brief Peer addresses of up to three hosts started first.
  std::string seedPeers() const {
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, Nodes.size()); ++i)
      seeds += (i == 0 ? "\"" : ", \"") + Nodes[i]->PeerAddress + "\"";
    return seeds;
  }

  /// @brief Starts or restarts a host's process.
  void start(NodeProcess &node) const {
    node.Child = testing::Process(
        {Program, "node", "--config=" + node.ConfigFile}, node.LogFile);
  }

  static bool ready(const NodeProcess &node) {
    return get(node.ReadinessAddress, "/readiness", {}).Status == 200;
  }

  /// @brief Sends a GET request and waits for its answer.
  static CallerReply
  get(const std::string &address, const std::string &path,
      const std::map<std::string, std::string> &headers,
      std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    return send("GET", address, path, headers, "", timeout);
  }

  static CallerReply
  send(const std::string &method, const std::string &address,
       const std::string &path,
       const std::map<std::string, std::string> &headers,
       const std::string &body,
       std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
    support::HttpClient client;
    const auto reply = client.send(
        {method, "http://" + address + path, body, headers, timeout});
    if (!reply)
      return {};
    return {reply->Status, reply->Body, reply->Headers};
  }

  /// @brief Sends a caller's request to a route of host "a.example".
  static CallerReply
  sendRequest(const NodeProcess &node, const std::string &path,
              const std::string &id,
              std::chrono::milliseconds deadline = std::chrono::seconds(5),
              const std::string &method = "GET", const std::string &body = "") {
    return send(
        method, node.CallerAddress, path,
        {{"Host", "a.example"},
         {"Savorytrestle-Request-Id", id},
         {"Savorytrestle-Deadline-Ms", std::to_string(deadline.count())}},
        body);
  }

  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  std::filesystem::path Folder;
  std::string StoreAddress;
  /// Program of hosts that are started from now on.
  std::string Program = "savorytrestle";
  /// Lines added to the settings of hosts that are added later.
  std::string ExtraSettings;
  bool StoreOpen = false;
  /// Whether nodes are added as the hosts of a fleet that starts together.
  bool FleetStarts = false;
  std::unique_ptr<MetadataStore> Store;
  std::vector<std::unique_ptr<PlatformLeaf>> Leaves;
  std::vector<std::unique_ptr<NodeProcess>> Nodes;
  std::thread Thread;

private:
  static inline int Count = 0;
};

/// @brief A configuration of one sharded and two unsharded routes of
/// "a.example".
inline nlohmann::json testConfig(int version,
                                 const std::vector<std::string> &shards) {
  using nlohmann::json;
  json services = json::array();
  std::vector<std::string> names = shards;
  names.insert(names.end(), {"plain"});
  for (const std::string &name : names)
    services.push_back({{"name", name},
                        {"healthCheckPath", "/health"},
                        {"maxConnections", 41},
                        {"protocol", "h1"},
                        {"tls", false}});
  const auto route = [](const char *name, const char *prefix, bool idempotent) {
    return json{{"name", name},
                {"host", "a.example"},
                {"pathPrefix", prefix},
                {"type", idempotent ? "idempotent" : "non_idempotent"},
                {"timeoutMs", 2000},
                {"targetLatencyMs", 400},
                {"priority", 1},
                {"maxAttempts", 2}};
  };
  json search = route("search", "/search/", true);
  search["fanoutServices"] = shards;
  search["topK"] = 4;
  search["minShardShare"] = 0.5;
  json read = route("read", "/read/", true);
  read["service"] = "plain";
  json file = route("file", "/file/", false);
  file["service"] = "plain";
  return {{"version", version},
          {"routes", {search, read, file}},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

} // namespace savorytrestle::tests

#endif
