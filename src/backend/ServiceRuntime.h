#ifndef SAVORYTRESTLE_BACKEND_SERVICE_RUNTIME_H
#define SAVORYTRESTLE_BACKEND_SERVICE_RUNTIME_H

/// @file
/// @brief What a host knows about the leaves of one service; fan-out thread
/// only.

#include <memory>
#include <optional>
#include <vector>

#include "backend/FanOutLoop.h"
#include "backend/LeafProtocol.h"
#include "savorytrestle/core/RouteSettings.h"

namespace savorytrestle::backend {

/// @brief Polls the leaves of one service and keeps what they report.
class ServiceRuntime : public std::enable_shared_from_this<ServiceRuntime> {
public:
  /// @brief Prepares the state; call @ref startPolling next.
  /// @param settings the service
  /// @param loop runs the polls; must outlive the runtime
  ServiceRuntime(std::shared_ptr<const core::ServiceSettings> settings,
                 FanOutLoop &loop);

  /// @brief Polls each leaf's status now and every second, until @ref stop.
  void startPolling();

  /// @brief Ends the polling; running searches keep the state alive.
  void stop() { Stopped = true; }

  /// @brief The service's settings.
  /// @return never null
  const std::shared_ptr<const core::ServiceSettings> &settings() const {
    return Settings;
  }

  /// @brief The newest index version that every shard has a leaf for, else the
  /// one with the best coverage.
  /// @return nothing while no leaf has reported
  std::optional<core::Snapshot> snapshot() const;

  /// @brief Leaves that take work now.
  /// @return their indexes
  std::vector<core::LeafIndex> usableLeaves() const;

private:
  void poll(core::LeafIndex leaf);
  void onStatus(core::LeafIndex leaf, const LeafCallResult &result);

  const std::shared_ptr<const core::ServiceSettings> Settings;
  FanOutLoop &Loop;
  /// Last status by leaf; nothing when unknown or unreachable.
  std::vector<std::optional<LeafStatus>> Status;
  bool Stopped = false;
};

} // namespace savorytrestle::backend

#endif
