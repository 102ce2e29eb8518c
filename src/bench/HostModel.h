#ifndef SAVORYTRESTLE_BENCH_HOST_MODEL_H
#define SAVORYTRESTLE_BENCH_HOST_MODEL_H

/// @file
/// @brief Model of a host: runs searches of one policy over a simulated
/// network.

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bench/Cluster.h"
#include "bench/Drivers.h"

namespace savorytrestle::bench {

/// @brief Attempts of a run.
struct AttemptCounts {
  std::uint64_t First = 0;
  std::uint64_t Extra = 0;
};

/// @brief One host with its connections to the leaves of one service.
template <typename Driver> class HostModel {
public:
  using AnswerHandler = std::function<void(core::SearchAnswer)>;

  HostModel(Simulation &simulation, Cluster &cluster, const HostTraits &traits,
            Driver driver, AttemptCounts &counts)
      : Clock(simulation), Backend(cluster), Traits(traits),
        PolicyDriver(std::move(driver)), Counts(counts), Random(traits.Seed),
        PoolByLeaf(cluster.size()) {}

  /// @brief Polls the leaves' state and holdings now and at each interval.
  /// @param end time after which polling ends
  void pollLeaves(core::TimePoint end) {
    for (core::LeafIndex leaf = 0; leaf < Backend.size(); ++leaf)
      pollLeaf(leaf);
    if (Clock.now() < end && !Stopped)
      Clock.scheduleAfter(PollInterval, [this, end] { pollLeaves(end); });
  }

  /// @brief Runs one search.
  /// @param done receives its answer
  void search(AnswerHandler done) {
    auto running = std::make_shared<Search>(
        Search{PolicyDriver.makePolicy(Clock.now() + SearchDeadline),
               std::move(done),
               {},
               {},
               false});
    ++ActiveSearches;
    applyActions(running, running->Policy.start(Clock.now(), Random));
  }

  /// @brief Closes all connections after the last search and call have ended.
  /// @param closed called when they are closed
  void stop(std::function<void()> closed) {
    Stopped = true;
    if (ActiveSearches > 0 || OpenCalls > 0) {
      Clock.scheduleAfter(StopInterval, [this, closed] { stop(closed); });
      return;
    }
    for (core::LeafIndex leaf = 0; leaf < Backend.size(); ++leaf)
      for (; PoolByLeaf[leaf].Idle > 0; --PoolByLeaf[leaf].Idle)
        Backend.leaf(leaf).disconnect();
    closed();
  }

private:
  static constexpr core::Duration SearchDeadline = std::chrono::seconds(1);
  static constexpr core::Duration PollInterval = std::chrono::seconds(1);
  static constexpr core::Duration RefreshInterval =
      std::chrono::milliseconds(100);
  static constexpr core::Duration StopInterval = std::chrono::milliseconds(10);

  struct Search {
    typename Driver::Policy Policy;
    AnswerHandler OnDone;
    std::unordered_map<core::AttemptId, std::uint64_t> KeysByAttempt;
    std::optional<core::TimePoint> TimerDue;
    bool Finished = false;
  };
  using SearchPtr = std::shared_ptr<Search>;

  /// One sub-request on a connection.
  struct Call {
    SearchPtr Owner;
    core::SendAttempt Attempt;
    std::uint64_t Key = 0;
    bool Cancelled = false;
    bool Ended = false;
    /// Whether it holds a connection to the leaf.
    bool HoldsConnection = false;
    /// Whether the leaf accepted that connection and counts it.
    bool CountedByLeaf = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct ConnectionPool {
    std::uint32_t Open = 0;
    std::uint32_t Idle = 0;
    std::deque<CallPtr> Waiting;
  };

  void pollLeaf(core::LeafIndex leaf) {
    const LeafModel &model = Backend.leaf(leaf);
    const bool down = model.Silent || model.isRefusing();
    PolicyDriver.catalog().update(
        leaf, down ? core::LeafState::Down : core::LeafState::Usable,
        model.Holdings);
  }

  /// Polls all leaves without waiting for the next poll: if one leaf has
  /// dropped an index version, the others drop it soon.
  void refreshHoldings() {
    if (Clock.now() < NextRefresh)
      return;
    NextRefresh = Clock.now() + RefreshInterval;
    for (core::LeafIndex leaf = 0; leaf < Backend.size(); ++leaf) {
      const auto domain = Backend.domainOf(leaf);
      Clock.scheduleAfter(Backend.networkDelay(Traits.Domain, domain) +
                              Backend.networkDelay(domain, Traits.Domain),
                          [this, leaf] { pollLeaf(leaf); });
    }
  }

  void applyActions(const SearchPtr &search,
                    std::vector<core::SearchAction> actions) {
    for (auto &action : actions) {
      if (const auto *send = std::get_if<core::SendAttempt>(&action))
        startCall(search, *send);
      else if (const auto *stop = std::get_if<core::CancelAttempt>(&action))
        cancelCall(search, stop->Id);
      else
        finishSearch(search);
    }
    armTimer(search);
  }

  void armTimer(const SearchPtr &search) {
    const auto when = search->Policy.nextTimer();
    if (search->Finished || !when ||
        (search->TimerDue && *search->TimerDue <= *when))
      return;
    search->TimerDue = when;
    Clock.scheduleAt(*when, [this, search, due = *when] {
      if (search->TimerDue == due)
        search->TimerDue.reset();
      if (!search->Finished)
        applyActions(search, search->Policy.onTimer(Clock.now(), Random));
    });
  }

  void finishSearch(const SearchPtr &search) {
    search->Finished = true;
    --ActiveSearches;
    search->OnDone(search->Policy.takeAnswer());
  }

  void startCall(const SearchPtr &search, const core::SendAttempt &attempt) {
    ++(attempt.IsExtra ? Counts.Extra : Counts.First);
    const std::uint64_t key = Backend.nextKey();
    auto call = std::make_shared<Call>();
    call->Owner = search;
    call->Attempt = attempt;
    call->Key = key;
    search->KeysByAttempt[attempt.Id] = key;
    CallsByKey[key] = call;
    ++OpenCalls;
    ConnectionPool &pool = PoolByLeaf[attempt.Leaf];
    if (pool.Idle > 0) {
      --pool.Idle;
      call->HoldsConnection = call->CountedByLeaf = true;
      send(call);
    } else if (pool.Open < PolicyDriver.connectionLimit(attempt.Leaf)) {
      connect(call);
    } else {
      pool.Waiting.push_back(call);
    }
    Clock.scheduleAt(attempt.Deadline, [this, call] { expireCall(call); });
  }

  core::Duration delayToLeaf(const CallPtr &call) {
    return Backend.networkDelay(Traits.Domain,
                                Backend.domainOf(call->Attempt.Leaf));
  }

  void connect(const CallPtr &call) {
    LeafModel &leaf = Backend.leaf(call->Attempt.Leaf);
    ++PoolByLeaf[call->Attempt.Leaf].Open;
    call->HoldsConnection = true;
    if (leaf.Silent)
      return; // The attempt expires.
    // The leaf counts the connection from its first packet.
    call->CountedByLeaf = leaf.connect();
    const auto handshake =
        delayToLeaf(call) + delayToLeaf(call) + Backend.shape().ConnectCost;
    Clock.scheduleAfter(handshake, [this, call] {
      if (call->Ended)
        return;
      if (call->CountedByLeaf)
        send(call);
      else
        completeCall(call, core::AttemptFailure::ConnectionRefused, false);
    });
  }

  void send(const CallPtr &call) {
    if (call->Cancelled) {
      completeCall(call, core::AttemptFailure::Expired, true);
      return;
    }
    Clock.scheduleAfter(delayToLeaf(call), [this, call] {
      const auto &attempt = call->Attempt;
      Backend.leaf(attempt.Leaf)
          .submit(call->Key, {attempt.Shard, attempt.Version, attempt.Deadline,
                              [this, call](LeafOutcome outcome) {
                                sendOutcome(call, outcome);
                              }});
    });
  }

  /// Runs when the leaf answers: the reply holds the load at that time.
  void sendOutcome(const CallPtr &call, LeafOutcome outcome) {
    core::LeafReply reply;
    reply.Id = call->Attempt.Id;
    reply.Shard = call->Attempt.Shard;
    reply.Version = call->Attempt.Version;
    reply.ShardCount = Backend.shardCount(reply.Version);
    reply.Load = Backend.leaf(call->Attempt.Leaf).load();
    Clock.scheduleAfter(delayToLeaf(call), [this, call, outcome, reply] {
      const bool reusable = outcome != core::AttemptFailure::ConnectionLost;
      if (outcome)
        completeCall(call, outcome, reusable);
      else
        completeCall(call, reply);
    });
  }

  void cancelCall(const SearchPtr &search, core::AttemptId id) {
    const auto it = CallsByKey.find(search->KeysByAttempt[id]);
    if (it == CallsByKey.end())
      return;
    const CallPtr call = it->second;
    call->Cancelled = true;
    if (!call->HoldsConnection) {
      expireCall(call);
      return;
    }
    Clock.scheduleAfter(delayToLeaf(call), [this, call] {
      Backend.leaf(call->Attempt.Leaf).cancel(call->Key);
    });
  }

  void expireCall(const CallPtr &call) {
    if (call->Ended)
      return;
    std::erase(PoolByLeaf[call->Attempt.Leaf].Waiting, call);
    completeCall(call, core::AttemptFailure::Expired, false);
  }

  /// Ends the call and frees or closes its connection.
  /// @return whether its search still needs the outcome
  bool closeCall(const CallPtr &call, bool reusable) {
    if (std::exchange(call->Ended, true))
      return false;
    --OpenCalls;
    CallsByKey.erase(call->Key);
    if (call->HoldsConnection)
      releaseConnection(call, reusable);
    return !call->Cancelled && !call->Owner->Finished;
  }

  void completeCall(const CallPtr &call, LeafOutcome failure, bool reusable) {
    if (failure == core::AttemptFailure::WrongVersion)
      refreshHoldings();
    if (closeCall(call, reusable))
      applyActions(call->Owner,
                   call->Owner->Policy.onFailure(call->Attempt.Id, *failure,
                                                 Clock.now(), Random));
  }

  void completeCall(const CallPtr &call, core::LeafReply reply) {
    if (closeCall(call, true))
      applyActions(call->Owner, call->Owner->Policy.onReply(
                                    std::move(reply), Clock.now(), Random));
  }

  void releaseConnection(const CallPtr &call, bool reusable) {
    ConnectionPool &pool = PoolByLeaf[call->Attempt.Leaf];
    if (!reusable) {
      --pool.Open;
      if (call->CountedByLeaf)
        Backend.leaf(call->Attempt.Leaf).disconnect();
    }
    if (pool.Waiting.empty()) {
      pool.Idle += reusable ? 1 : 0;
      return;
    }
    const CallPtr next = pool.Waiting.front();
    pool.Waiting.pop_front();
    if (reusable) {
      next->HoldsConnection = next->CountedByLeaf = true;
      send(next);
    } else {
      connect(next);
    }
  }

  Simulation &Clock;
  Cluster &Backend;
  HostTraits Traits;
  Driver PolicyDriver;
  AttemptCounts &Counts;
  core::Rng Random;
  std::vector<ConnectionPool> PoolByLeaf;
  std::unordered_map<std::uint64_t, CallPtr> CallsByKey;
  core::TimePoint NextRefresh{};
  std::uint32_t ActiveSearches = 0;
  std::uint32_t OpenCalls = 0;
  bool Stopped = false;
};

} // namespace savorytrestle::bench

#endif
