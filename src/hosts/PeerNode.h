#ifndef SAVORYTRESTLE_HOSTS_PEER_NODE_H
#define SAVORYTRESTLE_HOSTS_PEER_NODE_H

/// @file
/// @brief This host's part in spreading settings, membership and shared records
/// among hosts.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hosts/PeerMessages.h"
#include "hosts/StoreReader.h"
#include "savorytrestle/core/Membership.h"
#include "savorytrestle/core/SpreadPolicy.h"
#include "savorytrestle/core/VersionedBlob.h"
#include "support/HttpServer.h"

namespace savorytrestle::hosts {

/// @brief Identity, times and limits of a peer node.
struct PeerOptions {
  core::HostInfo Self;
  core::SpreadTiming Timing;
  /// Bound on each call to a peer.
  std::chrono::milliseconds CallTimeout{500};
  /// Seeds the choice of partners.
  std::uint64_t Seed = 1;
};

/// @brief What a peer node uses of the rest of the process.
///
/// All but MakeStoreReader's feeds are called by several threads.
struct PeerCallbacks {
  /// Settings in force; revision 0 when there are none yet.
  std::function<core::VersionedBlob()> CurrentSettings;
  /// Puts settings in force; must refuse a revision that is not higher than the
  /// one in force, and gives whether it took them.
  std::function<bool(core::VersionedBlob)> ApplySettings;
  /// Records to share, equal text for equal contents.
  std::function<std::string()> LocalRecords;
  /// Merges a peer's records; merging is commutative and idempotent.
  std::function<void(const std::string &)> MergeRecords;
  /// Makes a feed for one thread.
  std::function<StoreReader()> MakeStoreReader;
  /// Hosts to ask while no slot holder is known; identities may be empty.
  std::function<std::vector<core::HostInfo>()> Seeds;
};

/// @brief A peer's answer to a question about its state.
struct PeerStatus {
  core::HostInfo Host;
  /// Nothing when it did not answer.
  std::optional<PeerState> State;
};

/// @brief Watches the store when it is this host's turn, pushes what is new to
/// peers and compares with them.
///
/// Threads: one for each of the settings watch, the slots watch, pushes, and
/// asks with their checks of the store.
class PeerNode {
public:
  /// @brief Makes a node that does nothing yet.
  /// @param options identity and times
  /// @param callbacks the rest of the process
  PeerNode(PeerOptions options, PeerCallbacks callbacks);
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;
  ~PeerNode();

  /// @brief Starts the threads.
  void start();

  /// @brief Stops and joins the threads; bounded by the longest call.
  void stop();

  /// @brief Answers a request on the peer listener.
  /// @param request the request
  /// @return the response; 404 for any path but RpcPath
  support::HttpResponse handle(const support::HttpRequest &request);

  /// @brief Passes on settings that this process put in force itself.
  void publishSettings();

  /// @brief Passes on records that this process added.
  void publishRecords();

  /// @brief Whether settings are in force, from the store or a peer.
  /// @return true once there are
  bool ready() const;

  /// @brief Hosts believed live.
  /// @return the hosts by rising identity
  std::vector<core::HostInfo> live() const;

  /// @brief Live hosts by failure domain.
  /// @return the counts
  core::DomainCounts liveByDomain() const;

  /// @brief Takes the identities that the platform calls leaving.
  /// @param leaving the identities
  void setLeaving(std::vector<std::string> leaving);

  /// @brief Whether a peer said of late that the store is down.
  /// @return true while its word counts
  bool peerReportedOutage() const;

  /// @brief This host's own state.
  /// @return the state
  PeerState state() const;

  /// @brief Asks every slot holder for its state, one after the other.
  /// @return their answers; takes up to a call timeout for each silent host
  std::vector<PeerStatus> queryHostStates() const;

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace savorytrestle::hosts

#endif
