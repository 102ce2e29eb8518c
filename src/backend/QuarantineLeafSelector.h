#ifndef SAVORYTRESTLE_BACKEND_QUARANTINE_LEAF_SELECTOR_H
#define SAVORYTRESTLE_BACKEND_QUARANTINE_LEAF_SELECTOR_H

/// @file
/// @brief A service's leaves as one search sees them: what it sends is
/// accounted for in the pool and in the crash quarantine.

#include <functional>
#include <memory>

#include "backend/HostQuarantine.h"
#include "savorytrestle/core/LeafPool.h"

namespace savorytrestle::backend {

/// @brief Selector of one search; copies share their state. Fan-out thread
/// only.
class QuarantineLeafSelector {
public:
  /// @brief Told the leaf of each attempt whose connection broke.
  using ConnectionLostHandler = std::function<void(core::LeafIndex)>;

  /// @brief Makes the selector of one search.
  /// @param pinned the leaves
  /// @param settings their names, in the same order
  /// @param quarantine the quarantine
  /// @param fingerprint the search's fingerprint
  /// @param onConnectionLost told of breaks, to find out whether the leaf
  /// crashed
  QuarantineLeafSelector(core::PinnedLeaves pinned,
                         std::shared_ptr<const core::ServiceSettings> settings,
                         std::shared_ptr<HostQuarantine> quarantine,
                         const core::Fingerprint &fingerprint,
                         ConnectionLostHandler onConnectionLost)
      : Pinned(std::move(pinned)), Settings(std::move(settings)),
        Quarantine(std::move(quarantine)), RequestFingerprint(fingerprint),
        OnConnectionLost(std::move(onConnectionLost)) {}

  /// @brief See core::LeafSelector; leaves where the quarantine wants this
  /// search kept apart are passed over.
  /// @param candidates leaves to choose from
  /// @param now current time
  /// @param rng passed on
  /// @return the leaf, or nothing
  std::optional<core::LeafIndex>
  acquire(std::span<const core::LeafIndex> candidates, core::TimePoint now,
          core::Rng &rng) {
    std::vector<core::LeafIndex> allowed;
    allowed.reserve(candidates.size());
    for (const auto leaf : candidates)
      if (Quarantine->mayRunOnLeaf(name(leaf), RequestFingerprint))
        allowed.push_back(leaf);
    const auto leaf = Pinned.acquire(allowed, now, rng);
    if (leaf)
      Quarantine->onStart(name(*leaf), RequestFingerprint);
    return leaf;
  }

  /// @brief See core::LeafSelector.
  /// @param leaf the leaf
  /// @param result how the attempt ended
  /// @param now current time
  void release(core::LeafIndex leaf, const core::AttemptResult &result,
               core::TimePoint now) {
    Pinned.release(leaf, result, now);
    const bool connectionLost =
        result.Failure == core::AttemptFailure::ConnectionLost;
    if (!result.Failure && !result.Cancelled)
      *AnyLeafAnswered = true;
    // A request that crashes the leaves it runs on has no answer from any: one
    // that has is only a bystander of this break, and isn't blamed for it.
    if (connectionLost && *AnyLeafAnswered)
      Quarantine->onOtherOutcome(name(leaf), RequestFingerprint);
    else
      Quarantine->onEnd(name(leaf), RequestFingerprint, result);
    if (connectionLost)
      OnConnectionLost(leaf);
  }

private:
  const std::string &name(core::LeafIndex leaf) const {
    return Settings->Leaves[leaf].Name;
  }

  core::PinnedLeaves Pinned;
  std::shared_ptr<const core::ServiceSettings> Settings;
  std::shared_ptr<HostQuarantine> Quarantine;
  core::Fingerprint RequestFingerprint;
  ConnectionLostHandler OnConnectionLost;
  /// Whether any leaf has answered this search; shared by the copies.
  std::shared_ptr<bool> AnyLeafAnswered = std::make_shared<bool>(false);
};

static_assert(core::LeafSelector<QuarantineLeafSelector>);

} // namespace savorytrestle::backend

#endif
