#include "hosts/HostSlotManager.h"

#include <gtest/gtest.h>

#include "FakeKvStore.h"

using namespace savorytrestle;
using namespace std::chrono_literals;

namespace {

using SlotManager = hosts::HostSlotManager<standins::FakeKvStore>;

/// A store shared by several hosts, and a clock that only the test advances.
struct Fleet {
  standins::FakeKvStore Store;
  core::TimePoint Now = core::TimePoint() + 1h;
  std::uint32_t SlotCount = 3;
  bool PeerReportsOutage = false;

  hosts::HostSlotOptions options(const std::string &id) {
    hosts::HostSlotOptions options;
    options.Self = {id, id + "-nonce", "Wien", "at", "127.0.0.1:1", "", false};
    options.SlotCount = SlotCount;
    options.Now = [this] { return Now; };
    options.PeerReportedOutage = [this] { return PeerReportsOutage; };
    return options;
  }

  /// Ends the lease of a slot, as the store does when its holder is paused.
  void lapseSlot(core::SlotNumber slot) {
    const auto entry = Store.get(hosts::slotKey(slot), 1s).value();
    Store.endLease(entry->Lease, 1s);
  }
};

TEST(HostSlotManager, HostsHoldDifferentSlots) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  SlotManager b(fleet.Store, fleet.options("b"));
  a.renewOrClaim();
  b.renewOrClaim();
  ASSERT_TRUE(a.slot() && b.slot());
  EXPECT_NE(*a.slot(), *b.slot());
  const auto entries = fleet.Store.list(hosts::SlotPrefix, 1s).value();
  EXPECT_EQ(hosts::parseHolders(entries).size(), 2U);
}

TEST(HostSlotManager, AClaimWhoseRepliesWereLostIsReadBack) {
  Fleet fleet;
  fleet.SlotCount = 1;
  SlotManager a(fleet.Store, fleet.options("a"));
  fleet.Store.Faults->LoseWriteReplies = 2;
  a.renewOrClaim();
  EXPECT_TRUE(a.slot());
}

TEST(HostSlotManager, AClaimThatDidNotTakeEffectGivesNoSlot) {
  Fleet fleet;
  fleet.SlotCount = 1;
  SlotManager a(fleet.Store, fleet.options("a"));
  fleet.Store.Faults->LoseWrites = 1;
  a.renewOrClaim();
  EXPECT_FALSE(a.slot());
  a.renewOrClaim();
  EXPECT_TRUE(a.slot());
}

TEST(HostSlotManager, APausedHolderHasNoSlotBeforeItCallsTheStore) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  fleet.Now += 1min;
  EXPECT_FALSE(a.slot());
}

TEST(HostSlotManager, AHolderWhoseLapsedSlotWasClaimedClaimsAnother) {
  Fleet fleet;
  fleet.SlotCount = 2;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  const auto firstSlot = *a.slot();
  fleet.lapseSlot(firstSlot);
  SlotManager b(fleet.Store, fleet.options("b"));
  SlotManager c(fleet.Store, fleet.options("c"));
  b.renewOrClaim();
  EXPECT_NE(*b.slot(), firstSlot)
      << "lapsed slot was claimed before the end of the lapse grace";
  c.renewOrClaim();
  EXPECT_FALSE(c.slot())
      << "lapsed slot was claimed before the end of the lapse grace";
  fleet.Now += core::SlotTiming().LapseGrace;
  c.renewOrClaim();
  EXPECT_EQ(c.slot(), firstSlot);
  b.release();
  a.renewOrClaim();
  EXPECT_FALSE(a.slot());
  a.renewOrClaim();
  ASSERT_TRUE(a.slot());
  EXPECT_NE(*a.slot(), firstSlot);
}

TEST(HostSlotManager, ReclaimsItsOwnLapsedSlotWithoutGrace) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  const auto firstSlot = *a.slot();
  fleet.lapseSlot(firstSlot);
  a.renewOrClaim();
  a.renewOrClaim();
  EXPECT_EQ(a.slot(), firstSlot);
}

TEST(HostSlotManager, AReleasedSlotCanBeClaimedAtOnce) {
  Fleet fleet;
  fleet.SlotCount = 2;
  SlotManager a(fleet.Store, fleet.options("a"));
  SlotManager b(fleet.Store, fleet.options("b"));
  a.renewOrClaim();
  b.renewOrClaim();
  const auto firstSlot = *a.slot();
  a.release();
  EXPECT_FALSE(a.slot());
  const auto entries = fleet.Store.list(hosts::HostsPrefix, 1s).value();
  EXPECT_TRUE(hosts::parseSlots(entries, 2).Slots[firstSlot].Released);
  EXPECT_FALSE(hosts::parseSlots(entries, 2).Slots[*b.slot()].Released);
  SlotManager c(fleet.Store, fleet.options("c"));
  c.renewOrClaim();
  EXPECT_EQ(c.slot(), firstSlot);
}

TEST(HostSlotManager, KeepsItsSlotInAnOutageOnlyWhilePeersReportIt) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  fleet.Store.Faults->Outage = true;
  fleet.PeerReportsOutage = true;
  for (int n = 0; n < 60; ++n) {
    fleet.Now += 5s;
    a.renewOrClaim();
    EXPECT_TRUE(a.slot());
  }
  fleet.PeerReportsOutage = false;
  fleet.Now += 6s;
  a.renewOrClaim();
  EXPECT_FALSE(a.slot());
}

TEST(HostSlotManager, RenewalMakesOneStoreCall) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  const int before = fleet.Store.Faults->Writes + fleet.Store.Faults->Reads;
  a.renewOrClaim();
  EXPECT_EQ(fleet.Store.Faults->Writes + fleet.Store.Faults->Reads, before + 1);
}

TEST(HostSlotManager, ADrainingHostIsMarkedInItsSlotEntry) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  a.setDraining();
  a.renewOrClaim();
  const auto entries = fleet.Store.list(hosts::SlotPrefix, 1s).value();
  EXPECT_TRUE(hosts::parseHolders(entries).at(0).Draining);
}

/// The store comes back from a copy that doesn't hold a slot's claim: its
/// holder stops to use it, and nobody else takes it while the holder might.
TEST(HostSlotManager, ASlotWhoseClaimTheStoreLostHasNoTwoUsers) {
  Fleet fleet;
  fleet.SlotCount = 1;
  core::WallTime wall(std::chrono::hours(1));
  const auto options = [&](const std::string &id) {
    auto made = fleet.options(id);
    made.WallClock = [&wall] { return wall; };
    return made;
  };
  SlotManager a(fleet.Store, options("a"));
  SlotManager b(fleet.Store, options("b"));
  fleet.Store.State->takeCopy();
  a.renewOrClaim();
  ASSERT_TRUE(a.slot());
  fleet.Store.State->restoreCopy();
  b.renewOrClaim();
  EXPECT_FALSE(b.slot());
  a.renewOrClaim();
  EXPECT_FALSE(a.slot());
  wall += 2min;
  b.renewOrClaim();
  EXPECT_TRUE(b.slot());
}

TEST(HostSlotManager, AHolderKeepsASlotThatTheCopyHolds) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  a.renewOrClaim();
  const auto slot = a.slot();
  ASSERT_TRUE(slot);
  fleet.Store.State->takeCopy();
  fleet.Store.State->restoreCopy();
  a.renewOrClaim();
  EXPECT_EQ(a.slot(), slot);
}

/// The id of a lease that the copy lacks is given to another host. A renewal of
/// it succeeds, but the slot is not held.
TEST(HostSlotManager, ALeaseIdThatIsGivenOutAgainHoldsNoSlot) {
  Fleet fleet;
  SlotManager a(fleet.Store, fleet.options("a"));
  fleet.Store.State->takeCopy();
  a.renewOrClaim();
  ASSERT_TRUE(a.slot());
  fleet.Store.State->restoreCopy();
  ASSERT_TRUE(fleet.Store.openLease(15s, 1s));
  a.renewOrClaim();
  EXPECT_FALSE(a.slot());
}

} // namespace
