#include "savorytrestle/core/Membership.h"

#include <gtest/gtest.h>

#include "platform/HostList.h"

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;
const SlotTiming Timing;

HostInfo host(const std::string &id, const std::string &domain) {
  return {id, "n", domain, "r", "127.0.0.1:1", "127.0.0.1:2", false};
}

TEST(SlotTiming, RenewalsOfALargeFleetStayUnderTheStoresShare) {
  EXPECT_EQ(slotTiming(7).LeaseTime, 15s);
  for (const std::uint32_t hosts : {100U, 830U, 5000U}) {
    const auto interval = slotTiming(hosts).renewalInterval();
    EXPECT_LT(hosts * 1000.0 / static_cast<double>(interval.count()), 100.0);
  }
}

TEST(SlotLease, CountsFromBeforeTheRenewalWasSent) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  EXPECT_EQ(lease.slot(Start + Timing.LeaseTime - 1ms), 3U);
  EXPECT_FALSE(lease.slot(Start + Timing.LeaseTime));
}

TEST(SlotLease, APausedHolderHoldsNothingUntilConfirmed) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  const auto later = Start + Timing.LeaseTime + 1s;
  EXPECT_FALSE(lease.slot(later));
  lease.onStoreUnreachable(later);
  EXPECT_FALSE(lease.slot(later)) << "an outage seen after the lapse excused";
  lease.onConfirmed(3, later);
  EXPECT_EQ(lease.slot(later), 3U);
}

TEST(SlotLease, APauseDuringAnOutageIsNotExcused) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  lease.onStoreUnreachable(Start + 5s);
  EXPECT_FALSE(lease.slot(Start + 25s)) << "no attempt for a lease time";
  lease.onStoreUnreachable(Start + 10min);
  lease.onPeerConfirmsOutage(Start + 10min);
  EXPECT_FALSE(lease.slot(Start + 10min));
}

TEST(SlotLease, KeepsItsSlotThroughAnOutageThatPeersConfirm) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  for (auto at = Start + 5s; at < Start + 10min; at += 5s) {
    lease.onStoreUnreachable(at);
    lease.onPeerConfirmsOutage(at);
    EXPECT_EQ(lease.slot(at + 1s), 3U);
  }
}

TEST(SlotLease, GivesItsSlotUpAfterAGraceWhenNoPeerConfirms) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  for (auto at = Start + 5s; at < Start + 60s; at += 5s)
    lease.onStoreUnreachable(at);
  EXPECT_FALSE(lease.slot(Start + 56s));
  // Another host may take a lapsed slot only after the lapse grace.
  EXPECT_LT(Timing.OutageGrace, Timing.LapseGrace);
}

TEST(SlotLease, AnEndedLeaseEndsTheSlotAtOnce) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  lease.onEnded();
  EXPECT_FALSE(lease.slot(Start + 1s));
}

TEST(SlotChooser, LeavesALapsedSlotAloneForAGrace) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const SlotUse lapsed{0, false, true, false};
  const SlotUse unused{1, false, false, false};
  EXPECT_EQ(chooser.order({lapsed, unused}, Start, rng),
            std::vector<SlotNumber>{1});
  EXPECT_EQ(chooser.order({lapsed, unused}, Start + Timing.LapseGrace, rng),
            (std::vector<SlotNumber>{1, 0}));
}

TEST(SlotChooser, TakesALapsedSlotWhenNothingElseIsFree) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  EXPECT_EQ(chooser.order({{0, false, true, false}, {1, true, true, false}},
                          Start, rng),
            std::vector<SlotNumber>{0});
}

TEST(SlotChooser, TakesAReleasedSlotAtOnce) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  EXPECT_EQ(chooser.order({{0, false, true, true}, {1, false, true, false}},
                          Start, rng),
            std::vector<SlotNumber>{0});
}

TEST(SlotChooser, TakesTheSlotThatHasBeenFreeForLongest) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const SlotUse early{5, false, true, true};
  chooser.order({early, {2, true, true, false}}, Start, rng);
  EXPECT_EQ(chooser.order({{2, false, true, true}, early}, Start + 1s, rng),
            (std::vector<SlotNumber>{5, 2}));
}

TEST(Membership, CountsLiveHostsByFailureDomain) {
  Membership members("a");
  members.setHosts({host("a", "Wien"), host("b", "Wien"), host("c", "Graz"),
                    host("d", "Graz")});
  members.setLeaving({"d"});
  EXPECT_EQ(members.liveByDomain(Start),
            (DomainCounts{{"Graz", 1}, {"Wien", 2}}));
}

TEST(Membership, LeavesOutAHostOnlyWhileItFailsAndNeverItself) {
  Membership members("a");
  members.setHosts({host("a", "Wien"), host("b", "Wien")});
  for (int n = 0; n < 3; ++n) {
    members.onUnreachable("b", Start);
    members.onUnreachable("a", Start);
  }
  EXPECT_EQ(members.live(Start).size(), 1U);
  EXPECT_EQ(members.live(Start + 1min).size(), 2U) << "never tried again";
  members.onHeard("b");
  EXPECT_EQ(members.live(Start).size(), 2U);
}

TEST(HostInfo, SurvivesTheTripThroughText) {
  auto sent = host("a", "Montérégie");
  sent.Draining = true;
  const auto got = readHost(writeHost(sent));
  ASSERT_TRUE(got);
  EXPECT_EQ(writeHost(*got), writeHost(sent));
  EXPECT_FALSE(readHost("{"));
  EXPECT_FALSE(readHost("{}"));
}

TEST(HostList, TellsLeavingHostsFromLiveOnes) {
  const auto list = savorytrestle::platform::readHostList(
      R"([{"id":"a","peer_address":"127.0.0.1:1","state":"live"},)"
      R"({"id":"b","peer_address":"127.0.0.1:2","state":"leaving"},)"
      R"({"id":7}, 3])");
  ASSERT_TRUE(list);
  ASSERT_EQ(list->Live.size(), 1U);
  EXPECT_EQ(list->Live[0].Id, "a");
  EXPECT_EQ(list->Leaving, std::vector<std::string>{"b"});
  EXPECT_FALSE(savorytrestle::platform::readHostList("{}"));
}

} // namespace
