#ifndef SAVORYTRESTLE_BACKEND_SERVICE_RUNTIME_H
#define SAVORYTRESTLE_BACKEND_SERVICE_RUNTIME_H

/// @file
/// @brief What a host knows about the leaves of one service; fan-out thread
/// only.

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

/// @brief State of a service that outlives a settings change.
struct SharedServiceState {
  /// @brief Makes the state of a new service.
  /// @param failureDomain this host's failure domain
  /// @param settings the service
  /// @param seed seed of the pool's jitter
  SharedServiceState(const std::string &failureDomain,
                     const core::ServiceSettings &settings, std::uint64_t seed);

  core::LeafPool Pool;
  core::ExtraLoadBudget Budget;
};

/// @brief One service under one revision of its settings: polls its leaves and
/// offers what searches and writes need. Searches keep it alive.
class ServiceRuntime : public std::enable_shared_from_this<ServiceRuntime> {
public:
  using SearchState = core::ServiceState<QuarantineLeafSelector>;

  /// @brief Takes a revision of the settings over; call @ref startPolling next.
  /// @param settings the service
  /// @param sharedState state that the revisions share
  /// @param quarantine the host's crash quarantine
  /// @param loop runs the polls; must outlive the runtime
  ServiceRuntime(std::shared_ptr<const core::ServiceSettings> settings,
                 std::shared_ptr<SharedServiceState> sharedState,
                 std::shared_ptr<HostQuarantine> quarantine, FanOutLoop &loop);

  /// @brief Polls each leaf's status now and every second, until @ref stop.
  void startPolling();

  /// @brief Polls every leaf now, as one of them turned out to hold another
  /// index version than was known; at most once in a tenth of a second.
  void refresh();

  /// @brief Asks each leaf's status once, besides the polling.
  void requestAllStatuses();

  /// @brief Ends the polling; running searches keep the state alive.
  void stop() { Stopped = true; }

  /// @brief The service's settings.
  /// @return never null
  const std::shared_ptr<const core::ServiceSettings> &settings() const {
    return Settings;
  }

  /// @brief State that outlives this revision.
  /// @return never null
  const std::shared_ptr<SharedServiceState> &sharedState() const {
    return SharedState;
  }

  /// @brief What a search of this service uses.
  /// @param fingerprint the search's fingerprint
  /// @return references into this runtime
  SearchState makeSearchState(const core::Fingerprint &fingerprint);

  /// @brief The snapshot a search would pin now.
  /// @return null before any leaf has reported
  std::shared_ptr<const core::Snapshot> snapshot() const {
    return Catalog.current();
  }

  /// @brief Names the groups that hold shards of a version.
  /// @param version the index version
  /// @param shards the shards
  /// @return sorted names; O(leaves * log shards)
  std::vector<std::string>
  groupsHolding(core::IndexVersion version,
                const std::vector<core::ShardIndex> &shards) const;

  /// @brief Takes over what an earlier revision knew of the same leaves.
  /// @param earlier the runtime before the change
  void copyStateFrom(const ServiceRuntime &earlier);

  /// @brief Connections this host may have to a leaf now.
  /// @param leaf position in this revision's leaf list
  /// @return the share; 0 while no host slot is held
  std::uint32_t connectionLimit(core::LeafIndex leaf) const {
    return Pinned.connectionLimit(leaf, std::chrono::steady_clock::now());
  }

  /// @brief Index positions of all leaves, for choosing one for a write.
  /// @return 0 to the number of leaves less one
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
  /// Last status by leaf; nothing before the first one.
  std::vector<std::optional<LeafStatus>> LastStatuses;
  core::TimePoint LastRefresh;
  bool Stopped = false;
};

} // namespace savorytrestle::backend

#endif
