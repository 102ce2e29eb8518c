#include "savorytrestle/core/rates/ConnectionShare.h"

#include <utility>

#include <xxhash.h>

namespace savorytrestle::core {

namespace {

std::pair<std::uint64_t, std::uint32_t>
rendezvousScore(std::string_view leafName, std::uint32_t slot) {
  // The slot number breaks ties, so that all hosts compute the same order.
  return {XXH3_64bits_withSeed(leafName.data(), leafName.size(), slot), slot};
}

std::uint32_t rank(std::string_view leafName, std::uint32_t slot,
                   std::uint32_t slots) {
  const auto ownScore = rendezvousScore(leafName, slot);
  std::uint32_t rankedBefore = 0;
  for (std::uint32_t other = 0; other < slots; ++other)
    rankedBefore += rendezvousScore(leafName, other) > ownScore ? 1 : 0;
  return rankedBefore;
}

} // namespace

std::uint32_t connectionShare(std::string_view leafName, std::uint32_t cap,
                              std::uint32_t slot, std::uint32_t slots) {
  if (slot >= slots)
    return 0;
  const auto base = cap / slots;
  const auto remainder = cap % slots;
  if (remainder == 0)
    return base;
  // The order depends on the leaf's name only: hosts with different revisions
  // of the leaf list agree on every leaf that is in both.
  return base + (rank(leafName, slot, slots) < remainder ? 1 : 0);
}

} // namespace savorytrestle::core
