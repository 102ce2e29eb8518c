// Randomized faults against real host processes; see docs/SOAK.md.

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
#include "FaultyLink.h"
#include "Ledger.h"
#include "NodeDeployment.h"
#include "support/SocketOptions.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults and requests");
ABSL_FLAG(int, seconds, 8, "how long faults go on");
ABSL_FLAG(int, nodes, 4, "host processes");
ABSL_FLAG(int, callers, 4, "caller threads");

using namespace savorytrestle;
using namespace std::chrono_literals;
using tests::NodeDeployment;
using tests::NodeProcess;
using tests::StoreFault;

namespace {

constexpr std::chrono::milliseconds RequestDeadline{1500};
/// Time in which all is well again once faults have ended.
constexpr std::chrono::milliseconds RecoveryTime{15000};
constexpr std::size_t TopRecords = 4;
/// Bound on requests to a draining leaf, as the platform sets it.
constexpr std::chrono::milliseconds DrainTime{3000};
constexpr std::chrono::milliseconds DrainedLongEnough{500};

/// Shard sets that configurations alternate between.
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
    linkLeaves();
    for (int i = 0; i < nodes; ++i)
      Cluster.addNode(true, i % 2 == 0 ? "a" : "b", linkToStore());
    Paused.resize(Cluster.Nodes.size());
  }

  // The links' thread ends before the links do.
  ~Soak() { Cluster.stop(); }

  int run(std::chrono::seconds length, int callers) {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
    for (int i = 0; i < callers; ++i)
      threads.emplace_back([this, i] { call(i); });
    const auto until = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < until) {
      disturb();
      std::this_thread::sleep_for(
          std::chrono::milliseconds(50 + Random() % 400));
    }
    Stop = true;
    for (auto &thread : threads)
      thread.join();
    settle();
    checkDrain();
    checkAll();
    return report();
  }

private:
  /// Leaves are reached through links that can be disturbed.
  void linkLeaves() {
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

  /// Each host reaches the store through a link of its own.
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

  void disturbLink() {
    const std::size_t n = Random() % Links.size();
    const auto fault = static_cast<soak::LinkFault>(Random() % 6);
    Cluster.runOnStandInThread([&] {
      Links[n]->setFault(fault);
      return 0;
    });
  }

  void putNextConfig() {
    Version += 1 + static_cast<int>(Random() % 3);
    Cluster.putConfig(
        tests::testConfig(Version, ShardSets[Random() % ShardSets.size()]));
  }

  void disturb() {
    const std::size_t n = Random() % Cluster.Nodes.size();
    NodeProcess &node = *Cluster.Nodes[n];
    switch (Random() % 12) {
    case 0:
      Paused[n] = false;
      node.Child.kill();
      return Cluster.start(node);
    case 1:
      Paused[n] = false;
      return restartPlanned(node);
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
      return changeLeaf();
    case 8:
    case 9:
    case 10:
      return disturbLink();
    default:
      return lapse();
    }
  }

  void restartPlanned(NodeProcess &node) {
    node.Child.signal(SIGCONT);
    node.Child.signal(SIGTERM);
    if (const int code = node.Child.wait(); code != 0)
      Broken.add(node.Id + " ended with " + std::to_string(code));
    Cluster.start(node);
  }

  void setStoreFault(StoreFault fault) {
    Cluster.runOnStandInThread([&] {
      Cluster.Store->setFault(fault);
      return 0;
    });
  }

  void changeLeaf() {
    tests::LeafBehavior conduct;
    switch (Random() % 5) {
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
    default:
      break;
    }
    const std::size_t n = Random() % Cluster.Leaves.size();
    Cluster.runOnStandInThread([&] {
      Cluster.Leaves[n]->Behavior = conduct;
      return 0;
    });
  }

  /// All entries go, or come back; the history may be dropped.
  void lapse() {
    const bool gone = Random() % 2 == 0;
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        if (gone)
          Cluster.Store->remove(leaf->key());
        else
          Cluster.Store->put(leaf->key(), leaf->entry());
      Cluster.Store->compact();
      return 0;
    });
  }

  void call(int caller) {
    std::minstd_rand random(static_cast<unsigned>(caller) + 77);
    std::vector<support::HttpClient> clients(Cluster.Nodes.size());
    for (int i = 0; !Stop; ++i) {
      const std::size_t n = random() % clients.size();
      const std::string id =
          "c" + std::to_string(caller) + "-" + std::to_string(i);
      const bool write = random() % 2 == 0;
      const std::string body = write ? "filing " + id : "";
      (write ? WritesSent : SearchesSent).note();
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
        Writes.note(id, status);
      if (status == 200) {
        ++Served;
        if (write && reply->Body != body)
          Broken.add(id + ": body of another request");
        if (!write)
          checkSearch(id, *reply);
      }
    }
  }

  void checkSearch(const std::string &id, const support::HttpReply &reply) {
    std::set<std::string> services;
    const std::vector<std::string> stamps =
        absl::StrSplit(reply.Headers.at("savorytrestle-part-stamps"), ", ");
    const std::string ending = "-" + id;
    for (const std::string &stamp : stamps) {
      // "stamp-i-SERVICEDOMAIN-REQUEST"
      if (stamp.size() != id.size() + 12 || !stamp.ends_with(ending))
        return Broken.add(
            absl::StrCat(id, ": part of another request: ", stamp));
      if (!services.insert(stamp.substr(8, 2)).second)
        return Broken.add(id + ": two parts of one shard");
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
      Broken.add(id + ": parts and missing make up no shard set");
    if (reply.Body != expectedBody(services))
      Broken.add(id + ": not the greatest records of the parts named");
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

  /// Ends all faults and waits until every host serves whole answers again.
  void settle() {
    for (std::size_t n = 0; n < Cluster.Nodes.size(); ++n)
      Cluster.Nodes[n]->Child.signal(SIGCONT);
    Cluster.runOnStandInThread([&] {
      Cluster.Store->setFault(StoreFault::None);
      for (const auto &link : Links)
        link->setFault(soak::LinkFault::None);
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
                    *node, "/search/x", absl::StrCat("settle-", ++Settling));
                return reply.Status == 200 &&
                       reply.Headers.at("savorytrestle-missing-parts") == "0";
              },
              RecoveryTime))
        Broken.add(node->Id + " serves no whole answer after the faults");
  }

  /// A leaf that is draining gets nothing more once the bound is over.
  void checkDrain() {
    tests::PlatformLeaf *leaf = nullptr;
    Cluster.runOnStandInThread([&] {
      for (const auto &it : Cluster.Leaves)
        if (it->Service == "plain")
          leaf = it.get();
      Cluster.Store->put(leaf->key(), leaf->entry(true));
      return 0;
    });
    const auto drained = std::chrono::steady_clock::now() + DrainTime;
    for (int i = 0;
         std::chrono::steady_clock::now() < drained + DrainedLongEnough; ++i)
      for (const auto &node : Cluster.Nodes)
        NodeDeployment::sendRequest(*node, "/read/x",
                                    absl::StrCat("d", i, node->Id));
    const auto late = Cluster.runOnStandInThread([&] {
      return std::count_if(
          leaf->Arrivals.begin(), leaf->Arrivals.end(),
          [&](const auto &arrival) { return arrival.At > drained; });
    });
    if (late > 0)
      Broken.add(
          absl::StrCat(late, " requests reached a leaf that had drained"));
  }

  void checkBudgets() {
    std::map<std::string, std::vector<tests::PlatformLeaf::Arrival>> arrivals;
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        arrivals[leaf->Service].insert(arrivals[leaf->Service].end(),
                                       leaf->Arrivals.begin(),
                                       leaf->Arrivals.end());
      return 0;
    });
    for (const auto &[service, seen] : arrivals)
      soak::checkBudget(
          service, seen,
          (service == "plain" ? WritesSent : SearchesSent).times(),
          {0.2, 54, 10s}, Broken);
  }

  void checkAll() {
    checkBudgets();
    std::map<std::string, int> runs;
    Cluster.runOnStandInThread([&] {
      for (const auto &leaf : Cluster.Leaves)
        if (leaf->Service == "plain")
          for (const auto &[id, n] : leaf->RunsByRequest)
            runs[id] += n;
      return 0;
    });
    Writes.check(runs, Broken);
    for (const auto &node : Cluster.Nodes)
      checkVersions(*node);
  }

  /// Within one process, versions only grow.
  void checkVersions(const NodeProcess &node) {
    static const std::regex line(
        "event=(start |config_in_force version=([0-9]+))");
    const std::string log = node.log();
    int last = 0;
    for (std::sregex_iterator it(log.begin(), log.end(), line), end; it != end;
         ++it) {
      const int version = (*it)[2].matched ? std::stoi((*it)[2]) : 0;
      if (version != 0 && version <= last)
        Broken.add(node.Id + " went back to version " +
                   std::to_string(version));
      last = version;
    }
  }

  int report() const {
    const auto findings = Broken.all();
    for (const std::string &text : findings)
      std::printf("broken: %s\n", text.c_str());
    std::printf("served %d, filings refused %zu, without an answer %zu, "
                "broken promises %zu\n",
                Served.load(), Writes.count(503), Writes.count(0),
                findings.size());
    return findings.empty() && Served > 0 ? 0 : 1;
  }

  NodeDeployment Cluster;
  std::minstd_rand Random;
  std::vector<bool> Paused;
  /// They outlive the connections through them.
  std::vector<std::unique_ptr<soak::FaultyLink>> Links;
  soak::Ledger Writes;
  soak::SendTimes WritesSent;
  soak::SendTimes SearchesSent;
  soak::Findings Broken;
  std::atomic<int> Served{0};
  std::atomic<bool> Stop{false};
  int Version = 0;
  int Settling = 0;
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
