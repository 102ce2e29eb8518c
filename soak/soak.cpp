// Injects random faults while callers send requests to real host processes,
// then checks the guarantees; see docs/SOAK.md.

#include <atomic>
#include <csignal>
#include <cstdio>
#include <random>
#include <regex>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "BudgetCheck.h"
#include "CutHost.h"
#include "FaultyLink.h"
#include "NodeDeployment.h"
#include "WriteLog.h"
#include "support/SocketOptions.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and requests");
ABSL_FLAG(int, seconds, 8, "how long faults are injected");
ABSL_FLAG(int, nodes, 4, "host processes");
ABSL_FLAG(int, callers, 4, "caller threads");

using namespace savorytrestle;
using namespace std::chrono_literals;
using tests::NodeDeployment;
using tests::NodeProcess;
using tests::StoreFault;

namespace {

constexpr std::chrono::milliseconds RequestDeadline{1500};
/// Time within which every host serves complete answers after the faults end.
constexpr std::chrono::milliseconds RecoveryTime{15000};
constexpr std::size_t TopRecords = 4;
/// Time after which the platform expects no more requests at a draining leaf.
constexpr std::chrono::milliseconds DrainBound{3000};
/// Time from the end of all faults to the store counting as stable again. A
/// host may miss its news before, as with a watch that the store never answers.
constexpr std::chrono::milliseconds StabilityWindow{4000};
constexpr std::chrono::milliseconds ObservationAfterDrain{500};

/// Each configuration uses a random one of these shard sets.
const std::vector<std::vector<std::string>> ShardSets = {
    {"s0", "s1", "s2", "s3"}, {"s4", "s5", "s6"}};

/// One run: a deployment, its callers and its faults.
class Soak {
public:
  Soak(std::uint64_t seed, int nodes) : Random(seed) {
    for (const auto &shards : ShardSets)
      for (const std::string &shard : shards)
        for (const char *domain : {"a", "b"})
          Cluster.addLeaf("i-" + shard + domain, shard, domain);
    for (const char *domain : {"a", "b"})
      Cluster.addLeaf(std::string("i-plain") + domain, "plain", domain);
    putNextConfig();
    linkToLeaves();
    for (int i = 0; i < nodes; ++i)
      Cluster.addNode(true, i % 2 == 0 ? "a" : "b", linkToStore());
    Cut = std::make_unique<soak::CutHost>(Cluster, Config);
    Paused.resize(Cluster.Nodes.size());
  }

  // Ends the thread that runs the links before they are destroyed.
  ~Soak() { Cluster.stop(); }

  int run(std::chrono::seconds length, int callers) {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int i = 0; i < callers; ++i)
      threads.emplace_back([this, i] { runCaller(i); });
    const auto until = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < until) {
      injectFault();
      std::this_thread::sleep_for(
          std::chrono::milliseconds(50 + Random() % 400));
    }
    StopCallers = true;
    for (auto &thread : threads)
      thread.join();
    awaitRecovery();
    checkDrain();
    checkAll();
    return report();
  }

private:
  /// Makes hosts reach each leaf through a link with injectable faults.
  void linkToLeaves() {
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves) {
        Links.push_back(std::make_unique<soak::FaultyLink>(
            Cluster.Io, endpoint(leaf->address())));
        leaf->AdvertisedAddress = Links.back()->address();
        Cluster.Store->put(leaf->key(), leaf->entry());
      }
      return 0;
    });
  }

  /// Adds a link to the store for one host.
  /// @return address of the link
  std::string linkToStore() {
    return Cluster.runOnStandInThread([&] {
      Links.push_back(std::make_unique<soak::FaultyLink>(
          Cluster.Io, endpoint(Cluster.StoreAddress)));
      return Links.back()->address();
    });
  }

  static boost::asio::ip::tcp::endpoint endpoint(const std::string &address) {
    boost::asio::ip::tcp::endpoint endpoint;
    support::parseEndpoint(address, endpoint);
    return endpoint;
  }

  void injectLinkFault() {
    const std::size_t n = Random() % Links.size();
    const auto fault = static_cast<soak::LinkFault>(Random() % 6);
    Cluster.runOnStandInThread([&] {
      Links[n]->setFault(fault);
      return 0;
    });
  }

  /// Cuts one host off from all leaves, in one of several ways, or ends it.
  void cutOrReconnect() {
    static constexpr soak::LinkFault Faults[] = {soak::LinkFault::None,
                                                 soak::LinkFault::RefusesNew,
                                                 soak::LinkFault::Cut};
    const auto fault = Faults[Random() % std::size(Faults)];
    Cluster.runOnStandInThread([&] {
      Cut->setFault(fault);
      return 0;
    });
  }

  void putNextConfig() {
    Version += 1 + static_cast<int>(Random() % 3);
    Config = tests::testConfig(Version, ShardSets[Random() % ShardSets.size()]);
    Cluster.putConfig(Config);
    if (Cut)
      Cluster.runOnStandInThread([&] {
        Cut->putConfig(Config);
        return 0;
      });
  }

  void injectFault() {
    const std::size_t n = Random() % Cluster.Nodes.size();
    NodeProcess &node = *Cluster.Nodes[n];
    switch (Random() % 14) {
    case 0:
      Paused[n] = false;
      node.Child.kill();
      return Cluster.start(node);
    case 1:
      Paused[n] = false;
      return restartGracefully(node);
    case 2:
    case 3:
      Paused[n] = !Paused[n];
      return node.Child.signal(Paused[n] ? SIGSTOP : SIGCONT);
    case 4:
    case 5:
      return putNextConfig();
    case 6:
      return setStoreFault(static_cast<StoreFault>(Random() % 5));
    case 7:
      return changeLeafConduct();
    case 8:
    case 9:
    case 10:
      return injectLinkFault();
    case 11:
    case 12:
      return cutOrReconnect();
    default:
      return removeOrRestoreLeafEntries();
    }
  }

  void restartGracefully(NodeProcess &node) {
    node.Child.signal(SIGCONT);
    node.Child.signal(SIGTERM);
    if (const int code = node.Child.wait(); code != 0)
      Violations.add(node.Id + " exited on SIGTERM with status other than 0: " +
                     std::to_string(code));
    Cluster.start(node);
  }

  void setStoreFault(StoreFault fault) {
    Cluster.runOnStandInThread([&] {
      Cluster.Store->setFault(fault);
      return 0;
    });
  }

  void changeLeafConduct() {
    tests::LeafBehavior conduct;
    switch (Random() % 6) {
    case 0:
      conduct.Shed = true;
      break;
    case 1:
      conduct.NeverAnswer = true;
      break;
    case 2:
      conduct.Fail = true;
      break;
    case 3:
      conduct.ExecutionTime = 300ms;
      break;
    case 4:
      conduct.RateLimit = "10";
      break;
    default:
      break;
    }
    const std::size_t n = Random() % Cluster.Leaves.size();
    Cluster.runOnStandInThread([&] {
      Cluster.Leaves[n]->Behavior = conduct;
      return 0;
    });
  }

  /// Removes or restores the entries of all leaves, then compacts the store so
  /// that watchers lose its history.
  void removeOrRestoreLeafEntries() {
    const bool removes = Random() % 2 == 0;
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        if (removes)
          Cluster.Store->remove(leaf->key());
        else
          Cluster.Store->put(leaf->key(), leaf->entry());
      removes ? Cut->removeLeaves() : Cut->putLeaves();
      Cluster.Store->compact();
      return 0;
    });
  }

  void runCaller(int caller) {
    std::minstd_rand random(static_cast<unsigned>(caller) + 77);
    std::vector<support::HttpClient> clients(Cluster.Nodes.size());
    for (int i = 0; !StopCallers; ++i) {
      const std::size_t n = random() % clients.size();
      const std::string id =
          "c" + std::to_string(caller) + "-" + std::to_string(i);
      const bool write = random() % 2 == 0;
      const std::string body = write ? "filing " + id : "";
      (write ? WritesSent : SearchesSent).record();
      const auto reply =
          clients[n].send({write ? "POST" : "GET",
                           "http://" + Cluster.Nodes[n]->CallerAddress +
                               (write ? "/file/x" : "/search/x"),
                           body,
                           {{"Host", "a.example"},
                            {"Savorytrestle-Request-Id", id},
                            {"Savorytrestle-Deadline-Ms",
                             std::to_string(RequestDeadline.count())}},
                           RequestDeadline + 500ms});
      const int status = reply ? reply->Status : 0;
      if (write)
        Writes.record(id, status);
      if (status == 200) {
        ++Served;
        if (write && reply->Body != body)
          Violations.add(id + ": reply holds the body of another request");
        if (!write)
          checkSearch(id, *reply);
      }
    }
  }

  void checkSearch(const std::string &id, const support::HttpReply &reply) {
    std::set<std::string> services;
    if (reply.Headers.count("savorytrestle-part-stamps") == 0)
      return Violations.add(id + ": reply names no parts: " + reply.Body);
    const std::vector<std::string> stamps =
        absl::StrSplit(reply.Headers.at("savorytrestle-part-stamps"), ", ");
    const std::string ending = "-" + id;
    for (const std::string &stamp : stamps) {
      // "stamp-i-SERVICEDOMAIN-REQUEST"
      if (stamp.size() != id.size() + 12 || !stamp.ends_with(ending))
        return Violations.add(absl::StrCat(
            id, ": reply holds a part of another request: ", stamp));
      if (!services.insert(stamp.substr(8, 2)).second)
        return Violations.add(id + ": reply holds two parts of one shard");
    }
    const std::size_t missing =
        std::stoul(reply.Headers.at("savorytrestle-missing-parts"));
    const auto fits = [&](const std::vector<std::string> &set) {
      return services.size() + missing == set.size() &&
             std::all_of(services.begin(), services.end(), [&](const auto &it) {
               return std::find(set.begin(), set.end(), it) != set.end();
             });
    };
    if (std::none_of(ShardSets.begin(), ShardSets.end(), fits))
      Violations.add(
          id + ": answered and missing parts do not add up to a shard set");
    if (reply.Body != expectedBody(services))
      Violations.add(
          id + ": body is not the greatest records of the answered parts");
  }

  static std::string expectedBody(const std::set<std::string> &services) {
    std::vector<std::string> records;
    for (const std::string &service : services)
      for (const char rank : {'1', '2', '3'}) {
        std::string record = std::string(1, rank) + service;
        record.resize(16, '.');
        records.push_back(std::move(record));
      }
    std::sort(records.begin(), records.end(), std::greater<>());
    std::string body;
    for (std::size_t i = 0; i < std::min(TopRecords, records.size()); ++i)
      body += records[i];
    return body;
  }

  /// Ends all faults and waits until every host serves complete answers again.
  void awaitRecovery() {
    for (std::size_t n = 0; n < Cluster.Nodes.size(); ++n)
      Cluster.Nodes[n]->Child.signal(SIGCONT);
    FaultsEndedAt = std::chrono::steady_clock::now();
    Cluster.runOnStandInThread([&] {
      Cluster.Store->setFault(StoreFault::None);
      for (const auto &link : Links)
        link->setFault(soak::LinkFault::None);
      Cut->setFault(soak::LinkFault::None);
      Cut->putLeaves();
      for (const auto &leaf : Cluster.Leaves) {
        leaf->Behavior = {};
        Cluster.Store->put(leaf->key(), leaf->entry());
      }
      return 0;
    });
    putNextConfig();
    for (const auto &node : Cluster.Nodes)
      if (!testing::eventually(
              [&] {
                const auto reply = NodeDeployment::sendRequest(
                    *node, "/search/x",
                    absl::StrCat("settle-", ++RecoveryProbes));
                return reply.Status == 200 &&
                       reply.Headers.at("savorytrestle-missing-parts") == "0";
              },
              RecoveryTime))
        Violations.add(
            node->Id +
            " served no complete answer in time after the faults ended");
  }

  /// Checks that a draining leaf receives no requests after DrainBound.
  void checkDrain() {
    tests::PlatformLeaf *leaf = nullptr;
    std::size_t index = 0;
    Cluster.runOnStandInThread([&] {
      for (std::size_t i = 0; i < Cluster.Leaves.size(); ++i)
        if (Cluster.Leaves[i]->Service == "plain") {
          leaf = Cluster.Leaves[i].get();
          index = i;
        }
      Cluster.Store->put(leaf->key(), leaf->entry(true));
      Cut->putLeaf(index, true);
      return 0;
    });
    const auto drained = std::max(std::chrono::steady_clock::now() + DrainBound,
                                  FaultsEndedAt + StabilityWindow);
    for (int i = 0;
         std::chrono::steady_clock::now() < drained + ObservationAfterDrain;
         ++i)
      for (const auto &node : Cluster.Nodes)
        NodeDeployment::sendRequest(*node, "/read/x",
                                    absl::StrCat("d", i, node->Id));
    const auto late = Cluster.runOnStandInThread([&] {
      return std::count_if(
          leaf->Arrivals.begin(), leaf->Arrivals.end(),
          [&](const auto &arrival) { return arrival.At > drained; });
    });
    if (late > 0)
      Violations.add(absl::StrCat(
          late, " requests reached a draining leaf after the drain bound"));
  }

  void checkRetryBudgets() {
    std::map<std::string, std::vector<tests::PlatformLeaf::Arrival>> arrivals;
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        arrivals[leaf->Service].insert(arrivals[leaf->Service].end(),
                                       leaf->Arrivals.begin(),
                                       leaf->Arrivals.end());
      return 0;
    });
    for (const auto &[service, serviceArrivals] : arrivals)
      soak::checkRetryBudget(
          service, serviceArrivals,
          (service == "plain" ? WritesSent : SearchesSent).times(),
          {0.2, 54, 10s}, Violations);
  }

  void checkAll() {
    checkRetryBudgets();
    std::map<std::string, int> runs;
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        if (leaf->Service == "plain")
          for (const auto &[id, n] : leaf->RunsByRequest)
            runs[id] += n;
      return 0;
    });
    Writes.check(runs, Violations);
    for (const auto &node : Cluster.Nodes)
      checkVersions(*node);
  }

  /// Checks that the configuration version only grows within one process.
  void checkVersions(const NodeProcess &node) {
    static const std::regex line(
        "event=(start |config_in_force version=([0-9]+))");
    const std::string log = node.log();
    int last = 0;
    for (std::sregex_iterator it(log.begin(), log.end(), line), end; it != end;
         ++it) {
      const int version = (*it)[2].matched ? std::stoi((*it)[2]) : 0;
      if (version != 0 && version <= last)
        Violations.add(node.Id + " went back to configuration version " +
                       std::to_string(version));
      last = version;
    }
  }

  int report() const {
    const auto violations = Violations.all();
    for (const std::string &text : violations)
      std::printf("broken: %s\n", text.c_str());
    std::printf(
        "requests served %d, writes refused %zu, writes unanswered %zu, "
        "violations %zu\n",
        Served.load(), Writes.count(503), Writes.count(0), violations.size());
    return violations.empty() && Served > 0 ? 0 : 1;
  }

  NodeDeployment Cluster;
  std::minstd_rand Random;
  std::vector<bool> Paused;
  /// Must outlive the connections that they forward.
  std::vector<std::unique_ptr<soak::FaultyLink>> Links;
  nlohmann::json Config;
  std::unique_ptr<soak::CutHost> Cut;
  soak::WriteLog Writes;
  soak::SendTimes WritesSent;
  soak::SendTimes SearchesSent;
  soak::Violations Violations;
  std::atomic<int> Served{0};
  std::atomic<bool> StopCallers{false};
  std::chrono::steady_clock::time_point FaultsEndedAt;
  int Version = 0;
  int RecoveryProbes = 0;
};

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  std::printf("seed %llu\n",
              static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)));
  Soak soak(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_nodes));
  return soak.run(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)),
                  absl::GetFlag(FLAGS_callers));
}
