#ifndef SAVORYTRESTLE_TESTS_FAKE_SELECTOR_H
#define SAVORYTRESTLE_TESTS_FAKE_SELECTOR_H

/// @file
/// @brief A leaf selector for unit tests.

#include <map>
#include <set>

#include "savorytrestle/core/LeafSelector.h"

namespace savorytrestle::standins {

/// @brief Takes the first candidate that isn't blocked, and counts.
struct FakeSelector {
  std::optional<core::LeafIndex>
  acquire(std::span<const core::LeafIndex> candidates, core::TimePoint,
          core::Rng &) {
    for (const auto leaf : candidates) {
      if (BlockAll || Blocked.contains(leaf))
        continue;
      ++InUse[leaf];
      return leaf;
    }
    return std::nullopt;
  }
  void release(core::LeafIndex leaf, const core::AttemptResult &result,
               core::TimePoint) {
    --InUse[leaf];
    Results.push_back(result);
  }
  int inUse() const {
    int n = 0;
    for (const auto &[leaf, count] : InUse)
      n += count;
    return n;
  }

  bool BlockAll = false;
  std::set<core::LeafIndex> Blocked;
  std::map<core::LeafIndex, int> InUse;
  std::vector<core::AttemptResult> Results;
};

static_assert(core::LeafSelector<FakeSelector>);

} // namespace savorytrestle::standins

#endif
