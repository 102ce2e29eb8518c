#include "savorytrestle/core/LeafLink.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;

void loseLinks(LeafLink &link) {
  for (const char *leaf : {"a", "b", "c"})
    link.onConnectFailed(leaf, Start);
  ASSERT_TRUE(link.probeDue(Start));
  link.onProbesStarted(Start);
  ASSERT_TRUE(link.onProbesEnded(0, 3));
  ASSERT_TRUE(link.lost());
}

/// Guards against leaves that are down being taken for a cut of this host.
TEST(LeafLink, FailedRequestsAloneDoNotProveACut) {
  LeafLink link;
  EXPECT_FALSE(link.probeDue(Start));
  link.onConnectFailed("a", Start);
  link.onConnectFailed("b", Start);
  link.onConnectFailed("b", Start);
  EXPECT_FALSE(link.probeDue(Start));
  link.onConnectFailed("c", Start);
  EXPECT_TRUE(link.probeDue(Start));
  EXPECT_FALSE(link.lost());
  link.onProbesStarted(Start);
  EXPECT_FALSE(link.onProbesEnded(1, 2));
  EXPECT_FALSE(link.lost());
  EXPECT_FALSE(link.probeDue(Start + 5s));
}

TEST(LeafLink, FailedProbesProveACut) {
  LeafLink link;
  loseLinks(link);
}

TEST(LeafLink, AnswersOnOldConnectionsDoNotHideThatNewOnesFail) {
  LeafLink link;
  for (const char *leaf : {"a", "b", "c"}) {
    link.onConnectFailed(leaf, Start);
    link.onAnswer(Start);
  }
  EXPECT_TRUE(link.probeDue(Start));
}

/// Guards against the repetition of requests that leaves are answering.
TEST(LeafLink, AnswersOnOldConnectionsAreSeenWhileLinksAreLost) {
  LeafLink link;
  loseLinks(link);
  EXPECT_FALSE(link.answersArrive(Start));
  link.onAnswer(Start + 50ms);
  EXPECT_TRUE(link.answersArrive(Start + 100ms));
  EXPECT_TRUE(link.lost());
  EXPECT_FALSE(link.answersArrive(Start + 1s));
}

TEST(LeafLink, ConnectionsThatFallSilentRaiseASuspicion) {
  LeafLink link;
  link.onAnswer(Start);
  for (const char *leaf : {"a", "b", "c"})
    link.onSilence(leaf, Start + 10ms, Start + 100ms);
  EXPECT_TRUE(link.probeDue(Start + 100ms));
  LeafLink slow;
  for (const char *leaf : {"a", "b", "c"}) {
    slow.onAnswer(Start + 50ms);
    slow.onSilence(leaf, Start + 10ms, Start + 100ms);
  }
  EXPECT_FALSE(slow.probeDue(Start + 100ms));
}

TEST(LeafLink, OldFailuresAndThoseBeforeASuccessDoNotCount) {
  LeafLink link;
  link.onConnectFailed("a", Start);
  link.onConnectFailed("b", Start);
  link.onConnectFailed("c", Start + 4s);
  EXPECT_FALSE(link.probeDue(Start + 4s));
  link.onConnectFailed("a", Start + 4s);
  link.onConnected();
  link.onConnectFailed("b", Start + 4s);
  EXPECT_FALSE(link.probeDue(Start + 4s));
}

TEST(LeafLink, LostLinksAreProbedUntilMostProbesConnect) {
  LeafLink link;
  loseLinks(link);
  EXPECT_FALSE(link.probeDue(Start + 100ms));
  EXPECT_TRUE(link.probeDue(Start + 2s));
  link.onProbesStarted(Start + 2s);
  EXPECT_FALSE(link.onProbesEnded(1, 2));
  EXPECT_TRUE(link.probeDue(Start + 2300ms));
  EXPECT_TRUE(link.onProbesEnded(2, 1));
  EXPECT_FALSE(link.lost());
}

} // namespace
