#include "registry/ConfigFeed.h"
#include "registry/FeedServer.h"
#include "registry/HostPresence.h"
#include "registry/LeafFeed.h"
#include "registry/StoreMirror.h"

#include <array>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "EventLoop.h"
#include "entry/Listener.h"
#include "standins/MetadataStore.h"
#include "support/BeastStringView.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using store::EraTracker;
using store::Position;

namespace {

TEST(EraTracker, TheFirstEraIsNoRise) {
  EraTracker eras;
  int rises = 0;
  eras.onRise([&](store::Era) { ++rises; });
  EXPECT_TRUE(eras.observe(std::nullopt));
  EXPECT_TRUE(eras.observe(4));
  EXPECT_TRUE(eras.observe(4));
  EXPECT_TRUE(eras.observe(std::nullopt));
  EXPECT_EQ(rises, 0);
  EXPECT_EQ(eras.current(), 4U);
}

TEST(EraTracker, ARiseIsReportedOnceAndOlderAnswersAreRejected) {
  EraTracker eras;
  std::vector<store::Era> rises;
  eras.onRise([&](store::Era era) { rises.push_back(era); });
  EXPECT_TRUE(eras.observe(1));
  EXPECT_TRUE(eras.observe(2));
  EXPECT_FALSE(eras.observe(1));
  EXPECT_TRUE(eras.observe(2));
  EXPECT_EQ(rises, std::vector<store::Era>{2});
  EXPECT_TRUE(eras.hasEverRisen());
}

TEST(Position, ALaterEraIsLaterWhateverItsRevision) {
  EXPECT_LT((Position{1, 900}), (Position{2, 5}));
  EXPECT_LT((Position{2, 5}), (Position{2, 6}));
  EXPECT_LT((Position{std::nullopt, 900}), (Position{1, 5}));
}

TEST(FeedPage, CarriesTheEra) {
  registry::FeedPage page;
  page.At = {3, 17};
  const auto read = registry::decodeFeedPage(registry::encodeFeedPage(page));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->At, page.At);
  const auto query =
      registry::parseFeedTarget(registry::formatFeedTarget({{3, 17}, "op/"}));
  ASSERT_TRUE(query);
  EXPECT_EQ(query->After, (Position{3, 17}));
  EXPECT_EQ(query->Prefix, "op/");
}

/// Hosts of an earlier build state no era.
TEST(FeedPage, AHostMayStateNoEra) {
  const auto page = registry::decodeFeedPage(
      R"({"at":17,"whole":false,"age_ms":5,"items":[]})");
  ASSERT_TRUE(page);
  EXPECT_EQ(page->At, (Position{std::nullopt, 17}));
  const auto query = registry::parseFeedTarget("/feed?after=17&wait_ms=5");
  ASSERT_TRUE(query);
  EXPECT_EQ(query->After, (Position{std::nullopt, 17}));
}

std::string config(int version) {
  return nlohmann::json{{"version", version},
                        {"routes", nlohmann::json::array()},
                        {"services", nlohmann::json::array()}}
      .dump();
}

/// A host's copy of the store with its feeds, and the listener for other hosts.
class FeedHost {
public:
  FeedHost(boost::asio::io_context &io, int storePort)
      : Mirror(std::make_shared<registry::StoreMirror>(
            io,
            tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                          static_cast<unsigned short>(storePort)),
            core::FeedTiming{3s, 4s}, Eras)),
        Leaves(io, {"a", {{"a", "w"}}}, {0.2, 54, 10s}),
        Configs(std::make_shared<registry::ConfigFeed>(
            [this](const auto &now) { Versions.push_back(now->Version); })),
        Entries(std::make_shared<registry::LeafFeed>(io, Leaves)),
        Server(std::make_shared<registry::FeedServer>(io, Mirror)),
        Context(std::make_shared<entry::SessionContext>()),
        HostListener(std::make_shared<entry::Listener>(io, Context)) {
    Context->OnRequest = [this](const entry::CallerRequest &request,
                                entry::AnswerHandler respond) {
      return Server->handle(support::toStringView(request.target()),
                            std::move(respond));
    };
    EXPECT_TRUE(HostListener->open("127.0.0.1:0"));
    Configs->start(*Mirror);
    Entries->start(*Mirror);
    Server->start();
  }

  bool has(const std::string &leaf) const {
    return Leaves.acceptsRequests(leaf);
  }
  std::uint64_t version() const {
    return Versions.empty() ? 0 : Versions.back();
  }
  tcp::endpoint address() const { return HostListener->address(); }

  std::shared_ptr<EraTracker> Eras = std::make_shared<EraTracker>();
  std::shared_ptr<registry::StoreMirror> Mirror;
  leaf::LeafDirectory Leaves;
  std::vector<std::uint64_t> Versions;

private:
  std::shared_ptr<registry::ConfigFeed> Configs;
  std::shared_ptr<registry::LeafFeed> Entries;
  std::shared_ptr<registry::FeedServer> Server;
  std::shared_ptr<entry::SessionContext> Context;
  std::shared_ptr<entry::Listener> HostListener;
};

/// A store that comes back from a copy: what was written since is gone.
class StoreEraTest : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Opened);
    Store.put("op/config", config(3));
    putLeaf("i-1");
  }

  void putLeaf(const std::string &id, const char *state = "ready") {
    Store.put("servers/" + id, nlohmann::json{{"service", "s"},
                                              {"address", "127.0.0.1:1"},
                                              {"zone", "a"},
                                              {"maxConcurrency", 2},
                                              {"state", state},
                                              {"born", 1}}
                                   .dump());
  }

  void restore() {
    Store.setFault(StoreFault::Busy);
    Store.dropConnections();
    runFor(100ms);
    Store.restoreCopy();
    Store.setFault(StoreFault::None);
  }

  void runFor(std::chrono::milliseconds time) {
    Io.restart();
    Io.run_for(time);
  }

  bool runUntil(const std::function<bool()> &condition,
                core::Duration timeout = std::chrono::seconds(10)) {
    return tests::runUntil(Io, condition, timeout);
  }

  boost::asio::io_context Io;
  MetadataStore Store{Io};
  bool Opened = Store.open("127.0.0.1:0").has_value();
  FeedHost Host{Io, Store.port()};
};

/// The store gives out the revision that the host knows last to another change.
/// A host that compares revisions without the era waits for a later one.
TEST_F(StoreEraTest, ChangesWhoseRevisionsAreGivenOutAgainAreSeen) {
  Host.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Host.has("i-1"); }));
  Store.takeCopy();
  putLeaf("i-lost");
  ASSERT_TRUE(runUntil([&] { return Host.has("i-lost"); }));
  const auto known = Store.revision();
  restore();
  putLeaf("i-new");
  ASSERT_EQ(Store.revision(), known);
  EXPECT_TRUE(runUntil([&] { return Host.has("i-new"); }));
}

TEST_F(StoreEraTest, AConfigurationInForceNeverGoesBack) {
  Host.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Host.version() == 3; }));
  Store.takeCopy();
  Store.put("op/config", config(7));
  ASSERT_TRUE(runUntil([&] { return Host.version() == 7; }));
  restore();
  ASSERT_TRUE(runUntil([&] { return Host.Eras->current() == 2U; }));
  runFor(1s);
  Store.put("op/config", config(9));
  EXPECT_TRUE(runUntil([&] { return Host.version() == 9; }));
  EXPECT_EQ(Host.Versions, (std::vector<std::uint64_t>{3, 7, 9}));
}

/// A host that starts while the store has an older configuration takes the
/// newer one that other hosts hold.
TEST_F(StoreEraTest, AStartingHostTakesTheNewestConfigurationOfHosts) {
  Host.Mirror->start();
  Store.takeCopy();
  Store.put("op/config", config(7));
  ASSERT_TRUE(runUntil([&] { return Host.version() == 7; }));
  restore();
  ASSERT_TRUE(runUntil([&] { return Host.Eras->current() == 2U; }));
  runFor(500ms);
  FeedHost started(Io, Store.port());
  started.Mirror->setSeeds({Host.address()});
  started.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return started.version() == 7; }));
  // It holds the configuration for others in turn.
  FeedHost next(Io, Store.port());
  next.Mirror->setSeeds({started.address()});
  next.Mirror->start();
  EXPECT_TRUE(runUntil([&] { return next.version() == 7; }));
}

/// Leaves write their entries again; until then they stay in use, and those
/// that don't are dropped.
TEST_F(StoreEraTest, LostEntriesAreKeptForTheGracePeriod) {
  Host.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Host.has("i-1"); }));
  Store.takeCopy();
  putLeaf("i-2");
  putLeaf("i-3");
  ASSERT_TRUE(runUntil([&] { return Host.has("i-3"); }));
  restore();
  ASSERT_TRUE(runUntil([&] { return Host.Eras->current() == 2U; }));
  runFor(500ms);
  EXPECT_TRUE(Host.has("i-2"));
  EXPECT_TRUE(Host.has("i-3"));
  putLeaf("i-2");
  EXPECT_TRUE(runUntil([&] { return !Host.has("i-3"); }, 5s));
  EXPECT_TRUE(Host.has("i-2"));
}

TEST_F(StoreEraTest, LeavesThatHadLeftDoNotComeBackWithTheCopy) {
  putLeaf("i-drained");
  putLeaf("i-gone");
  Host.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return Host.has("i-gone"); }));
  Store.takeCopy();
  putLeaf("i-drained", "draining");
  Store.remove("servers/i-gone");
  ASSERT_TRUE(
      runUntil([&] { return !Host.has("i-gone") && !Host.has("i-drained"); }));
  restore();
  ASSERT_TRUE(runUntil([&] { return Host.Eras->current() == 2U; }));
  for (int i = 0; i < 20; ++i) {
    runFor(100ms);
    ASSERT_FALSE(Host.has("i-gone"));
    ASSERT_FALSE(Host.has("i-drained"));
  }
  // A leaf that writes its entry again is alive.
  putLeaf("i-gone");
  EXPECT_TRUE(runUntil([&] { return Host.has("i-gone"); }));
  EXPECT_FALSE(Host.has("i-drained"));
}

TEST_F(StoreEraTest, HostsThatFollowAnotherOneListAnew) {
  FeedHost follower(Io, Store.port());
  Host.Mirror->start();
  Host.Mirror->setPlan({{}, {}, true});
  follower.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return follower.has("i-1"); }));
  follower.Mirror->setPlan({{Host.address()}, {}, false});
  Store.takeCopy();
  putLeaf("i-lost");
  ASSERT_TRUE(runUntil([&] { return follower.has("i-lost"); }));
  restore();
  putLeaf("i-new");
  EXPECT_TRUE(runUntil([&] { return follower.has("i-new"); }));
  EXPECT_EQ(follower.Eras->current(), 2U);
}

/// Answers the first poll of each era with a full list, and no other one.
class ScriptedSource {
public:
  explicit ScriptedSource(boost::asio::io_context &io)
      : Acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  tcp::endpoint address() const { return Acceptor.local_endpoint(); }
  int polls() const { return Polls; }
  int connections() const { return Connections; }

private:
  using SocketPtr = std::shared_ptr<tcp::socket>;

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code ec, tcp::socket socket) {
          if (ec)
            return;
          ++Connections;
          read(std::make_shared<tcp::socket>(std::move(socket)),
               std::make_shared<std::array<char, 4096>>());
          accept();
        });
  }

  void read(const SocketPtr &socket,
            const std::shared_ptr<std::array<char, 4096>> &bytes) {
    socket->async_read_some(
        boost::asio::buffer(*bytes),
        [this, socket, bytes](boost::system::error_code ec, std::size_t n) {
          if (ec)
            return;
          const std::string text(bytes->data(), n);
          for (auto at = text.find("GET "); at != std::string::npos;
               at = text.find("GET ", at + 1))
            if (++Polls <= 2)
              answer(*socket, static_cast<store::Era>(Polls));
          read(socket, bytes);
        });
  }

  static void answer(tcp::socket &socket, store::Era era) {
    registry::FeedPage page;
    page.At = {era, 10};
    page.IsFullList = true;
    const auto body = registry::encodeFeedPage(page);
    const std::string out =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    boost::asio::write(socket, boost::asio::buffer(out));
  }

  tcp::acceptor Acceptor;
  int Polls = 0;
  int Connections = 0;
};

/// A host that learns of the rise from a page goes on with one call at a time;
/// a second one would get the reply of the first.
TEST_F(StoreEraTest, ARiseInAPageStartsNoSecondCall) {
  ScriptedSource source(Io);
  Host.Mirror->setPlan({{source.address()}, {}, false});
  Host.Mirror->start();
  ASSERT_TRUE(runUntil([&] { return source.polls() >= 2; }));
  runFor(200ms);
  EXPECT_EQ(source.polls(), 3);
  EXPECT_EQ(source.connections(), 1);
  EXPECT_EQ(Host.Eras->current(), 2U);
}

/// Pages of a host that has not noticed the rise are not taken.
TEST_F(StoreEraTest, PagesOfAnOlderEraAreDropped) {
  FeedHost behind(Io, Store.port());
  behind.Mirror->start();
  Store.takeCopy();
  putLeaf("i-lost");
  ASSERT_TRUE(runUntil([&] { return behind.has("i-lost"); }));
  behind.Mirror->stop();
  restore();
  Host.Mirror->start();
  Host.Mirror->setPlan({{behind.address()}, {}, false});
  ASSERT_TRUE(runUntil([&] { return Host.has("i-1"); }));
  Host.Eras->observe(2);
  putLeaf("i-new");
  EXPECT_TRUE(runUntil([&] { return Host.has("i-new"); }));
  EXPECT_TRUE(runUntil([&] { return !Host.has("i-lost"); }));
}

TEST_F(StoreEraTest, AHostWritesItsEntryAgainUnderANewLease) {
  const auto presence = std::make_shared<registry::HostPresence>(
      Io,
      tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                    static_cast<unsigned short>(Store.port())),
      registry::HostEntry{"h-1", "a", "127.0.0.1:1", ""}, Host.Eras);
  Host.Mirror->start();
  Store.takeCopy();
  presence->start();
  ASSERT_TRUE(runUntil([&] { return Store.count("hosts/") == 1; }));
  restore();
  ASSERT_EQ(Store.count("hosts/"), 0U);
  // Sooner than the next renewal of the old lease.
  EXPECT_TRUE(runUntil([&] { return Store.count("hosts/") == 1; }, 3s));
}

} // namespace
