#ifndef SAVORYTRESTLE_TESTS_SPREAD_MODEL_H
#define SAVORYTRESTLE_TESTS_SPREAD_MODEL_H

/// @file
/// @brief Simulates the spread policy of many hosts in virtual time and counts
/// its messages and store calls. Failed hosts stay in the view of all hosts, as
/// they do until their leases lapse.

#include <algorithm>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "savorytrestle/core/SpreadPolicy.h"

namespace savorytrestle::spread {

using core::Duration;
using core::TimePoint;
using std::chrono::milliseconds;

/// @brief Sizes of the messages in bytes, with HTTP, JSON-RPC and TCP/IP
/// overhead.
struct MessageSizes {
  /// A poll or an offer, with its reply and its connection.
  std::uint64_t Exchange = 1400;
  /// Added by a change that is transferred.
  std::uint64_t Change = 4000;
};

/// @brief The fleet, its links and the store.
class SpreadModel {
public:
  static constexpr milliseconds NearDelay{4};
  static constexpr milliseconds FarDelay{12};
  static constexpr milliseconds CallTimeout{500};
  static constexpr milliseconds StoreTimeout{1000};
  static constexpr milliseconds WatchSpacing{200};

  SpreadModel(int hosts, int domains, std::uint64_t seed) : Random(seed) {
    for (int n = 0; n < hosts; ++n) {
      const int domain = n % domains;
      Nodes.emplace_back(seed * 1000 + static_cast<std::uint64_t>(n), Timing);
      View.push_back({"host-" + std::to_string(n), "",
                      "d" + std::to_string(domain),
                      domain % 2 == 0 ? "r0" : "r1", "", "", false});
    }
    std::sort(View.begin(), View.end(),
              [](const auto &a, const auto &b) { return a.Id < b.Id; });
    for (std::size_t n = 0; n < Nodes.size(); ++n)
      IndexById[View[n].Id] = n;
    for (std::size_t n = 0; n < Nodes.size(); ++n) {
      Nodes[n].Domain = std::stoi(View[n].FailureDomain.substr(1));
      Nodes[n].Region = View[n].Region == "r0" ? 0 : 1;
      Nodes[n].Watches =
          core::isWatcher(View[n].Id, View, Timing.WatchersPerRegion);
      schedule(milliseconds(Random() % 1000), [this, n] { poll(n); });
      if (Nodes[n].Watches)
        schedule(milliseconds(Random() % 1000), [this, n] { watch(n); });
    }
  }

  /// @brief Runs until a time after the start.
  void runUntil(Duration until) {
    while (!Events.empty() && Events.top().At <= Start + until) {
      const auto event = Events.top();
      Events.pop();
      Now = event.At;
      event.Action();
    }
    Now = Start + until;
  }

  /// @brief Runs until every live host has the newest revision.
  /// @return the time it took since the change, or the limit
  Duration convergenceTime(Duration limit) {
    const auto until = ChangedAt + limit;
    while (!allCurrent() && !Events.empty() && Events.top().At <= until)
      runUntil(Events.top().At - Start);
    return allCurrent() ? Now - ChangedAt : limit;
  }

  void publishChange() {
    ++StoreRevision;
    ChangedAt = Now;
    for (const auto n : std::exchange(WaitingWatchers, {}))
      schedule(delayTo(n), [this, n] { endWatch(n); });
  }

  /// @brief Measures the convergence time from now on.
  void restartClock() { ChangedAt = Now; }

  bool allCurrent() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [this](const Node &node) {
      return !node.Alive || node.Revision >= StoreRevision;
    });
  }

  void resetCounts() {
    StoreCalls = 0;
    Bytes = 0;
    Messages = 0;
  }

  core::SpreadTiming Timing;
  MessageSizes Sizes;
  struct Node {
    Node(std::uint64_t seed, const core::SpreadTiming &timing)
        : Rng(seed), Timer(timing) {}

    core::Rng Rng;
    core::StoreCheckTimer Timer;
    int Domain = 0;
    int Region = 0;
    bool Alive = true;
    bool Watches = false;
    std::uint64_t Revision = 0;
    std::uint64_t Pushed = 0;
    TimePoint StoreSeenAt = TimePoint() + std::chrono::hours(1);
    TimePoint WatchStartedAt;
  };
  std::vector<Node> Nodes;
  std::vector<core::HostInfo> View;
  /// The regions cannot reach each other; the store is in region 0.
  bool RegionsPartitioned = false;
  /// The store doesn't answer.
  bool StoreSilent = false;
  std::uint64_t StoreCalls = 0;
  /// Bytes sent or received, summed over all hosts.
  std::uint64_t Bytes = 0;
  std::uint64_t Messages = 0;
  TimePoint Now = TimePoint() + std::chrono::hours(1);

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &other) const {
      return std::tie(At, Order) > std::tie(other.At, other.Order);
    }
  };

  void schedule(Duration delay, std::function<void()> action) {
    Events.push({Now + delay, ++LastOrder, std::move(action)});
  }

  Duration delayTo(std::size_t n) const {
    return Nodes[n].Region == 0 ? NearDelay : FarDelay;
  }
  Duration delayBetween(std::size_t a, std::size_t b) const {
    return Nodes[a].Region == Nodes[b].Region ? NearDelay : FarDelay;
  }
  bool reaches(std::size_t a, std::size_t b) const {
    return Nodes[b].Alive &&
           !(RegionsPartitioned && Nodes[a].Region != Nodes[b].Region);
  }
  bool reachesStore(std::size_t n) const {
    return !StoreSilent && !(RegionsPartitioned && Nodes[n].Region != 0);
  }

  // A message counts at both of its ends.
  void count(std::uint64_t bytes) {
    Messages += 2;
    Bytes += 2 * bytes;
  }

  void accept(std::size_t n, std::uint64_t revision) {
    auto &node = Nodes[n];
    if (!node.Alive || revision <= node.Revision)
      return;
    node.Revision = revision;
    node.Pushed = revision;
    pushNext(n, core::pushTargets(View[n].Id, View, revision, Timing.Fanout));
  }

  void pushNext(std::size_t n, std::vector<core::HostInfo> targets) {
    if (targets.empty() || !Nodes[n].Alive)
      return;
    const auto target = IndexById.at(targets.front().Id);
    targets.erase(targets.begin());
    Duration took = CallTimeout;
    if (reaches(n, target)) {
      count(Sizes.Exchange);
      const auto hop = delayBetween(n, target);
      // Connection and offer, then the change if the target lacks it.
      took = 4 * hop;
      if (Nodes[target].Revision < Nodes[n].Revision) {
        count(Sizes.Exchange + Sizes.Change);
        took += 4 * hop;
        const auto revision = Nodes[n].Revision;
        schedule(took - hop,
                 [this, target, revision] { accept(target, revision); });
      }
    }
    schedule(took, [this, n, targets] { pushNext(n, targets); });
  }

  void watch(std::size_t n) {
    auto &node = Nodes[n];
    if (!node.Alive)
      return;
    node.WatchStartedAt = Now;
    ++StoreCalls;
    if (!reachesStore(n)) {
      schedule(CallTimeout + WatchSpacing, [this, n] { watch(n); });
      return;
    }
    if (StoreRevision > node.Revision) {
      schedule(2 * delayTo(n), [this, n] { endWatch(n); });
      return;
    }
    WaitingWatchers.push_back(n);
    const auto began = Now;
    schedule(Timing.WatchWait, [this, n, began] {
      if (Nodes[n].WatchStartedAt == began &&
          std::erase(WaitingWatchers, n) > 0)
        endWatch(n);
    });
  }

  void endWatch(std::size_t n) {
    if (!Nodes[n].Alive)
      return;
    takeFromStore(n, Nodes[n].WatchStartedAt);
    schedule(WatchSpacing, [this, n] { watch(n); });
  }

  void takeFromStore(std::size_t n, TimePoint at) {
    if (!reachesStore(n))
      return;
    if (StoreRevision > Nodes[n].Revision) {
      ++StoreCalls;
      accept(n, StoreRevision);
    }
    Nodes[n].StoreSeenAt = std::max(Nodes[n].StoreSeenAt, at);
  }

  void poll(std::size_t n) {
    auto &node = Nodes[n];
    if (!node.Alive)
      return;
    const auto peer =
        core::pollTarget(View[n].Id, View[n].Region, View, node.Rng);
    Duration took{};
    if (peer) {
      const auto other = IndexById.at(peer->Id);
      took = reaches(n, other) ? compare(n, other) : Duration(CallTimeout);
    }
    schedule(took, [this, n] { check(n); });
    schedule(took + core::drawPollInterval(Timing.PeerPollInterval, node.Rng),
             [this, n] { poll(n); });
  }

  Duration compare(std::size_t n, std::size_t other) {
    auto &mine = Nodes[n];
    auto &theirs = Nodes[other];
    count(Sizes.Exchange);
    Duration took = 4 * delayBetween(n, other);
    if (mine.Revision != theirs.Revision) {
      count(Sizes.Exchange + Sizes.Change);
      took *= 2;
      const auto newest = std::max(mine.Revision, theirs.Revision);
      schedule(took, [this, n, other, newest] {
        accept(n, newest);
        accept(other, newest);
      });
    }
    if (mine.Revision >= theirs.Revision)
      mine.StoreSeenAt = std::max(mine.StoreSeenAt, theirs.StoreSeenAt);
    return took;
  }

  void check(std::size_t n) {
    auto &node = Nodes[n];
    if (!node.Alive ||
        !node.Timer.due(Now - node.StoreSeenAt, View.size(), Now, node.Rng))
      return;
    ++StoreCalls;
    const bool reached = reachesStore(n);
    const auto took = reached ? 2 * delayTo(n) : Duration(StoreTimeout);
    node.Timer.onChecked(reached, Now + took, node.Rng);
    takeFromStore(n, Now);
  }

  core::Rng Random;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  TimePoint Start = Now;
  TimePoint ChangedAt = Now;
  std::uint64_t StoreRevision = 0;
  std::vector<std::size_t> WaitingWatchers;
  std::map<std::string, std::size_t> IndexById;
};

} // namespace savorytrestle::spread

#endif
