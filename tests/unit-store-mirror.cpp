#include "registry/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "EventLoop.h"
#include "entry/Listener.h"
#include "registry/FeedServer.h"
#include "standins/MetadataStore.h"
#include "support/BeastStringView.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Time after a disruption of the store in which changes must be in force.
constexpr std::chrono::milliseconds Stability{4s};
const core::FeedTiming Timing{3s, Stability};

tcp::endpoint loopback(int port) {
  return {boost::asio::ip::address_v4::loopback(),
          static_cast<unsigned short>(port)};
}

/// Mirror of a host, with the listener for other hosts.
class MirrorHost {
public:
  MirrorHost(boost::asio::io_context &io, int storePort)
      : Mirror(std::make_shared<registry::StoreMirror>(io, loopback(storePort),
                                                       Timing, Eras)),
        Server(std::make_shared<registry::FeedServer>(io, Mirror)),
        Context(std::make_shared<entry::SessionContext>()),
        HostListener(std::make_shared<entry::Listener>(io, Context)) {
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                entry::AnswerHandler respond) {
      return Server->handle(support::toStringView(request.target()),
                            std::move(respond));
    };
    EXPECT_TRUE(HostListener->open("127.0.0.1:0"));
    registry::FeedHandlers handlers;
    handlers.OnList = [this](const auto &items) {
      Items.clear();
      apply(items);
    };
    handlers.OnChanges = [this](const auto &items) { apply(items); };
    handlers.OnStoreReachable = [this] { ++StoreReachableCalls; };
    Mirror->subscribe("k/", std::move(handlers));
    Server->start();
  }

  tcp::endpoint address() const { return HostListener->address(); }
  bool has(const std::string &key) const { return Items.count(key) > 0; }

  std::shared_ptr<store::EraTracker> Eras =
      std::make_shared<store::EraTracker>();
  std::shared_ptr<registry::StoreMirror> Mirror;
  std::map<std::string, std::string> Items;
  int StoreReachableCalls = 0;

private:
  void apply(const std::vector<store::StoredItem> &items) {
    for (const store::StoredItem &item : items) {
      EXPECT_TRUE(item.Key.starts_with("k/"));
      if (item.Removed)
        Items.erase(item.Key);
      else
        Items[item.Key] = item.Value;
    }
  }

  std::shared_ptr<registry::FeedServer> Server;
  std::shared_ptr<entry::SessionContext> Context;
  std::shared_ptr<entry::Listener> HostListener;
};

class StoreMirrorTest : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Opened);
    Store.put("k/1", "one");
    Store.put("other", "x");
  }

  bool runUntil(const std::function<bool()> &condition,
                core::Duration timeout = std::chrono::seconds(10)) {
    return tests::runUntil(Io, condition, timeout);
  }

  /// Starts a host that reads the store and a host that gets changes from it.
  void startReaderAndFollower() {
    Reader.Mirror->start();
    Reader.Mirror->setPlan({{}, {}, true});
    Follower.Mirror->start();
    ASSERT_TRUE(runUntil([&] { return Follower.has("k/1"); }));
    Follower.Mirror->setPlan({{Reader.address()}, {}, false});
    // Ends the follower's call to the store that is in flight.
    Store.put("k/2", "two");
    ASSERT_TRUE(runUntil([&] { return Follower.has("k/2"); }));
    ASSERT_TRUE(runUntil([&] { return Reader.has("k/2"); }));
    Io.restart();
    Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(
        Timing.BatchDelay + Timing.ShortPollWait + 100ms));
  }

  /// Lets the store fall silent while the reader sends a watch, which is never
  /// answered, and writes an item after that.
  void loseNextWatch() {
    Store.put("k/2", "two");
    ASSERT_TRUE(runUntil([&] { return Reader.has("k/2"); }));
    Store.setFault(StoreFault::Silent);
    Io.restart();
    Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(Timing.BatchDelay) +
               300ms);
    Store.setFault(StoreFault::None);
    Store.put("k/3", "three");
  }

  boost::asio::io_context Io;
  MetadataStore Store{Io};
  bool Opened = Store.open("127.0.0.1:0").has_value();
  MirrorHost Reader{Io, Store.port()};
  MirrorHost Follower{Io, Store.port()};
};

TEST_F(StoreMirrorTest, AppliesChangesAndRemovals) {
  Reader.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/1"); }));
  EXPECT_EQ(Reader.Items["k/1"], "one");
  Store.put("k/1", "newer");
  Store.put("k/2", "two");
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/2"); }));
  EXPECT_EQ(Reader.Items["k/1"], "newer");
  Store.remove("k/1");
  EXPECT_TRUE(runUntil([&] { return !Reader.has("k/1"); }));
}

TEST_F(StoreMirrorTest, AHostWithAPreferredSourceMakesNoStoreCalls) {
  startReaderAndFollower();
  // Ends the reader's calls, so that any further call is the follower's.
  Reader.Mirror->stop();
  const auto calls = Store.calls();
  Io.restart();
  Io.run_for(200ms);
  EXPECT_EQ(Store.calls(), calls);
}

TEST_F(StoreMirrorTest, AppliesRemovalsReceivedFromAnotherHost) {
  startReaderAndFollower();
  Store.remove("k/1");
  Store.put("k/3", "three");
  ASSERT_TRUE(runUntil([&] { return Follower.has("k/3"); }));
  EXPECT_FALSE(Follower.has("k/1"));
}

TEST_F(StoreMirrorTest, ReplacesASourceThatIsNoLongerUpToDate) {
  startReaderAndFollower();
  Reader.Mirror->stop();
  Store.put("k/3", "three");
  EXPECT_TRUE(runUntil([&] { return Follower.has("k/3"); }));
}

TEST_F(StoreMirrorTest, RejectsPagesOfAHostThatIsBehind) {
  MetadataStore emptyStore(Io);
  ASSERT_TRUE(emptyStore.open("127.0.0.1:0"));
  MirrorHost behind(Io, emptyStore.port());
  behind.Mirror->start();
  for (int i = 0; i < 20; ++i)
    Store.put("k/" + std::to_string(i), "v");
  Follower.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Follower.has("k/19"); }));
  Follower.Mirror->setPlan({{behind.address()}, {}, false});
  Store.put("k/new", "v");
  EXPECT_TRUE(runUntil([&] { return Follower.has("k/new"); }));
  EXPECT_TRUE(Follower.has("k/19"));
}

TEST_F(StoreMirrorTest, AHostThatStartsDuringAStoreOutageGetsItemsFromSeeds) {
  Reader.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/1"); }));
  Store.setFault(StoreFault::Busy);
  Follower.Mirror->setSeeds({Reader.address()});
  Follower.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return Follower.has("k/1"); }));
}

/// Load: many hosts that start within a moment, of which one is a seed. Were
/// each to list the store, the calls would grow with hosts times items.
TEST_F(StoreMirrorTest, HostsThatStartTogetherListTheStoreOnce) {
  for (int i = 0; i < 200; ++i)
    Store.put("k/" + std::to_string(i), "v");
  std::vector<std::unique_ptr<MirrorHost>> hosts;
  for (int i = 0; i < 20; ++i) {
    hosts.push_back(std::make_unique<MirrorHost>(Io, Store.port()));
    hosts.back()->Mirror->setSeeds({Reader.address()}, false);
    hosts.back()->Mirror->start();
  }
  Reader.Mirror->start();
  Reader.Mirror->setPlan({{}, {}, true});
  ASSERT_TRUE(runUntil([&] {
    return std::all_of(hosts.begin(), hosts.end(),
                       [](const auto &it) { return it->has("k/199"); });
  }));
  // The seed reads five pages and starts to watch.
  EXPECT_LE(Store.calls(), 8U);
}

TEST_F(StoreMirrorTest, AHostListsTheStoreWhenNoSeedAnswers) {
  Follower.Mirror->setSeeds({loopback(1)}, false);
  Follower.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return Follower.has("k/1"); }, 3s));
}

TEST_F(StoreMirrorTest, AHostDoesNotStartWithOldItemsOfASeed) {
  Reader.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/1"); }));
  Reader.Mirror->stop();
  Store.put("k/2", "two");
  Io.restart();
  Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(Timing.MaxAge) +
             100ms);
  Follower.Mirror->setSeeds({Reader.address()}, false);
  Follower.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return Follower.has("k/2"); }, 3s));
}

TEST_F(StoreMirrorTest, AHostThatCannotReachTheStoreGetsChangesFromSeeds) {
  MetadataStore busyStore(Io);
  ASSERT_TRUE(busyStore.open("127.0.0.1:0"));
  busyStore.setFault(StoreFault::Busy);
  MirrorHost isolated(Io, busyStore.port());
  Reader.Mirror->start();
  Reader.Mirror->setPlan({{}, {}, true});
  isolated.Mirror->setSeeds({Reader.address()});
  isolated.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return isolated.has("k/1"); }));
  Store.put("k/2", "two");
  EXPECT_TRUE(runUntil([&] { return isolated.has("k/2"); }));
}

TEST_F(StoreMirrorTest, NotifiesSubscribersWhenTheStoreIsReachableAgain) {
  startReaderAndFollower();
  Store.setFault(StoreFault::Busy);
  Store.dropConnections();
  Io.restart();
  Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(
      Timing.MaxAge + Timing.ShortPollWait + 500ms));
  EXPECT_EQ(Follower.StoreReachableCalls, 0);
  Store.setFault(StoreFault::None);
  EXPECT_TRUE(runUntil([&] { return Reader.StoreReachableCalls > 0; }));
  EXPECT_TRUE(runUntil([&] { return Follower.StoreReachableCalls > 0; }));
}

/// Load: many hosts that follow one, while the store is away. Were each to ask
/// the store as often as the one does, the calls would grow with the hosts.
TEST_F(StoreMirrorTest, HostsThatFollowAnotherOneAskALostStoreSeldom) {
  startReaderAndFollower();
  Store.setFault(StoreFault::Busy);
  Store.dropConnections();
  Reader.Mirror->stop();
  Io.restart();
  Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(Timing.MaxAge));
  const auto before = Store.calls();
  Io.restart();
  Io.run_for(5s);
  EXPECT_LE(Store.calls() - before, 6U);
  Store.setFault(StoreFault::None);
  Store.put("k/3", "three");
  EXPECT_TRUE(runUntil([&] { return Follower.has("k/3"); }, 3s));
}

/// A store that stops answering for a while never answers the calls made in
/// that time, even after it works again.
TEST_F(StoreMirrorTest, AWatchWithoutAnAnswerTimesOutSoon) {
  Reader.Mirror->start();
  Reader.Mirror->setPlan({});
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/1"); }));
  loseNextWatch();
  EXPECT_TRUE(runUntil([&] { return Reader.has("k/3"); }, 7s));
}

/// Guards against waits that add up: the store falls silent as a watch is sent,
/// and the host that is asked in its place stands still.
TEST_F(StoreMirrorTest, ASilentStoreAndAHostThatStandsStillDoNotAddUp) {
  // Connections to it are accepted, calls never answered.
  tcp::acceptor standsStill(Io, loopback(0));
  Reader.Mirror->start();
  Reader.Mirror->setPlan({{}, {standsStill.local_endpoint()}, false});
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/1"); }));
  loseNextWatch();
  EXPECT_TRUE(runUntil([&] { return Reader.has("k/3"); }, Stability));
}

TEST_F(StoreMirrorTest, ListsAllItemsAgainWhenTheHistoryIsGone) {
  Reader.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/1"); }));
  Store.setFault(StoreFault::Busy);
  Store.dropConnections();
  Store.remove("k/1");
  Store.put("k/2", "two");
  Store.compact();
  Store.setFault(StoreFault::None);
  ASSERT_TRUE(runUntil([&] { return Reader.has("k/2"); }));
  EXPECT_FALSE(Reader.has("k/1"));
}

} // namespace
