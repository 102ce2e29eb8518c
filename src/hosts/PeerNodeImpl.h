#ifndef SAVORYTRESTLE_HOSTS_PEER_NODE_IMPL_H
#define SAVORYTRESTLE_HOSTS_PEER_NODE_IMPL_H

/// @file
/// @brief Implementation of a peer node; included only by the sources of
/// PeerNode.

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <concurrentqueue/blockingconcurrentqueue.h>

#include "hosts/PeerClient.h"
#include "hosts/PeerNode.h"
#include "hosts/PeerView.h"
#include "hosts/rpc/RpcServer.h"
#include "savorytrestle/core/BlobDelta.h"

namespace savorytrestle::hosts {

using core::TimePoint;

/// @brief Data that the push thread sends to peers.
enum class PushJob { Settings, Hosts, Records };

/// @brief Number of kinds of push jobs.
inline constexpr std::size_t PushJobKindCount = 3;

/// @brief Reads the monotonic clock.
/// @return the time
inline TimePoint clockNow() { return std::chrono::steady_clock::now(); }

/// @brief Computes the digest of shared records.
/// @param text the records
/// @return their XXH3
std::uint64_t digestOf(const std::string &text);

/// @brief State, thread loops and RPC methods of a peer node.
struct PeerNode::Impl {
  Impl(PeerOptions options, PeerCallbacks callbacks);

  // Access to the state.
  core::VersionedBlob currentBlob(Topic kind) const;
  std::string serializeUpdate(Topic kind, std::uint64_t baseRevision);
  PeerState state() const;
  std::vector<core::HostInfo> live() const { return View.live(clockNow()); }
  bool applyUpdate(const TopicMessage &update);
  void mergeRecords(const std::string &records);

  // Thread loops; watchStore is shared by the two watches.
  template <typename Watch, typename Apply>
  void watchStore(Watch watch, Apply apply);
  void watchSettings();
  void watchSlots();
  void runPushes();
  void runPolls();
  void runStoreChecks();

  // Steps of the thread loops.
  bool isWatcher() const;
  void fetchSettings(const StoreReader &reader, const ManifestState &manifest,
                     TimePoint calledAt);
  void applySlots(const store::StorePage &page, TimePoint calledAt);
  void offerTopic(PeerClient &client, Topic kind);
  void offerRevision(PeerClient &client, const core::HostInfo &target,
                     Topic kind, std::uint64_t revision);
  void pushUpdate(PeerClient &client, const core::HostInfo &target, Topic kind,
                  std::uint64_t targetRevision);
  void pushRecords(PeerClient &client);
  void pollPeer(PeerClient &client, core::Rng &rng);
  std::optional<core::HostInfo> choosePeer(core::Rng &rng) const;
  void reconcile(PeerClient &client, const core::HostInfo &peer, Topic kind,
                 std::uint64_t peerRevision);
  void checkStore(const StoreReader &reader, core::StoreCheckTimer &timer,
                  core::Rng &rng);

  // RPC methods that peers call.
  void registerMethods();
  std::string onAsk(const std::string &params);
  std::string onOffer(const std::string &params);
  std::string onPush(const std::string &params);
  std::string onPull(const std::string &params);
  std::string onRecords(const std::string &params);

  core::Result<std::string> callPeer(PeerClient &client,
                                     const core::HostInfo &peer,
                                     const std::string &method,
                                     const std::string &params);
  // A job that is already queued is not added again, which bounds the queue by
  // the number of kinds. try_enqueue cannot be used: it does not allocate, so
  // it fails on every thread that the queue has no preallocated producer for.
  void enqueue(PushJob job) {
    if (!Queued[static_cast<std::size_t>(job)].exchange(true))
      PushQueue.enqueue(job);
  }
  bool waitUnlessStopped(std::chrono::milliseconds time);
  void notifyPollEnded();
  // Waits until a poll of a peer has ended, for at most a time; returns false
  // once the node is being stopped.
  bool waitForPoll(std::chrono::milliseconds time);

  PeerOptions Options;
  PeerCallbacks Callbacks;
  PeerView View;
  RpcServer Rpc;
  std::mutex HistoryLock;
  core::PartHistory SettingsHistory;
  core::PartHistory HostsHistory;
  moodycamel::BlockingConcurrentQueue<PushJob> PushQueue;
  std::array<std::atomic<bool>, PushJobKindCount> Queued{};
  // Last pushed; used by the push thread only.
  std::uint64_t PushedSettingsRevision = 0;
  std::uint64_t PushedHostsRevision = 0;
  std::uint64_t PushedRecordsDigest = 0;

  std::mutex StopLock;
  std::condition_variable Wake;
  bool Stopping = false;
  bool PollEnded = false;
  std::vector<std::thread> Threads;
};

} // namespace savorytrestle::hosts

#endif
