#ifndef SAVORYTRESTLE_BACKEND_SERVICE_RUNTIME_H
#define SAVORYTRESTLE_BACKEND_SERVICE_RUNTIME_H

/// @file
/// @brief State of the leaves of one service on this host; fan-out thread only.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "backend/FanOutLoop.h"
#include "backend/LeafProtocol.h"
#include "backend/QuarantineLeafSelector.h"
#include "savorytrestle/core/ExtraLoadBudget.h"
#include "savorytrestle/core/HedgeDelays.h"
#include "savorytrestle/core/LeafPool.h"
#include "savorytrestle/core/SnapshotCatalog.h"
#include "savorytrestle/core/TailAwareSearch.h"

namespace savorytrestle::backend {

/// @brief State of a service that is kept when its settings change.
struct SharedServiceState {
  /// @brief Creates the state of a new service.
  /// @param failureDomain this host's failure domain
  /// @param settings the service
  /// @param seed seed of the pool's jitter
  SharedServiceState(const std::string &failureDomain,
                     const core::ServiceSettings &settings, std::uint64_t seed);

  core::LeafPool Pool;
  core::ExtraLoadBudget Budget;
};

/// @brief One service under one revision of its settings: polls the status
/// of its leaves and provides the state that searches and writes use. Running
/// searches share ownership of it.
class ServiceRuntime : public std::enable_shared_from_this<ServiceRuntime> {
public:
  using SearchState = core::ServiceState<QuarantineLeafSelector>;

  /// @brief Creates the runtime of a settings revision; call @ref startPolling
  /// next.
  /// @param settings the service
  /// @param sharedState state that the revisions share
  /// @param quarantine the host's crash quarantine
  /// @param loop runs the polls; must outlive the runtime
  ServiceRuntime(std::shared_ptr<const core::ServiceSettings> settings,
                 std::shared_ptr<SharedServiceState> sharedState,
                 std::shared_ptr<HostQuarantine> quarantine, FanOutLoop &loop);

  /// @brief Polls each leaf's status now and every second, until @ref stop.
  void startPolling();

  /// @brief Requests each leaf's status now, after a leaf turned out to hold
  /// another index version than its last status showed; at most once in 100 ms.
  void refreshStatuses();

  /// @brief Requests each leaf's status once, in addition to the polling.
  void requestAllStatuses();

  /// @brief Stops the polling; running searches go on.
  void stop() { Stopped = true; }

  /// @brief The service's settings.
  /// @return never null
  const std::shared_ptr<const core::ServiceSettings> &settings() const {
    return Settings;
  }

  /// @brief State that this revision shares with the others.
  /// @return never null
  const std::shared_ptr<SharedServiceState> &sharedState() const {
    return SharedState;
  }

  /// @brief Makes the state that one search uses.
  /// @param fingerprint the search's fingerprint
  /// @return a leaf selector, and references to members of this runtime
  SearchState makeSearchState(const core::Fingerprint &fingerprint);

  /// @brief The snapshot that a search would use now.
  /// @return null before any leaf has reported
  std::shared_ptr<const core::Snapshot> snapshot() const {
    return Catalog.current();
  }

  /// @brief Names of the groups that hold any of the given shards of an index
  /// version.
  /// @param version the index version
  /// @param shards the shards
  /// @return sorted names; O(leaves * log shards)
  std::vector<std::string>
  groupsHolding(core::IndexVersion version,
                const std::vector<core::ShardIndex> &shards) const;

  /// @brief Copies from an earlier revision the statuses of the leaves that
  /// have kept their name and address, and the hedge delays if all leaves have.
  /// @param earlier the runtime before the change
  void copyStateFrom(const ServiceRuntime &earlier);

  /// @brief Connections this host may have to a leaf now.
  /// @param leaf position in this revision's leaf list
  /// @return the limit; 0 while no host slot is held
  std::uint32_t connectionLimit(core::LeafIndex leaf) const {
    return Pinned.connectionLimit(leaf, std::chrono::steady_clock::now());
  }

  /// @brief Indices of all leaves, the candidates for a write.
  /// @return 0 to the number of leaves minus one
  const std::vector<core::LeafIndex> &allLeaves() const { return AllLeaves; }

private:
  void pollAndReschedule(core::LeafIndex leaf);
  void requestStatus(core::LeafIndex leaf);
  void reportToQuarantine(core::LeafIndex leaf, const LeafCallResult &result,
                          const std::optional<LeafStatus> &status);
  void onStatus(core::LeafIndex leaf, const LeafCallResult &result);
  void applyStatus(core::LeafIndex leaf, const LeafStatus &status);

  const std::shared_ptr<const core::ServiceSettings> Settings;
  const std::shared_ptr<SharedServiceState> SharedState;
  FanOutLoop &Loop;
  const std::shared_ptr<HostQuarantine> Quarantine;
  const core::PinnedLeaves Pinned;
  core::SnapshotCatalog Catalog;
  /// By position in this revision's leaf list.
  core::HedgeDelays Hedges;
  std::vector<core::LeafIndex> AllLeaves;
  /// Last status of each leaf; not set before the first one.
  std::vector<std::optional<LeafStatus>> LastStatuses;
  core::TimePoint LastRefresh;
  bool Stopped = false;
};

} // namespace savorytrestle::backend

#endif
