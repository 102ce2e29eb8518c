#include "registry/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "entry/Listener.h"
#include "registry/FeedDoor.h"
#include "standins/MetadataStore.h"
#include "support/BeastStringView.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const core::FeedTiming Timing{3s};

tcp::endpoint loopback(int port) {
  return {boost::asio::ip::address_v4::loopback(),
          static_cast<unsigned short>(port)};
}

/// A host's mirror, and its door for other hosts.
class Host {
public:
  Host(boost::asio::io_context &io, int storePort)
      : Mirror(std::make_shared<registry::StoreMirror>(io, loopback(storePort),
                                                       Timing)),
        Passing(std::make_shared<registry::FeedDoor>(io, Mirror)),
        Context(std::make_shared<entry::SessionContext>()),
        Door(std::make_shared<entry::Listener>(io, Context)) {
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                entry::AnswerHandler respond) {
      return Passing->handle(support::toStringView(request.target()),
                             std::move(respond));
    };
    EXPECT_TRUE(Door->open("127.0.0.1:0"));
    registry::FeedHandlers handlers;
    handlers.OnList = [this](const auto &items) {
      Items.clear();
      take(items);
    };
    handlers.OnChanges = [this](const auto &items) { take(items); };
    handlers.OnRegained = [this] { ++Regained; };
    Mirror->follow("k/", std::move(handlers));
    Passing->start();
  }

  tcp::endpoint door() const { return Door->address(); }
  bool has(const std::string &key) const { return Items.count(key) > 0; }

  std::shared_ptr<registry::StoreMirror> Mirror;
  std::map<std::string, std::string> Items;
  int Regained = 0;

private:
  void take(const std::vector<store::StoredItem> &items) {
    for (const store::StoredItem &item : items) {
      EXPECT_TRUE(item.Key.starts_with("k/"));
      if (item.Removed)
        Items.erase(item.Key);
      else
        Items[item.Key] = item.Value;
    }
  }

  std::shared_ptr<registry::FeedDoor> Passing;
  std::shared_ptr<entry::SessionContext> Context;
  std::shared_ptr<entry::Listener> Door;
};

class StoreMirrorTest : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Opened);
    Store.put("k/1", "one");
    Store.put("other", "x");
  }

  /// Runs until the condition holds; false when it doesn't in time.
  bool until(const std::function<bool()> &condition,
             core::Duration most = std::chrono::seconds(10)) {
    const auto end = std::chrono::steady_clock::now() + most;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      Io.restart();
      Io.run_for(5ms);
    }
    return condition();
  }

  /// A reader of the store and a host that follows it.
  void startBoth() {
    Reader.Mirror->start();
    Reader.Mirror->setHosts({{}, {}, true});
    Follower.Mirror->start();
    ASSERT_TRUE(until([&] { return Follower.has("k/1"); }));
    Follower.Mirror->setHosts({{Reader.door()}, {}, false});
    // The follower's last call at the store ends.
    Store.put("k/2", "two");
    ASSERT_TRUE(until([&] { return Follower.has("k/2"); }));
    ASSERT_TRUE(until([&] { return Reader.has("k/2"); }));
    Io.restart();
    Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(
        Timing.BatchDelay + Timing.ShortPollWait + 100ms));
  }

  boost::asio::io_context Io;
  MetadataStore Store{Io};
  bool Opened = Store.open("127.0.0.1:0").has_value();
  Host Reader{Io, Store.port()};
  Host Follower{Io, Store.port()};
};

TEST_F(StoreMirrorTest, ChangesAndRemovalsAreHeard) {
  Reader.Mirror->start();
  ASSERT_TRUE(until([&] { return Reader.has("k/1"); }));
  EXPECT_EQ(Reader.Items["k/1"], "one");
  Store.put("k/1", "newer");
  Store.put("k/2", "two");
  ASSERT_TRUE(until([&] { return Reader.has("k/2"); }));
  EXPECT_EQ(Reader.Items["k/1"], "newer");
  Store.remove("k/1");
  EXPECT_TRUE(until([&] { return !Reader.has("k/1"); }));
}

TEST_F(StoreMirrorTest, AHostHearsOfChangesFromAnother) {
  startBoth();
  Reader.Mirror->stop(); // its calls end, so that all that come are the other's
  const auto calls = Store.calls();
  Io.restart();
  Io.run_for(200ms);
  EXPECT_EQ(Store.calls(), calls);
}

TEST_F(StoreMirrorTest, RemovalsArePassedOn) {
  startBoth();
  Store.remove("k/1");
  Store.put("k/3", "three");
  ASSERT_TRUE(until([&] { return Follower.has("k/3"); }));
  EXPECT_FALSE(Follower.has("k/1"));
}

TEST_F(StoreMirrorTest, AHostThatHearsNothingMoreIsLeftInTime) {
  startBoth();
  Reader.Mirror->stop();
  Store.put("k/3", "three");
  EXPECT_TRUE(until([&] { return Follower.has("k/3"); }));
}

TEST_F(StoreMirrorTest, AHostThatKnowsLessIsNotBelieved) {
  MetadataStore young(Io);
  ASSERT_TRUE(young.open("127.0.0.1:0"));
  Host behind(Io, young.port());
  behind.Mirror->start();
  for (int i = 0; i < 20; ++i)
    Store.put("k/" + std::to_string(i), "v");
  Follower.Mirror->start();
  ASSERT_TRUE(until([&] { return Follower.has("k/19"); }));
  Follower.Mirror->setHosts({{behind.door()}, {}, false});
  Store.put("k/new", "v");
  EXPECT_TRUE(until([&] { return Follower.has("k/new"); }));
  EXPECT_TRUE(Follower.has("k/19"));
}

TEST_F(StoreMirrorTest, AHostThatStartsWithoutTheStoreTakesWhatSeedsKnow) {
  Reader.Mirror->start();
  ASSERT_TRUE(until([&] { return Reader.has("k/1"); }));
  Store.setFault(StoreFault::Busy);
  Follower.Mirror->setSeeds({Reader.door()});
  Follower.Mirror->start();
  EXPECT_TRUE(until([&] { return Follower.has("k/1"); }));
}

TEST_F(StoreMirrorTest, AHostWithoutTheStoreHearsOfChangesFromAnother) {
  MetadataStore refusing(Io);
  ASSERT_TRUE(refusing.open("127.0.0.1:0"));
  refusing.setFault(StoreFault::Busy);
  Host cut(Io, refusing.port());
  Reader.Mirror->start();
  Reader.Mirror->setHosts({{}, {}, true});
  cut.Mirror->setSeeds({Reader.door()});
  cut.Mirror->start();
  ASSERT_TRUE(until([&] { return cut.has("k/1"); }));
  Store.put("k/2", "two");
  EXPECT_TRUE(until([&] { return cut.has("k/2"); }));
}

TEST_F(StoreMirrorTest, TheReturnOfTheStoreIsTold) {
  startBoth();
  Store.setFault(StoreFault::Busy);
  Store.dropConnections();
  Io.restart();
  Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(
      Timing.MaxAge + Timing.ShortPollWait + 500ms));
  EXPECT_EQ(Follower.Regained, 0);
  Store.setFault(StoreFault::None);
  EXPECT_TRUE(until([&] { return Reader.Regained > 0; }));
  EXPECT_TRUE(until([&] { return Follower.Regained > 0; }));
}

/// A store that falls silent never answers the calls of that time, also when it
/// is back.
TEST_F(StoreMirrorTest, AWatchThatIsNeverAnsweredIsGivenUpSoon) {
  Reader.Mirror->start();
  Reader.Mirror->setHosts({});
  ASSERT_TRUE(until([&] { return Reader.has("k/1"); }));
  Store.put("k/2", "two");
  ASSERT_TRUE(until([&] { return Reader.has("k/2"); }));
  Store.setFault(StoreFault::Silent);
  Io.restart();
  Io.run_for(std::chrono::ceil<std::chrono::milliseconds>(Timing.BatchDelay) +
             300ms);
  Store.setFault(StoreFault::None);
  Store.put("k/3", "three");
  EXPECT_TRUE(until([&] { return Reader.has("k/3"); }, 7s));
}

TEST_F(StoreMirrorTest, ADroppedHistoryIsListedAfresh) {
  Reader.Mirror->start();
  ASSERT_TRUE(until([&] { return Reader.has("k/1"); }));
  Store.setFault(StoreFault::Busy);
  Store.dropConnections();
  Store.remove("k/1");
  Store.put("k/2", "two");
  Store.compact();
  Store.setFault(StoreFault::None);
  ASSERT_TRUE(until([&] { return Reader.has("k/2"); }));
  EXPECT_FALSE(Reader.has("k/1"));
}

} // namespace
