#include "savorytrestle/core/rates/ConnectionShare.h"

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

TEST(ConnectionShare, SharesOfAllSlotsAddUpToTheCap) {
  for (const std::uint32_t slots : {1, 2, 3, 7, 8, 9, 40, 41, 120, 121, 300})
    for (std::uint32_t cap = 1; cap <= 120; ++cap)
      EXPECT_EQ(sumOverSlots("leaf-" + std::to_string(cap), cap, slots), cap)
          << slots << " slots";
  for (const std::uint32_t slots : {838, 900})
    for (std::uint32_t cap = 1; cap <= 120; cap += 17)
      EXPECT_EQ(sumOverSlots("leaf-a", cap, slots), cap) << slots << " slots";
}

TEST(ConnectionShare, SevenHostsAndASpareGetEvenShares) {
  for (std::uint32_t slot = 0; slot < 8; ++slot) {
    EXPECT_EQ(connectionShare("preisportal-1a", 40, slot, 8), 5U);
    const auto share = connectionShare("counter-desk-1a", 30, slot, 8);
    EXPECT_TRUE(share == 3 || share == 4) << share;
  }
  // With a second spare slot, 40 connections no longer divide evenly.
  for (std::uint32_t slot = 0; slot < 9; ++slot) {
    const auto share = connectionShare("preisportal-1a", 40, slot, 9);
    EXPECT_TRUE(share == 4 || share == 5) << share;
  }
}

TEST(ConnectionShare, RemaindersOfManyLeavesSpreadEvenlyOverSlots) {
  std::array<std::uint32_t, 8> extra{};
  for (int leaf = 0; leaf < 800; ++leaf)
    for (std::uint32_t slot = 0; slot < 8; ++slot)
      extra[slot] +=
          connectionShare("leaf-" + std::to_string(leaf), 30, slot, 8) - 3;
  // 800 leaves x 6 remaining connections / 8 slots = 600 for each slot.
  for (const auto n : extra)
    EXPECT_NEAR(n, 600, 60);
}

TEST(ConnectionShare, ASlotOutOfRangeGetsNoConnections) {
  EXPECT_EQ(connectionShare("leaf", 40, 8, 8), 0U);
  EXPECT_EQ(connectionShare("leaf", 40, 0, 0), 0U);
}

} // namespace
