#include "PathFixture.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <random>
#include <set>
#include <thread>

using namespace savorytrestle::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

using SettingsTest = savorytrestle::testing::PathTest;

constexpr const char *SearchService = "/preisaufsicht/preisportal";
constexpr const char *WriteService = "/preisaufsicht/meldestelle";

/// An operator that sets a key repeatedly and resends each change under the
/// same id until it is accepted.
class Operator {
public:
  Operator(const std::vector<std::unique_ptr<HostProcess>> &hosts,
           std::string path, int seed)
      : Hosts(hosts), Path(std::move(path)),
        Random(static_cast<unsigned>(seed)), Seed(seed) {}

  /// Sends one change up to 200 times; records its id when it is accepted.
  void change(int number) {
    const std::string id =
        "op" + std::to_string(Seed) + "-" + std::to_string(number);
    const int value = 10 + number % 50;
    for (int attempt = 0; attempt < 200; ++attempt) {
      const auto &host = *Hosts[Random() % Hosts.size()];
      const auto reply = sendJson(
          "PUT",
          "http://" + host.OperatorAddress + "/v1/settings?path=" + Path +
              "&key=leaf_slots&change_id=" + id +
              (attempt == 0 ? "&resend=false" : ""),
          json{{"value", value}}, authorization(), 3000ms);
      if (reply.Status == 200 && reply.Body["outcome"] == "accepted") {
        Accepted.insert(id);
        return;
      }
      std::this_thread::sleep_for(50ms);
    }
    ++UnconfirmedChanges;
  }

  static std::map<std::string, std::string> authorization() {
    return {{"Authorization", std::string("Bearer ") + RootToken}};
  }

  std::set<std::string> Accepted;
  int UnconfirmedChanges = 0;

private:
  const std::vector<std::unique_ptr<HostProcess>> &Hosts;
  const std::string Path;
  std::minstd_rand Random;
  const int Seed;
};

/// Revision in force on a host, from its metrics; empty if the host does not
/// answer.
std::optional<std::uint64_t> revisionOn(const HostProcess &host) {
  thread_local savorytrestle::support::HttpClient client;
  savorytrestle::support::HttpCall call;
  call.Url = "http://" + host.OperatorAddress + "/metrics";
  call.Timeout = 500ms;
  const auto reply = client.send(call);
  const std::string name = "\nsavorytrestle_settings_revision ";
  const auto at = reply ? reply->Body.find(name) : std::string::npos;
  if (at == std::string::npos)
    return std::nullopt;
  return std::strtoull(reply->Body.c_str() + at + name.size(), nullptr, 10);
}

/// All audit entries, newest first.
std::vector<json> fetchAuditTrail(const HostProcess &host) {
  std::vector<json> entries;
  std::string before;
  for (;;) {
    const auto reply = sendJson("GET",
                                "http://" + host.OperatorAddress +
                                    "/v1/history?limit=100" + before,
                                nullptr, Operator::authorization());
    for (const auto &entry : reply.Body.value("entries", json::array()))
      entries.push_back(entry);
    if (!reply.Body.contains("next_before"))
      return entries;
    before = "&before=" + reply.Body["next_before"].dump();
  }
}

TEST_F(SettingsTest, FiveHundredConcurrentChangesUnderFaultsAreKept) {
  constexpr int ChangesEach = 250;
  startLeaves();
  for (int n = 0; n < 4; ++n)
    startHost();
  std::atomic<bool> stop{false};
  std::atomic<int> reverted{0};
  // A restarted process begins without a revision, so the last host, which is
  // restarted, is left out; in one process the revision must not decrease.
  std::thread watcher([&] {
    std::vector<std::uint64_t> seen(Cluster.Hosts.size(), 0);
    while (!stop) {
      for (std::size_t n = 0; n + 1 < Cluster.Hosts.size(); ++n)
        if (const auto now = revisionOn(*Cluster.Hosts[n])) {
          reverted += *now < seen[n] ? 1 : 0;
          seen[n] = *now;
        }
      std::this_thread::sleep_for(10ms);
    }
  });
  std::thread faults([&] {
    auto &victim = *Cluster.Hosts.back();
    for (int round = 0; !stop; ++round) {
      Cluster.storeControl({{"lose_percent", round % 2 == 0 ? 10 : 0}});
      std::this_thread::sleep_for(300ms);
      Cluster.storeControl({{"outage", true}});
      std::this_thread::sleep_for(200ms);
      Cluster.storeControl({{"outage", false}, {"delay_ms", 20}});
      Cluster.Hosts[0]->Child.signal(SIGSTOP);
      std::this_thread::sleep_for(300ms);
      Cluster.Hosts[0]->Child.signal(SIGCONT);
      Cluster.storeControl({{"delay_ms", 0}});
      Cluster.restart(victim);
      std::this_thread::sleep_for(300ms);
    }
    Cluster.storeControl(
        {{"lose_percent", 0}, {"outage", false}, {"delay_ms", 0}});
  });
  Operator first(Cluster.Hosts, SearchService, 1);
  Operator second(Cluster.Hosts, WriteService, 2);
  std::thread other([&] {
    for (int n = 0; n < ChangesEach; ++n)
      second.change(n);
  });
  for (int n = 0; n < ChangesEach; ++n)
    first.change(n);
  other.join();
  stop = true;
  faults.join();
  watcher.join();
  EXPECT_EQ(reverted, 0);
  EXPECT_EQ(first.UnconfirmedChanges + second.UnconfirmedChanges, 0);

  // The audit trail holds every accepted change exactly once and has no gaps.
  const auto entries = fetchAuditTrail(*Cluster.Hosts[1]);
  std::multiset<std::string> made;
  for (std::size_t n = 0; n < entries.size(); ++n) {
    made.insert(entries[n]["change_id"].get<std::string>());
    EXPECT_EQ(entries[n]["revision"], entries.size() - n);
  }
  int missing = 0;
  for (const auto *one : {&first, &second})
    for (const auto &id : one->Accepted)
      missing += made.count(id) == 1 ? 0 : 1;
  EXPECT_EQ(missing, 0);
  EXPECT_EQ(first.Accepted.size() + second.Accepted.size(), 2U * ChangesEach);
  // The last revision comes into force on every host.
  for (const auto &host : Cluster.Hosts)
    EXPECT_TRUE(
        eventually([&] { return revisionOn(*host) == entries.size(); }, 8000ms))
        << host->Id;
}

TEST_F(SettingsTest, AChangeIsInForceOnAllHostsAndSearchesContinueInAnOutage) {
  startLeaves();
  for (int n = 0; n < 3; ++n)
    startHost();
  const auto before = *revisionOn(*Cluster.Hosts[0]);
  const auto reply = sendJson(
      "PUT",
      "http://" + Cluster.Hosts[1]->OperatorAddress +
          "/v1/settings?path=" + std::string(SearchService) + "&key=leaf_slots",
      json{{"value", 7}}, Operator::authorization());
  EXPECT_EQ(reply.Body["outcome"], "accepted") << reply.Body;
  for (const auto &host : Cluster.Hosts)
    EXPECT_TRUE(
        eventually([&] { return revisionOn(*host) == before + 1; }, 8000ms));
  Cluster.storeControl({{"outage", true}});
  const auto refused =
      sendJson("PUT",
               "http://" + Cluster.Hosts[1]->OperatorAddress +
                   "/v1/settings?path=" + std::string(SearchService) +
                   "&key=leaf_slots&change_id=x&resend=false",
               json{{"value", 9}}, Operator::authorization());
  EXPECT_EQ(refused.Body["outcome"], "not_made") << refused.Body;
  int completeAnswers = 0;
  for (int n = 0; n < 20; ++n)
    completeAnswers +=
        shardsAnswered(search(*Cluster.Hosts[0], {{"text", n}})) == Groups ? 1
                                                                           : 0;
  EXPECT_EQ(completeAnswers, 20);
}

TEST_F(SettingsTest, AHostThatStartsInAnOutageTakesTheSettingsFromAPeer) {
  startLeaves();
  startHost();
  const auto revision = *revisionOn(*Cluster.Hosts[0]);
  Cluster.storeControl({{"outage", true}});
  auto &late = Cluster.addHost(
      "graz", "seed_peers: [\"" + Cluster.Hosts[0]->PeerAddress + "\"]\n");
  EXPECT_TRUE(eventually([&] { return revisionOn(late) == revision; }, 8000ms));
  // Without a host slot from the store it has no share of the leaves and is not
  // ready.
  EXPECT_FALSE(late.ready());
  Cluster.storeControl({{"outage", false}});
  EXPECT_TRUE(eventually([&] { return late.ready(); }, 8000ms));
}

TEST_F(SettingsTest, AHostThatStartsInAnOutageFindsItsPeersInTheHostList) {
  startLeaves();
  Cluster.startHostList(300ms);
  startHost();
  const auto revision = *revisionOn(*Cluster.Hosts[0]);
  Cluster.publishHostList();
  Cluster.storeControl({{"outage", true}});
  const auto &late = Cluster.addHost("graz");
  EXPECT_TRUE(eventually([&] { return revisionOn(late) == revision; }, 8000ms));
}

} // namespace
