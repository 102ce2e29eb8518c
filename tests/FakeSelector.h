#ifndef SAVORYTRESTLE_TESTS_FAKE_SELECTOR_H
#define SAVORYTRESTLE_TESTS_FAKE_SELECTOR_H

/// @file
/// @brief A leaf selector for unit tests.

#include <map>
#include <memory>
#include <set>

#include "savorytrestle/core/LeafSelector.h"

namespace savorytrestle::standins {

/// @brief State shared by all copies of one fake selector.
struct FakeSelectorState {
  int totalInUse() const {
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

/// @brief Selects the first candidate that is not blocked, and records the
/// requests in use and the results.
struct FakeSelector {
  std::optional<core::LeafIndex>
  acquire(std::span<const core::LeafIndex> candidates, core::TimePoint,
          core::Rng &) {
    for (const auto leaf : candidates) {
      if (State->BlockAll || State->Blocked.contains(leaf))
        continue;
      ++State->InUse[leaf];
      return leaf;
    }
    return std::nullopt;
  }
  void release(core::LeafIndex leaf, const core::AttemptResult &result,
               core::TimePoint) {
    --State->InUse[leaf];
    State->Results.push_back(result);
  }

  std::shared_ptr<FakeSelectorState> State =
      std::make_shared<FakeSelectorState>();
};

static_assert(core::LeafSelector<FakeSelector>);

} // namespace savorytrestle::standins

#endif
