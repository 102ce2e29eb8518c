#ifndef SAVORYTRESTLE_SERVE_CONTROL_PLANE_H
#define SAVORYTRESTLE_SERVE_CONTROL_PLANE_H

/// @file
/// @brief Settings, membership and administration API of one host.

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "backend/HostQuarantine.h"
#include "hosts/HostSlotManager.h"
#include "hosts/PeerNode.h"
#include "operators/AdminApi.h"
#include "operators/SettingsReplica.h"
#include "operators/SettingsStore.h"
#include "serve/HostConfig.h"
#include "store/HostList.h"
#include "store/PlatformStore.h"

namespace savorytrestle::serve {

/// @brief Owns the settings in force, the host slot, the peer node and the
/// administration API of one host.
class ControlPlane {
public:
  /// @brief Called with each settings revision that is put in force.
  using Observer = operators::SettingsReplica::Observer;

  /// @brief Creates the members; starts no thread and makes no call.
  /// @param config the host's settings
  /// @param guard crash quarantine whose records are shared with peers
  ControlPlane(const HostConfig &config,
               std::shared_ptr<backend::HostQuarantine> guard);

  /// @brief Starts the threads.
  /// @param onSettings called with each revision, on the thread that applies it
  void start(Observer onSettings);

  /// @brief Announces to the other hosts that this one is draining.
  void setDraining() { Slot.setDraining(); }

  /// @brief Stops the threads of the host list and the peer node; keeps the
  /// slot.
  void stopPeers();

  /// @brief Releases the host slot; call after the last connection to a leaf is
  /// closed.
  void releaseSlot() { Slot.stop(); }

  /// @brief Sends this host's new crash records to its peers; doesn't block.
  void publishCrashRecords() { Peers.publishRecords(); }

  /// @brief Whether settings are in force and a slot is held.
  /// @return true when the host can serve requests
  bool ready() const;

  /// @brief The routes in force.
  /// @return null before the first revision
  std::shared_ptr<const core::RouteTable> routes() const {
    return Replica.routes();
  }

  /// @brief The slot that this host holds.
  /// @return nothing when the host holds none
  std::optional<core::SlotNumber> slot() const { return Slot.slot(); }

  /// @brief Answers a request on the listener for other hosts.
  /// @param request the request
  /// @return the response
  support::HttpResponse handlePeer(const support::HttpRequest &request) {
    return Peers.handle(request);
  }

  /// @brief Answers a request on the listener for operators.
  /// @param request the request
  /// @return the response
  support::HttpResponse handleOperator(const support::HttpRequest &request) {
    return Admin.handle(request);
  }

private:
  using Store = store::PlatformStore;

  void pollHostList(const std::stop_token &stop);
  hosts::PeerCallbacks peerCallbacks();
  operators::SettingsBackend settingsBackend();
  operators::AdminApiOptions adminOptions();
  operators::CommitResult commit(const core::ChangeRequest &request);

  const HostConfig Config;
  const core::HostInfo Self;
  const std::shared_ptr<backend::HostQuarantine> Guard;
  operators::SettingsReplica Replica;
  Store AdminClient;
  operators::SettingsStore<Store> AdminStore;
  operators::SettingsBackend StoreBackend;
  hosts::PeerNode Peers;
  hosts::HostSlotManager<Store> Slot;
  operators::AdminApi Admin;
  std::mutex LiveHostsLock;
  /// Live hosts of the platform's list, as last read.
  std::vector<core::HostInfo> LiveHosts;
  std::jthread HostListThread;
};

} // namespace savorytrestle::serve

#endif
