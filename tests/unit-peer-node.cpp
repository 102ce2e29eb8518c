#include "hosts/PeerNode.h"

#include <atomic>
#include <future>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "FakeKvStore.h"
#include "hosts/HostSlotManager.h"
#include "hosts/PeerClient.h"

using namespace savorytrestle;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

core::VersionedBlob makeSettings(std::uint64_t revision) {
  const json payload = {{"revision", revision},
                        {"nodes", {{"a", revision}, {"b", "unchanged"}}}};
  return core::makeBlob(revision, payload.dump());
}

core::Result<core::VersionedBlob> readTree(standins::FakeKvStore &store) {
  const auto entry = store.get(hosts::ManifestKey, 1s);
  if (!entry)
    return tl::unexpected(entry.error());
  if (!*entry)
    return core::VersionedBlob{};
  return makeSettings(std::stoull((*entry)->Value));
}

/// A host: a peer node with its listener, settings and shared records.
class Node {
public:
  Node(const standins::FakeKvStore &store, const std::string &id,
       const std::string &region, std::vector<core::HostInfo> seeds = {},
       std::chrono::milliseconds callTimeout = 500ms)
      : Store(store), SeedHosts(std::move(seeds)) {
    support::HttpServerOptions options;
    options.Listen = "127.0.0.1:0";
    Server = std::move(*support::HttpServer::start(
        options, [this](const support::HttpRequest &request) {
          return Listening ? Peer->handle(request)
                           : support::HttpResponse{503, "", "", {}, false};
        }));
    Self = {id,
            id + "-nonce",
            region + "-1",
            region,
            "127.0.0.1:" + std::to_string(Server->port()),
            "",
            false};
    hosts::PeerOptions peerOptions;
    peerOptions.Self = Self;
    peerOptions.CallTimeout = callTimeout;
    peerOptions.Timing.PeerPollInterval = 50ms;
    peerOptions.Timing.WatchWait = 100ms;
    peerOptions.Seed = std::hash<std::string>()(id);
    Peer = std::make_unique<hosts::PeerNode>(peerOptions, callbacks());
    Listening = true;
  }
  ~Node() {
    Listening = false;
    Server.reset();
    Peer.reset();
  }

  void claimSlot() {
    hosts::HostSlotOptions options;
    options.Self = Self;
    options.SlotCount = 8;
    SlotManager =
        std::make_unique<hosts::HostSlotManager<standins::FakeKvStore>>(
            Store, options);
    SlotManager->renewOrClaim();
  }

  std::uint64_t revision() {
    const std::lock_guard guard(Lock);
    return Blob.Revision;
  }

  bool receivedCorrupt() const { return ReceivedCorrupt; }

  void addRecord(const std::string &record) {
    {
      const std::lock_guard guard(Lock);
      Records.insert(record);
    }
    Peer->publishRecords();
  }

  std::size_t recordCount() {
    const std::lock_guard guard(Lock);
    return Records.size();
  }

  core::HostInfo Self;
  std::unique_ptr<hosts::PeerNode> Peer;

private:
  hosts::PeerCallbacks callbacks() {
    hosts::PeerCallbacks peerCallbacks;
    peerCallbacks.CurrentSettings = [this] {
      const std::lock_guard guard(Lock);
      return Blob;
    };
    peerCallbacks.ApplySettings = [this](const core::VersionedBlob &blob) {
      return applySettings(blob);
    };
    peerCallbacks.LocalRecords = [this] {
      const std::lock_guard guard(Lock);
      return json(Records).dump();
    };
    peerCallbacks.MergeRecords = [this](const std::string &text) {
      const json parsed = json::parse(text, nullptr, false);
      const std::lock_guard guard(Lock);
      if (parsed.is_array())
        Records.merge(parsed.get<std::set<std::string>>());
    };
    peerCallbacks.MakeStoreReader = [this] {
      return hosts::makeStoreReader(
          std::make_shared<standins::FakeKvStore>(Store), readTree,
          [](const std::string &text) { return std::stoull(text); });
    };
    peerCallbacks.Seeds = [this] { return SeedHosts; };
    return peerCallbacks;
  }

  bool applySettings(const core::VersionedBlob &blob) {
    const std::lock_guard guard(Lock);
    if (blob.Revision <= Blob.Revision)
      return false;
    ReceivedCorrupt = ReceivedCorrupt ||
                      blob.Checksum != makeSettings(blob.Revision).Checksum;
    Blob = blob;
    return true;
  }

  standins::FakeKvStore Store;
  std::vector<core::HostInfo> SeedHosts;
  std::atomic<bool> Listening{false};
  std::atomic<bool> ReceivedCorrupt{false};
  std::mutex Lock;
  core::VersionedBlob Blob;
  std::set<std::string> Records;
  std::unique_ptr<hosts::HostSlotManager<standins::FakeKvStore>> SlotManager;
  std::unique_ptr<support::HttpServer> Server;
};

/// Waits until other threads have made the condition true, for about 20 s;
/// reaching this limit means that the test has failed.
template <typename Condition> bool waitUntil(Condition condition) {
  for (int n = 0; n < 2000; ++n) {
    if (condition())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

class PeerNodes : public testing::Test {
protected:
  void startNodes(int count) {
    for (int n = 0; n < count; ++n) {
      Nodes.push_back(std::make_unique<Node>(Store, "h" + std::to_string(n),
                                             n % 2 == 0 ? "east" : "west"));
      Nodes.back()->claimSlot();
    }
    for (auto &node : Nodes)
      node->Peer->start();
  }

  void TearDown() override {
    for (auto &node : Nodes)
      node->Peer->stop();
    for (const auto &node : Nodes)
      EXPECT_FALSE(node->receivedCorrupt());
    // Stopped in parallel, because each listener takes a second to stop.
    std::vector<std::future<void>> stops;
    for (auto &node : Nodes)
      stops.push_back(
          std::async(std::launch::async, [&node] { node.reset(); }));
  }

  void writeManifest(std::uint64_t revision) {
    const auto entry = Store.get(hosts::ManifestKey, 1s).value();
    Store.compareAndSet(hosts::ManifestKey, std::to_string(revision),
                        entry ? entry->ModRevision : store::NoItem, 1s);
  }

  std::string request(std::size_t node, const std::string &method,
                      const std::string &params) {
    support::HttpRequest call;
    call.Method = "POST";
    call.Path = "/rpc";
    call.Body = R"({"jsonrpc":"2.0","id":1,"method":")" + method +
                R"(","params":)" + params + "}";
    return Nodes[node]->Peer->handle(call).Body;
  }

  bool allReach(std::uint64_t revision) {
    return waitUntil([&] {
      for (auto &node : Nodes)
        if (node->revision() != revision)
          return false;
      return true;
    });
  }

  standins::FakeKvStore Store;
  std::vector<std::unique_ptr<Node>> Nodes;
};

TEST_F(PeerNodes, AChangeReachesEveryHost) {
  writeManifest(1);
  startNodes(6);
  EXPECT_TRUE(allReach(1));
  EXPECT_TRUE(waitUntil([&] { return Nodes[0]->Peer->live().size() == 6; }));
  writeManifest(2);
  EXPECT_TRUE(allReach(2));
}

TEST_F(PeerNodes, AHostThatStartsInAnOutageGetsSettingsFromAPeer) {
  writeManifest(3);
  startNodes(2);
  ASSERT_TRUE(allReach(3));
  Store.Faults->Outage = true;
  Nodes.push_back(std::make_unique<Node>(
      Store, "late", "east", std::vector<core::HostInfo>{Nodes[0]->Self}));
  EXPECT_FALSE(Nodes.back()->Peer->ready());
  Nodes.back()->Peer->start();
  EXPECT_TRUE(allReach(3));
  EXPECT_TRUE(Nodes.back()->Peer->ready());
}

/// Guards against a peer that stands still keeping a host from the store.
TEST_F(PeerNodes, ASilentPeerDoesNotDelayTheCheckOfTheStore) {
  // Connections to it are accepted, calls never answered.
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor silent(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  core::HostInfo peer;
  peer.PeerAddress =
      "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  writeManifest(3);
  Nodes.push_back(std::make_unique<Node>(
      Store, "h0", "east", std::vector<core::HostInfo>{peer}, 8000ms));
  const auto start = std::chrono::steady_clock::now();
  Nodes.back()->Peer->start();
  EXPECT_TRUE(allReach(3));
  EXPECT_LT(std::chrono::steady_clock::now() - start, 8s);
}

TEST_F(PeerNodes, PeersReportAnOutageOnlyIfThereIsOne) {
  writeManifest(1);
  startNodes(3);
  ASSERT_TRUE(allReach(1));
  // The second host lists all three, so the hosts can poll each other.
  ASSERT_TRUE(
      waitUntil([&] { return Nodes[1]->Peer->queryHostStates().size() == 3; }));
  EXPECT_FALSE(Nodes[0]->Peer->peerReportedOutage());
  Store.Faults->Outage = true;
  EXPECT_TRUE(waitUntil([&] { return Nodes[0]->Peer->peerReportedOutage(); }));
}

TEST_F(PeerNodes, SharedRecordsReachEveryHost) {
  writeManifest(1);
  startNodes(5);
  ASSERT_TRUE(allReach(1));
  Nodes[0]->addRecord("a");
  Nodes[4]->addRecord("b");
  EXPECT_TRUE(waitUntil([&] {
    for (auto &node : Nodes)
      if (node->recordCount() != 2)
        return false;
    return true;
  }));
}

TEST_F(PeerNodes, ABlobWithAWrongChecksumOrAnOldRevisionIsRefused) {
  writeManifest(5);
  startNodes(1);
  ASSERT_TRUE(allReach(5));
  const auto push = [&](core::VersionedBlob blob) {
    request(0, "push",
            hosts::serializeMessage(
                {hosts::Topic::Settings, std::move(blob), std::nullopt}));
  };
  auto corrupt = makeSettings(6);
  corrupt.Payload = makeSettings(7).Payload;
  push(corrupt);
  EXPECT_EQ(Nodes[0]->revision(), 5U);
  push(makeSettings(4));
  EXPECT_EQ(Nodes[0]->revision(), 5U);
  push(makeSettings(6));
  EXPECT_EQ(Nodes[0]->revision(), 6U);
}

TEST_F(PeerNodes, APullReturnsOnlyTheChangedParts) {
  writeManifest(1);
  startNodes(2);
  ASSERT_TRUE(allReach(1));
  const auto baseRequest = hosts::serializeRevision(hosts::Topic::Settings, 1);
  request(0, "pull", baseRequest);
  writeManifest(2);
  ASSERT_TRUE(allReach(2));
  const auto reply = request(0, "pull", baseRequest);
  EXPECT_NE(reply.find("changed"), std::string::npos);
  EXPECT_EQ(reply.find("unchanged"), std::string::npos) << reply;
}

TEST_F(PeerNodes, ADeltaWhoseResultHasAnotherChecksumIsRefused) {
  writeManifest(1);
  startNodes(1);
  ASSERT_TRUE(allReach(1));
  core::BlobDelta delta{1, 2, makeSettings(2).Checksum, {{"x", 1}}, {}};
  hosts::TopicMessage message{hosts::Topic::Settings, makeSettings(2), delta};
  request(0, "push", hosts::serializeMessage(message));
  EXPECT_EQ(Nodes[0]->revision(), 1U);
}

TEST_F(PeerNodes, ManyCallsToOnePeerAllSucceed) {
  startNodes(1);
  hosts::PeerClient client(5s);
  for (int n = 0; n < 200; ++n) {
    const auto reply = client.call(Nodes[0]->Self.PeerAddress, "ask", "{}");
    ASSERT_TRUE(reply) << "call " << n << ": " << reply.error().Message;
  }
}

TEST_F(PeerNodes, QueryReturnsTheRevisionOfEachHost) {
  writeManifest(2);
  startNodes(3);
  ASSERT_TRUE(allReach(2));
  EXPECT_TRUE(waitUntil([&] {
    int upToDate = 0;
    for (const auto &status : Nodes[1]->Peer->queryHostStates())
      upToDate += status.State && status.State->SettingsRevision == 2;
    return upToDate == 3;
  }));
}

} // namespace
