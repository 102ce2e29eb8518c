#ifndef SAVORYTRESTLE_CORE_LEAF_SELECTOR_H
#define SAVORYTRESTLE_CORE_LEAF_SELECTOR_H

/// @file
/// @brief How a search policy gets permission to use a leaf.

#include <concepts>
#include <optional>
#include <span>

#include "savorytrestle/core/SearchTypes.h"

namespace savorytrestle::core {

/// @brief How an attempt on a leaf ended, as this host saw it.
struct AttemptResult {
  /// Nothing when the attempt was answered or cancelled.
  std::optional<AttemptFailure> Failure;
  /// Whether this host cancelled it; its latency then says little.
  bool Cancelled = false;
  /// From dispatch to the end.
  Duration Latency{};
  /// What the leaf reported with its reply.
  std::optional<LoadReport> Load;
};

/// @brief Picks leaves and accounts for the share of them this host may use.
///
/// acquire picks the best admissible candidate and reserves one request on it,
/// or gives nothing when none may take one now; every acquired leaf is released
/// exactly once.
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
