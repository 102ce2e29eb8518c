#include "savorytrestle/core/Membership.h"

#include <gtest/gtest.h>

#include "store/HostList.h"

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 1h;
const SlotTiming Timing;

HostInfo host(const std::string &id, const std::string &domain) {
  return {id, "n", domain, "r", "127.0.0.1:1", "127.0.0.1:2", false};
}

TEST(SlotTiming, RenewalsOfALargeFleetStayWithinTheirShareOfTheStore) {
  EXPECT_EQ(slotTiming(7).LeaseTime, 15s);
  for (const std::uint32_t hosts : {100U, 830U, 5000U}) {
    const auto interval = slotTiming(hosts).renewalInterval();
    EXPECT_LT(hosts * 1000.0 / static_cast<double>(interval.count()), 100.0);
  }
}

TEST(SlotLease, StartsWhenTheRenewalWasSent) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  EXPECT_EQ(lease.slot(Start + Timing.LeaseTime - 1ms), 3U);
  EXPECT_FALSE(lease.slot(Start + Timing.LeaseTime));
}

TEST(SlotLease, APausedHolderHasNoSlotUntilConfirmed) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  const auto later = Start + Timing.LeaseTime + 1s;
  EXPECT_FALSE(lease.slot(later));
  lease.onStoreUnreachable(later);
  EXPECT_FALSE(lease.slot(later)) << "kept by an outage seen after the lapse";
  lease.onConfirmed(3, later);
  EXPECT_EQ(lease.slot(later), 3U);
}

TEST(SlotLease, APauseDuringAnOutageEndsTheSlot) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  lease.onStoreUnreachable(Start + 5s);
  EXPECT_FALSE(lease.slot(Start + 25s)) << "no attempt for a lease time";
  lease.onStoreUnreachable(Start + 10min);
  lease.onPeerReportedOutage(Start + 10min);
  EXPECT_FALSE(lease.slot(Start + 10min));
}

TEST(SlotLease, KeepsItsSlotDuringAnOutageThatPeersReport) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  for (auto at = Start + 5s; at < Start + 10min; at += 5s) {
    lease.onStoreUnreachable(at);
    lease.onPeerReportedOutage(at);
    EXPECT_EQ(lease.slot(at + 1s), 3U);
  }
}

TEST(SlotLease, LosesItsSlotAfterTheGraceIfNoPeerReportsTheOutage) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  for (auto at = Start + 5s; at < Start + 60s; at += 5s)
    lease.onStoreUnreachable(at);
  EXPECT_FALSE(lease.slot(Start + 56s));
  // Another host may take a lapsed slot only after the lapse grace.
  EXPECT_LT(Timing.OutageGrace, Timing.LapseGrace);
}

TEST(SlotLease, LosesItsSlotAtOnceWhenTheLeaseEnds) {
  SlotLease lease(Timing);
  lease.onConfirmed(3, Start);
  lease.onEnded();
  EXPECT_FALSE(lease.slot(Start + 1s));
}

TEST(SlotChooser, OmitsALapsedSlotDuringTheGrace) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const SlotUse lapsed{0, false, true, false};
  const SlotUse unused{1, false, false, false};
  EXPECT_EQ(chooser.candidates({lapsed, unused}, Start, rng),
            std::vector<SlotNumber>{1});
  EXPECT_EQ(
      chooser.candidates({lapsed, unused}, Start + Timing.LapseGrace, rng),
      (std::vector<SlotNumber>{1, 0}));
}

TEST(SlotChooser, OmitsALapsedSlotDuringTheGraceEvenIfNoOtherIsFree) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const std::vector<SlotUse> slots = {{0, false, true, false},
                                      {1, true, true, false}};
  EXPECT_TRUE(chooser.candidates(slots, Start, rng).empty());
  EXPECT_TRUE(
      chooser.candidates(slots, Start + Timing.LapseGrace - 1ms, rng).empty());
  EXPECT_EQ(chooser.candidates(slots, Start + Timing.LapseGrace, rng),
            std::vector<SlotNumber>{0});
}

TEST(SlotChooser, PrefersASlotThatWasNeverClaimed) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const std::vector<SlotUse> slots = {{0, true, true, false},
                                      {1, false, true, false},
                                      {2, false, false, false}};
  chooser.candidates(slots, Start, rng);
  EXPECT_EQ(chooser.candidates(slots, Start + 100s, rng).front(), 2U);
}

TEST(SlotChooser, PrefersTheLapsedSlotThatHasBeenFreeForLongest) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const SlotUse early{1, false, true, false};
  chooser.candidates({{0, true, true, false}, early}, Start, rng);
  chooser.candidates({{0, false, true, false}, early}, Start + 9s, rng);
  EXPECT_EQ(chooser.candidates({{0, false, true, false}, early},
                               Start + 9s + Timing.LapseGrace, rng),
            (std::vector<SlotNumber>{1, 0}));
}

// Hosts are replaced one after another. Each old holder keeps using its slot
// for a while after its lease lapsed, as a paused process does.
TEST(SlotChooser, APausedHolderAndItsSuccessorNeverShareASlot) {
  constexpr SlotNumber Slots = 8;
  constexpr Duration HoldoverTime = 25s;
  SlotTiming timing;
  timing.LapseGrace = 30s;
  SlotChooser chooser(timing);
  Rng rng(1);
  std::vector<SlotUse> seen;
  for (SlotNumber slot = 0; slot < Slots; ++slot)
    seen.push_back({slot, slot < 7, slot < 7, false});
  std::map<SlotNumber, TimePoint> lapses;
  SlotNumber nextToReplace = 0;
  std::uint32_t replaced = 0;
  for (TimePoint now = Start; now < Start + 300s; now += 1s) {
    if ((now - Start) % 10s == 0s && seen[nextToReplace].Held) {
      seen[nextToReplace].Held = false;
      lapses[nextToReplace] = now;
      nextToReplace = (nextToReplace + 1) % Slots;
    }
    const auto order = chooser.candidates(seen, now, rng);
    if (order.empty())
      continue;
    const SlotNumber slot = order.front();
    EXPECT_TRUE(lapses.count(slot) == 0 || now - lapses[slot] >= HoldoverTime);
    seen[slot] = {slot, true, true, false};
    ++replaced;
  }
  EXPECT_GE(replaced, 20U);
}

TEST(SlotChooser, OffersAReleasedSlotAtOnce) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  EXPECT_EQ(chooser.candidates(
                {{0, false, true, true}, {1, false, true, false}}, Start, rng),
            std::vector<SlotNumber>{0});
}

TEST(SlotChooser, PrefersTheReleasedSlotThatHasBeenFreeForLongest) {
  Rng rng(1);
  SlotChooser chooser(Timing);
  const SlotUse early{5, false, true, true};
  chooser.candidates({early, {2, true, true, false}}, Start, rng);
  EXPECT_EQ(
      chooser.candidates({{2, false, true, true}, early}, Start + 1s, rng),
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

TEST(Membership, ExcludesAnotherHostOnlyWhileItFails) {
  Membership members("a");
  members.setHosts({host("a", "Wien"), host("b", "Wien")});
  for (int n = 0; n < 3; ++n) {
    members.onUnreachable("b", Start);
    members.onUnreachable("a", Start);
  }
  EXPECT_EQ(members.live(Start).size(), 1U);
  EXPECT_EQ(members.live(Start + 1min).size(), 2U) << "never tried again";
  members.onReachable("b");
  EXPECT_EQ(members.live(Start).size(), 2U);
}

TEST(HostInfo, RoundTripsThroughJson) {
  auto sent = host("a", "Montérégie");
  sent.Draining = true;
  const auto got = parseHost(serializeHost(sent));
  ASSERT_TRUE(got);
  EXPECT_EQ(serializeHost(*got), serializeHost(sent));
  EXPECT_FALSE(parseHost("{"));
  EXPECT_FALSE(parseHost("{}"));
}

TEST(HostList, SeparatesLeavingHostsFromLiveOnes) {
  const auto list = savorytrestle::store::readHostList(
      R"([{"id":"a","peer_address":"127.0.0.1:1","state":"live"},)"
      R"({"id":"b","peer_address":"127.0.0.1:2","state":"leaving"},)"
      R"({"id":7}, 3])");
  ASSERT_TRUE(list);
  ASSERT_EQ(list->Live.size(), 1U);
  EXPECT_EQ(list->Live[0].Id, "a");
  EXPECT_EQ(list->Leaving, std::vector<std::string>{"b"});
  EXPECT_FALSE(savorytrestle::store::readHostList("{}"));
}

} // namespace
