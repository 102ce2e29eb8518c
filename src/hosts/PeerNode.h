#ifndef SAVORYTRESTLE_HOSTS_PEER_NODE_H
#define SAVORYTRESTLE_HOSTS_PEER_NODE_H

/// @file
/// @brief Spreads settings, the host list and shared records among hosts.

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

/// @brief Identity and times of a peer node.
struct PeerOptions {
  core::HostInfo Self;
  core::SpreadTiming Timing;
  /// Time-out of each call to a peer.
  std::chrono::milliseconds CallTimeout{500};
  /// Seed of the choice of peers to poll and of the poll times.
  std::uint64_t Seed = 1;
};

/// @brief Functions of the rest of the process that a peer node calls.
///
/// Several threads call them; a reader made by MakeStoreReader is used by one
/// thread only.
struct PeerCallbacks {
  /// Returns the settings in force; revision 0 if there are none yet.
  std::function<core::VersionedBlob()> CurrentSettings;
  /// Puts settings in force; returns whether it did. Must reject a revision
  /// that is not higher than the one in force.
  std::function<bool(core::VersionedBlob)> ApplySettings;
  /// The store has older settings than those in force: writes them again if it
  /// has lost them. May be empty.
  std::function<void()> RestoreSettings{};
  /// Returns the records to share; equal contents must give equal text.
  std::function<std::string()> LocalRecords;
  /// Merges a peer's records; must be commutative and idempotent.
  std::function<void(const std::string &)> MergeRecords;
  /// Makes a store reader for one thread.
  std::function<StoreReader()> MakeStoreReader;
  /// Returns the hosts to poll while no other live slot holder is known; their
  /// identities may be empty.
  std::function<std::vector<core::HostInfo>()> Seeds;
};

/// @brief State of a host as it reported it.
struct PeerStatus {
  core::HostInfo Host;
  /// Empty if the host did not answer.
  std::optional<PeerState> State;
};

/// @brief Watches the store while this host is one of its region's watchers,
/// pushes new revisions to peers and polls peers for revisions it lacks.
///
/// Runs five threads: one watches the settings, one watches the slots, one
/// pushes to peers, one polls peers and one checks the store.
class PeerNode {
public:
  /// @brief Creates a node; starts no thread and makes no call.
  /// @param options identity and times
  /// @param callbacks the rest of the process
  PeerNode(PeerOptions options, PeerCallbacks callbacks);
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;
  ~PeerNode();

  /// @brief Starts the threads.
  void start();

  /// @brief Stops and joins the threads; takes up to the time of the longest
  /// call.
  void stop();

  /// @brief Answers a request on the peer listener.
  /// @param request the request
  /// @return the response; 404 for everything but a POST to RpcPath
  support::HttpResponse handle(const support::HttpRequest &request);

  /// @brief Queues a push of the settings in force, after this process has
  /// changed them itself.
  void publishSettings();

  /// @brief Queues a push of the shared records, after this process has added
  /// some.
  void publishRecords();

  /// @brief Whether settings are in force, from the store or a peer.
  /// @return true once a revision has been applied
  bool ready() const;

  /// @brief Hosts considered live.
  /// @return the hosts by rising identity
  std::vector<core::HostInfo> live() const;

  /// @brief Counts live hosts by failure domain.
  /// @return the counts
  core::DomainCounts liveByDomain() const;

  /// @brief Replaces the hosts that the platform's list marks as leaving.
  /// @param leaving identities of hosts
  void setLeaving(std::vector<std::string> leaving);

  /// @brief Whether a peer recently reported that the store is down.
  /// @return true until the last report is too old to count
  bool peerReportedOutage() const;

  /// @brief State of this host, as peers receive it.
  /// @return the state
  PeerState state() const;

  /// @brief Requests the state of every slot holder, one after the other.
  /// @return the states; takes up to the call time-out for each host that does
  ///   not answer
  std::vector<PeerStatus> queryHostStates() const;

private:
  struct Impl;

  std::unique_ptr<Impl> State;
};

} // namespace savorytrestle::hosts

#endif
