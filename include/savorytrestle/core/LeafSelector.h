#ifndef SAVORYTRESTLE_CORE_LEAF_SELECTOR_H
#define SAVORYTRESTLE_CORE_LEAF_SELECTOR_H

/// @file
/// @brief Interface through which a search policy reserves a leaf.

#include <concepts>
#include <optional>
#include <span>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief How an attempt on a leaf ended, as this host saw it.
struct AttemptResult {
  /// Empty if the attempt was answered or cancelled.
  std::optional<AttemptFailure> Failure;
  /// Whether this host cancelled it; the latency is then only a lower bound.
  bool Cancelled = false;
  /// Time from dispatch to the end.
  Duration Latency{};
  /// Load that the leaf reported with its reply.
  std::optional<LoadReport> Load;
};

/// @brief Chooses leaves within this host's share of them.
///
/// acquire chooses a candidate that admits a request and reserves the request
/// on it, or returns nothing if no candidate admits one now. Every acquired
/// leaf is released exactly once.
template <typename S>
concept LeafSelector = requires(S selector,
                                std::span<const LeafIndex> candidates,
                                TimePoint now, Rng &rng, LeafIndex leaf,
                                const AttemptResult &result) {
  {
    selector.acquire(candidates, now, rng)
    } -> std::same_as<std::optional<LeafIndex>>;
  { selector.release(leaf, result, now) } -> std::same_as<void>;
};

} // namespace savorytrestle::core

#endif
