#ifndef SAVORYTRESTLE_BACKEND_QUARANTINE_LEAF_SELECTOR_H
#define SAVORYTRESTLE_BACKEND_QUARANTINE_LEAF_SELECTOR_H

/// @file
/// @brief Leaf selector of one search, which accounts for the attempts in the
/// leaf pool and in the crash quarantine.

#include <functional>
#include <memory>

#include "backend/HostQuarantine.h"
#include "savorytrestle/core/LeafPool.h"

namespace savorytrestle::backend {

/// @brief Selector of one search; copies share their state. Fan-out thread
/// only.
class QuarantineLeafSelector {
public:
  /// @brief Called with the leaf of each attempt whose connection broke after
  /// the request was sent.
  using ConnectionLostHandler = std::function<void(core::LeafIndex)>;

  /// @brief Creates the selector of one search.
  /// @param pinned the leaves
  /// @param settings the service; its leaf list has the same order
  /// @param quarantine the quarantine
  /// @param fingerprint the search's fingerprint
  /// @param onConnectionLost called after each lost connection, so that the
  ///   leaf can be checked for a crash
  QuarantineLeafSelector(core::PinnedLeaves pinned,
                         std::shared_ptr<const core::ServiceSettings> settings,
                         std::shared_ptr<HostQuarantine> quarantine,
                         const core::Fingerprint &fingerprint,
                         ConnectionLostHandler onConnectionLost)
      : Pinned(std::move(pinned)), Settings(std::move(settings)),
        Quarantine(std::move(quarantine)), RequestFingerprint(fingerprint),
        OnConnectionLost(std::move(onConnectionLost)) {}

  /// @brief See core::LeafSelector; excludes the leaves on which the quarantine
  /// does not allow this search.
  /// @param candidates leaves to choose from
  /// @param now current time
  /// @param rng random source
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
    // A request that crashes leaves is not answered by any of them. A search
    // that has an answer did not cause this break, so the quarantine does not
    // count the break against it.
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
