#ifndef SAVORYTRESTLE_SERVE_CONTROL_PLANE_H
#define SAVORYTRESTLE_SERVE_CONTROL_PLANE_H

/// @file
/// @brief A host's part in settings, membership and administration.

#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "backend/CrashGuard.h"
#include "hosts/HostSlotKeeper.h"
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
  /// @brief Told of each settings revision that is put in force.
  using Observer = operators::SettingsReplica::Observer;

  /// @brief Prepares everything; makes no call yet.
  /// @param config the host's settings
  /// @param guard crash quarantine whose records are shared with peers
  ControlPlane(const HostConfig &config,
               std::shared_ptr<backend::CrashGuard> guard);

  /// @brief Starts the threads.
  /// @param onSettings told of each revision, on the thread that applies it
  void start(Observer onSettings);

  /// @brief Tells other hosts that this one leaves.
  void setDraining() { Slot.setDraining(); }

  /// @brief Ends the threads of the peer node; the slot is kept.
  void stopPeers();

  /// @brief Releases the host slot; call once no connection to a leaf is left.
  void releaseSlot() { Slot.stop(); }

  /// @brief Passes on crash records that this host has found; doesn't block.
  void publishCrashRecords() { Peers.publishRecords(); }

  /// @brief Whether settings are in force and a slot is held.
  /// @return true when requests can be served
  bool ready() const;

  /// @brief The routes in force.
  /// @return null before the first revision
  std::shared_ptr<const core::RouteTable> routes() const {
    return Replica.routes();
  }

  /// @brief The slot this host may use now.
  /// @return nothing while it holds none
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
  operators::CommitResult commit(const operators::SettingsBackend &inner,
                                 const core::ChangeRequest &request);

  const HostConfig Config;
  const core::HostInfo Self;
  const std::shared_ptr<backend::CrashGuard> Guard;
  operators::SettingsReplica Replica;
  Store AdminClient;
  operators::SettingsStore<Store> AdminStore;
  hosts::PeerNode Peers;
  hosts::HostSlotKeeper<Store> Slot;
  operators::AdminApi Admin;
  std::mutex LiveHostsLock;
  /// Hosts that the platform's list calls live.
  std::vector<core::HostInfo> LiveHosts;
  std::jthread HostListThread;
};

} // namespace savorytrestle::serve

#endif
