#include "registry/EvacuationFeed.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "EventLoop.h"
#include "entry/Listener.h"
#include "leaf/LeafChoice.h"
#include "leaf/LeafDirectory.h"
#include "registry/FeedServer.h"
#include "standins/MetadataStore.h"
#include "support/BeastStringView.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

core::LeafEntry entry(const std::string &id, const std::string &domain) {
  core::LeafEntry leaf;
  leaf.Id = id;
  leaf.Service = "s";
  leaf.Address = "127.0.0.1:1";
  leaf.FailureDomain = domain;
  return leaf;
}

class EvacuatedLeavesTest : public ::testing::Test {
protected:
  std::string choose() {
    const auto leaf =
        leaf::chooseLeaf(Service, 10ms, {}, 0, Leaves.random(), {});
    return leaf ? leaf->entry().Id : "";
  }

  void setWarmUp(double perSecond) {
    core::ServingConfig config;
    config.Services.push_back({"s", 40, 10s, perSecond});
    Leaves.applyConfig(config);
  }

  boost::asio::io_context Io;
  leaf::LeafDirectory Leaves{
      Io, {"a", {{"a", "w"}, {"b", "w"}}}, {0.2, 54, 10s}};
  leaf::Service &Service = Leaves.service("s");
};

/// Guards against attempts, relays or a Retry-After that count on leaves of an
/// evacuated domain, and against entries written meanwhile that bring them
/// back.
TEST_F(EvacuatedLeavesTest, NothingIsSentToThemByAnyPath) {
  Leaves.putLeaf(entry("i-a", "a"));
  Leaves.putLeaf(entry("i-b", "b"));
  const auto generation = Leaves.generation();
  Leaves.setEvacuated("b", true);
  EXPECT_GT(Leaves.generation(), generation) << "relay plans are kept";
  Leaves.putLeaf(entry("i-b", "b"));
  Leaves.putLeaf(entry("i-b2", "b"));
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(choose(), "i-a");
  EXPECT_EQ(Leaves.nearbyDomains({"s"}).front(), std::set<std::string>{"a"});
  Leaves.removeLeaf("i-a");
  EXPECT_EQ(choose(), "");
  EXPECT_FALSE(leaf::reachable(Service, 0));
  EXPECT_EQ(leaf::availableAt(Service, std::chrono::steady_clock::now()),
            core::TimePoint::max());
  Leaves.setEvacuated("b", false);
  EXPECT_NE(choose(), "");
}

/// Guards against an evacuation that is forgotten since its domain had no leaf
/// when it began.
TEST_F(EvacuatedLeavesTest, ADomainMayBecomeKnownLater) {
  Leaves.setEvacuated("new", true);
  EXPECT_EQ(Leaves.evacuatedDomainCount(), 0U);
  Leaves.putLeaf(entry("i-new", "new"));
  EXPECT_EQ(Leaves.evacuatedDomainCount(), 1U);
  EXPECT_EQ(choose(), "");
}

TEST_F(EvacuatedLeavesTest, HostsThereStillTakeRequests) {
  Leaves.setPeers({entry("h-b", "b")}, {});
  Leaves.setEvacuated("b", true);
  EXPECT_NE(Leaves.reachablePeers(), nullptr);
}

/// Guards against full traffic to leaves whose caches went cold meanwhile.
TEST_F(EvacuatedLeavesTest, AfterwardsTheyCountAsColdIfARateIsConfigured) {
  for (const double perSecond : {0.0, 10.0}) {
    const std::string id = "i-b" + std::to_string(perSecond);
    setWarmUp(perSecond);
    Leaves.putLeaf(entry(id, "b"));
    EXPECT_EQ(Leaves.coldLeafCount(), 0U);
    Leaves.setEvacuated("b", true);
    Leaves.setEvacuated("b", false);
    EXPECT_EQ(Leaves.coldLeafCount(), perSecond > 0 ? 1U : 0U);
    EXPECT_EQ(Service.Leaves.front()->sendChance(
                  std::chrono::steady_clock::now()) == 1,
              perSecond == 0);
    Leaves.removeLeaf(id);
  }
}

/// Guards against a list that is read again and makes leaves cold whose
/// warm-up ended long ago.
TEST_F(EvacuatedLeavesTest, ARepeatedEntryDoesNotMakeALeafColdAgain) {
  setWarmUp(10);
  auto stated = entry("i-b", "b");
  stated.WarmUpLeft = 30ms;
  stated.Revision = 4;
  Leaves.putLeaf(stated);
  EXPECT_EQ(Leaves.coldLeafCount(), 1U);
  std::this_thread::sleep_for(40ms);
  Leaves.putLeaf(stated);
  EXPECT_EQ(Leaves.coldLeafCount(), 0U);
  // The same statement in an entry written again is a new one.
  stated.Revision = 5;
  Leaves.putLeaf(stated);
  EXPECT_EQ(Leaves.coldLeafCount(), 1U);
}

/// A host's feed of evacuations, with the listener for other hosts.
class Host {
public:
  Host(boost::asio::io_context &io, int storePort)
      : Mirror(std::make_shared<registry::StoreMirror>(
            io,
            tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                          static_cast<unsigned short>(storePort)),
            core::FeedTiming{3s, 4s}, Eras)),
        Feed(std::make_shared<registry::EvacuationFeed>(
            [this](const std::string &domain, bool evacuated) {
              if (evacuated)
                Evacuated.insert(domain);
              else
                Evacuated.erase(domain);
              ++Changes;
            })),
        Server(std::make_shared<registry::FeedServer>(io, Mirror)),
        Context(std::make_shared<entry::SessionContext>()),
        Listener(std::make_shared<entry::Listener>(io, Context)) {
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                entry::AnswerHandler respond) {
      return Server->handle(support::toStringView(request.target()),
                            std::move(respond));
    };
    EXPECT_TRUE(Listener->open("127.0.0.1:0"));
    Feed->start(*Mirror);
    Server->start();
  }

  std::shared_ptr<store::EraTracker> Eras =
      std::make_shared<store::EraTracker>();
  std::shared_ptr<registry::StoreMirror> Mirror;
  std::set<std::string> Evacuated;
  int Changes = 0;

private:
  std::shared_ptr<registry::EvacuationFeed> Feed;
  std::shared_ptr<registry::FeedServer> Server;
  std::shared_ptr<entry::SessionContext> Context;

public:
  std::shared_ptr<entry::Listener> Listener;
};

class EvacuationFeedTest : public ::testing::Test {
protected:
  using Domains = std::set<std::string>;

  bool runUntil(const std::function<bool()> &condition) {
    return tests::runUntil(Io, condition, 10s);
  }

  void runFor(std::chrono::milliseconds time) {
    Io.restart();
    Io.run_for(time);
  }

  boost::asio::io_context Io;
  MetadataStore Store{Io};
  bool Opened = Store.open("127.0.0.1:0").has_value();
  Host Own{Io, Store.port()};
};

TEST_F(EvacuationFeedTest, TheKeyCountsWhateverItsValue) {
  Store.put("op/evacuate/a", "{}");
  Store.put("op/evacuate/b", "no json \x01");
  Own.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return Own.Evacuated == Domains{"a", "b"}; }));
  Store.remove("op/evacuate/a");
  EXPECT_TRUE(runUntil([&] { return Own.Evacuated == Domains{"b"}; }));
  Store.put("op/evacuate/b", "{}");
  Store.put("op/evacuate/c", "");
  EXPECT_TRUE(runUntil([&] { return Own.Evacuated == Domains{"b", "c"}; }));
  EXPECT_EQ(Own.Changes, 4) << "a value written again is no change";
}

/// Guards against a store that comes back older, or is listed again later, and
/// undoes an evacuation; and against one that can't be ended then.
TEST_F(EvacuationFeedTest, AnOlderStoreDoesNotUndoAnEvacuation) {
  Store.put("op/evacuate/old", "{}");
  Own.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Own.Evacuated == Domains{"old"}; }));
  Store.takeCopy();
  Store.put("op/evacuate/a", "{}");
  Store.remove("op/evacuate/old");
  ASSERT_TRUE(runUntil([&] { return Own.Evacuated == Domains{"a"}; }));
  Store.setFault(StoreFault::Busy);
  Store.dropConnections();
  runFor(100ms);
  Store.restoreCopy();
  Store.setFault(StoreFault::None);
  // What the copy shows as evacuated counts as well: it may have been ordered
  // again.
  ASSERT_TRUE(runUntil([&] { return Own.Evacuated == Domains{"a", "old"}; }));
  Store.compact();
  Store.dropConnections();
  runFor(1500ms);
  EXPECT_EQ(Own.Evacuated, (Domains{"a", "old"}));
  // A host that starts now takes it from the others.
  Host started(Io, Store.port());
  started.Mirror->setSeeds({Own.Listener->address()});
  started.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return started.Evacuated == Own.Evacuated; }));
  Store.put("op/evacuate/a", "{}");
  Store.remove("op/evacuate/a");
  Store.remove("op/evacuate/old");
  EXPECT_TRUE(runUntil([&] { return Own.Evacuated.empty(); }));
  EXPECT_TRUE(runUntil([&] { return started.Evacuated.empty(); }));
}

} // namespace
