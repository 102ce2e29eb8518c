#include "savorytrestle/core/HostShare.h"

#include <array>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

std::uint32_t sumOverSlots(const std::string &leaf, std::uint32_t cap,
                           std::uint32_t slots) {
  std::uint32_t sum = 0;
  for (std::uint32_t slot = 0; slot < slots; ++slot)
    sum += connectionShare(leaf, cap, slot, slots);
  return sum;
}

TEST(HostShare, SharesOfAllSlotsAddUpToTheCap) {
  for (const std::uint32_t slots : {1, 2, 3, 7, 8, 9, 40, 41, 120, 121, 300})
    for (std::uint32_t cap = 1; cap <= 120; ++cap)
      EXPECT_EQ(sumOverSlots("leaf-" + std::to_string(cap), cap, slots), cap)
          << slots << " slots";
  for (const std::uint32_t slots : {838, 900})
    for (std::uint32_t cap = 1; cap <= 120; cap += 17)
      EXPECT_EQ(sumOverSlots("leaf-a", cap, slots), cap) << slots << " slots";
}

TEST(HostShare, SevenHostsAndASpareGetEvenShares) {
  for (std::uint32_t slot = 0; slot < 8; ++slot) {
    EXPECT_EQ(connectionShare("preisportal-1a", 40, slot, 8), 5U);
    const auto share = connectionShare("counter-desk-1a", 30, slot, 8);
    EXPECT_TRUE(share == 3 || share == 4) << share;
  }
  // With a second spare 40 does not divide evenly any more.
  for (std::uint32_t slot = 0; slot < 9; ++slot) {
    const auto share = connectionShare("preisportal-1a", 40, slot, 9);
    EXPECT_TRUE(share == 4 || share == 5) << share;
  }
}

TEST(HostShare, RemaindersSpreadOverSlotsByLeaf) {
  std::array<std::uint32_t, 8> extra{};
  for (int leaf = 0; leaf < 800; ++leaf)
    for (std::uint32_t slot = 0; slot < 8; ++slot)
      extra[slot] +=
          connectionShare("leaf-" + std::to_string(leaf), 30, slot, 8) - 3;
  // 800 leaves x 6 left over / 8 slots = 600 each.
  for (const auto n : extra)
    EXPECT_NEAR(n, 600, 60);
}

TEST(HostShare, ASlotOutOfRangeGetsNothing) {
  EXPECT_EQ(connectionShare("leaf", 40, 8, 8), 0U);
  EXPECT_EQ(connectionShare("leaf", 40, 0, 0), 0U);
}

constexpr Duration Grace = 30s;

TEST(ChooseSlot, PrefersASlotThatNeverHadAHolder) {
  const std::vector<SlotObservation> slots = {
      {true, true, 0s}, {false, true, 100s}, {false, false, 0s}};
  EXPECT_EQ(chooseSlot(slots, Grace), 2U);
}

TEST(ChooseSlot, KeepsALapsedSlotUnusedForTheGrace) {
  const std::vector<SlotObservation> slots = {{true, true, 0s},
                                              {false, true, 29s}};
  EXPECT_FALSE(chooseSlot(slots, Grace));
}

TEST(ChooseSlot, TakesTheSlotFreeForLongest) {
  const std::vector<SlotObservation> slots = {{false, true, 31s},
                                              {false, true, 40s}};
  EXPECT_EQ(chooseSlot(slots, Grace), 1U);
}

// Hosts are replaced one after another; each old holder goes on until its share
// ends, although its lease lapsed long before.
TEST(ChooseSlot, PausedHoldersNeverShareASlotWithTheirSuccessors) {
  constexpr std::uint32_t Slots = 8;
  constexpr Duration GoesOn = 25s;
  struct Holder {
    std::uint32_t Slot = 0;
    Duration Lapsed{};
  };
  std::vector<SlotObservation> seen(Slots);
  for (std::uint32_t slot = 0; slot < 7; ++slot)
    seen[slot] = {true, true, 0s};
  std::vector<Holder> paused;
  std::uint32_t victim = 0;
  std::uint32_t replaced = 0;
  for (Duration now = 0s; now < 300s; now += 1s) {
    for (auto &slot : seen)
      slot.FreeFor += slot.Held ? 0s : 1s;
    if (now % 10s == 0s && seen[victim].Held) {
      seen[victim] = {false, true, 0s};
      paused.push_back({victim, now});
      victim = (victim + 1) % Slots;
    }
    const auto slot = chooseSlot(seen, Grace);
    if (!slot)
      continue;
    for (const auto &holder : paused)
      EXPECT_FALSE(holder.Slot == *slot && now - holder.Lapsed < GoesOn);
    seen[*slot] = {true, true, 0s};
    ++replaced;
  }
  EXPECT_GE(replaced, 20U);
}

} // namespace
