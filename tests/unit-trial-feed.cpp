#include "registry/TrialFeed.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "EventLoop.h"
#include "registry/CrashFeed.h"
#include "registry/StoreMirror.h"
#include "standins/MetadataStore.h"

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Fingerprint Request{1, 2};
const FatalRun Fatal{Request, 7, 1, 1, {5}};

/// The feeds of one host.
class FeedHost {
public:
  FeedHost(boost::asio::io_context &io, const tcp::endpoint &store,
           std::string name)
      : Trials(std::move(name)),
        Mirror(std::make_shared<registry::StoreMirror>(
            io, store, core::FeedTiming{3s, 4s}, Eras)),
        Runs(std::make_shared<registry::CrashFeed>(
            io, store, Eras, [this](const auto &) { ++RunsKnown; },
            [this](const auto &) { --RunsKnown; },
            [](const auto &) { return true; })),
        Feed(std::make_shared<registry::TrialFeed>(
            io, store, Eras, Trials, [](const auto &) { return true; })) {
    Runs->start(*Mirror);
    Feed->start(*Mirror);
  }

  /// Asks for a trial.
  void ask() {
    Granted.reset();
    Feed->write(Trials.take(Request, 1s, SteadyClock::now()),
                [this](const TrialReply &reply) {
                  Granted =
                      Trials.onTakeReply(Request, reply, SteadyClock::now());
                });
  }

  std::shared_ptr<store::EraTracker> Eras =
      std::make_shared<store::EraTracker>();
  CrashTrials Trials;
  std::shared_ptr<registry::StoreMirror> Mirror;
  std::shared_ptr<registry::CrashFeed> Runs;
  std::shared_ptr<registry::TrialFeed> Feed;
  int RunsKnown = 0;
  std::optional<bool> Granted;
};

class TrialFeedTest : public ::testing::Test {
protected:
  static tcp::endpoint loopback(int port) {
    return {boost::asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(port)};
  }
  bool runUntil(const std::function<bool()> &condition) {
    return tests::runUntil(Io, condition);
  }

  boost::asio::io_context Io;
  MetadataStore Store{Io};
  bool Opened = Store.open("127.0.0.1:0").has_value();
};

TEST_F(TrialFeedTest, OneOfTwoHostsGetsTheTrial) {
  ASSERT_TRUE(Opened);
  FeedHost first(Io, loopback(Store.port()), "first");
  FeedHost second(Io, loopback(Store.port()), "second");
  first.Mirror->start();
  second.Mirror->start();
  first.ask();
  second.ask();
  ASSERT_TRUE(runUntil([&] { return first.Granted && second.Granted; }));
  EXPECT_NE(*first.Granted, *second.Granted);
  FeedHost &loser = *first.Granted ? second : first;
  ASSERT_TRUE(runUntil([&] { return loser.Trials.contains(Request); }));
  EXPECT_TRUE(loser.Trials.waitFor(Request, SteadyClock::now() + 1s));
}

TEST_F(TrialFeedTest, OtherHostsReadATrialsEndWithItsRun) {
  ASSERT_TRUE(Opened);
  FeedHost first(Io, loopback(Store.port()), "first");
  FeedHost second(Io, loopback(Store.port()), "second");
  first.Mirror->start();
  second.Mirror->start();
  first.ask();
  ASSERT_TRUE(runUntil([&] { return first.Granted.value_or(false); }));
  ASSERT_TRUE(runUntil([&] { return second.Trials.contains(Request); }));
  const auto write =
      first.Trials.close(Request, true, true, SteadyClock::now());
  ASSERT_TRUE(write);
  first.Feed->close(*write, Fatal, [&](const TrialReply &reply) {
    first.Trials.onCloseReply(*write, reply, SteadyClock::now());
  });
  ASSERT_TRUE(runUntil(
      [&] { return !second.Trials.waitFor(Request, SteadyClock::now()); }));
  EXPECT_EQ(second.RunsKnown, 1);
}

/// Guards against hosts that don't get another trial of a request, since they
/// take its record for one of another revision.
TEST_F(TrialFeedTest, AHostGetsTheNextTrialAfterOneInWhichALeafEnded) {
  ASSERT_TRUE(Opened);
  FeedHost host(Io, loopback(Store.port()), "host");
  host.Mirror->start();
  for (int i = 0; i < 3; ++i) {
    host.ask();
    ASSERT_TRUE(runUntil([&] { return host.Granted.has_value(); }));
    ASSERT_TRUE(*host.Granted) << i;
    const auto write =
        host.Trials.close(Request, true, true, SteadyClock::now());
    ASSERT_TRUE(write);
    bool closed = false;
    host.Feed->close(*write, Fatal, [&](const TrialReply &reply) {
      host.Trials.onCloseReply(*write, reply, SteadyClock::now());
      closed = true;
    });
    ASSERT_TRUE(runUntil([&] { return closed; }));
  }
  EXPECT_TRUE(host.Trials.exhausted(Request, SteadyClock::now()));
}

/// Guards against requests that are held until their deadlines while the store
/// doesn't reply, since the writes of trials that have ended come first.
TEST_F(TrialFeedTest, AskingDoesntWaitForTheWritesOfTrialsThatHaveEnded) {
  // Accepts connections and never replies.
  tcp::acceptor silent(Io, loopback(0));
  FeedHost host(Io, silent.local_endpoint(), "host");
  for (std::uint64_t i = 0; i < 10; ++i)
    host.Feed->close({{i, i}, 1, std::nullopt}, std::nullopt,
                     [](const TrialReply &) {});
  const auto asked = SteadyClock::now();
  host.ask();
  ASSERT_TRUE(runUntil([&] { return host.Granted.has_value(); }));
  EXPECT_FALSE(*host.Granted);
  // The write in flight, and its own.
  EXPECT_LT(SteadyClock::now() - asked, 3 * CrashTrials::GrantTimeout);
}

/// Guards against runs that a successful answer has cleared and that come back.
TEST_F(TrialFeedTest, ARunThatHasBeenRemovedIsntWrittenAgain) {
  ASSERT_TRUE(Opened);
  Store.takeCopy();
  const std::string key = registry::crashRunKey(Fatal);
  FeedHost host(Io, loopback(Store.port()), "host");
  host.Mirror->start();
  Store.put(key, registry::encodeCrashRun(Fatal));
  ASSERT_TRUE(runUntil([&] { return host.RunsKnown == 1; }));
  Store.restoreCopy();
  // The host has read the older copy.
  FatalRun other = Fatal;
  other.Id = 8;
  Store.put(registry::crashRunKey(other), registry::encodeCrashRun(other));
  ASSERT_TRUE(runUntil([&] { return host.RunsKnown == 2; }));
  // Of a host that has cleared it: another value, then none.
  Store.put(key, R"({"last_round": 2})");
  Store.remove(key);
  ASSERT_TRUE(runUntil([&] { return host.RunsKnown == 1; }));
  Io.restart();
  Io.run_for(6s);
  EXPECT_EQ(Store.count("crashes/"), 1U);
  EXPECT_EQ(host.RunsKnown, 1);
}

} // namespace
