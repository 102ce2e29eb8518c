#include "leaf/LeafEndings.h"

#include <gtest/gtest.h>

#include "EventLoop.h"
#include "standins/RawLeaf.h"

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;
using leaf::LeafSign;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// A leaf that this host has closed connections to.
class LeafEndingsTest : public ::testing::Test {
protected:
  void check(core::TimePoint until = {}) {
    Endings.check(Leaf, Process.address(), until);
  }
  bool isOver() {
    return runUntil(
        Io, [&] { return !Leaf->BeingTried; }, 5s);
  }

  boost::asio::io_context Io;
  RawLeaf Process{Io, [](const std::string &) { return RawAnswer{}; }};
  leaf::LeafEndings Endings{Io};
  std::shared_ptr<leaf::SuspectedLeaf> Leaf =
      std::make_shared<leaf::SuspectedLeaf>(
          leaf::SuspectedLeaf{.Run = {}, .Sign = LeafSign::None});
};

TEST_F(LeafEndingsTest, ALeafThatAcceptsConnectionsIsAlive) {
  const auto before = SteadyClock::now();
  check();
  EXPECT_TRUE(isOver());
  EXPECT_EQ(Leaf->Sign, LeafSign::None);
  EXPECT_GT(Leaf->AliveAt, before);
}

TEST_F(LeafEndingsTest, ALeafAtWhoseAddressNothingListensHasEnded) {
  const auto address = Process.address();
  Process.crash();
  Endings.check(Leaf, address);
  EXPECT_TRUE(isOver());
  EXPECT_TRUE(Leaf->hasEnded());
}

/// Guards against a trial whose leaf isn't looked at to its end, since the leaf
/// was being looked at for another request when it began.
TEST_F(LeafEndingsTest, ALaterCheckProlongsTheOneUnderWay) {
  check();
  const auto until = SteadyClock::now() + 1s;
  check(until);
  EXPECT_TRUE(runUntil(Io, [&] { return SteadyClock::now() > until - 300ms; }));
  EXPECT_TRUE(Leaf->BeingTried);
  EXPECT_FALSE(Leaf->hasEnded());
  Process.crash();
  EXPECT_TRUE(isOver());
  EXPECT_TRUE(Leaf->hasEnded());
}

} // namespace
