#ifndef SAVORYTRESTLE_CORE_LEAF_POOL_H
#define SAVORYTRESTLE_CORE_LEAF_POOL_H

/// @file
/// @brief The leaves of one service: their health, this host's share of each,
/// and the choice between them.

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/LeafHealth.h"
#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/RouteSettings.h"
#include "savorytrestle/core/rates/ConnectionShare.h"

namespace savorytrestle::core {

/// @brief Settings of a pool.
struct LeafPoolSettings {
  /// Failure domain of this host.
  std::string FailureDomain;
  LeafHealthSettings Health;
  /// Requests of all hosts that may wait at a leaf, as a fraction of its slots;
  /// at least one may wait.
  double QueuePerSlot = 0.25;
  /// Delay before a larger share takes effect, since other hosts may still use
  /// the shares of the previous settings. Longer than a change takes to reach
  /// every host.
  Duration ShareGrowthDelay = std::chrono::seconds(15);
  /// Difference in expected latency, as a fraction of the larger one, up to
  /// which the leaf of this host's failure domain is preferred.
  double OwnDomainMargin = 0.2;
  /// Seed of the backoff jitter; differs between hosts.
  std::uint64_t Seed = 1;
};

/// @brief State of one leaf for metrics and status pages.
struct LeafInfo {
  std::string Name;
  LeafCondition Condition = LeafCondition::Serving;
  /// Requests of this host that have not ended.
  std::uint32_t Outstanding = 0;
  /// Connections that this host may use now.
  std::uint32_t Share = 0;
  /// Requests that this host may keep outstanding; fractional.
  double Window = 0;
  /// Expected latency.
  Duration Latency{};
  /// Requests that the leaf rejected as overloaded.
  std::uint64_t Sheds = 0;
  /// Requests whose connection the leaf refused.
  std::uint64_t Refusals = 0;
};

/// @brief The leaves of one settings revision. Shares ownership of their state,
/// so that a search that began before a settings change can still release the
/// leaves it acquired.
class PinnedLeaves {
public:
  /// @brief Reserves one request on the better of two leaves that are drawn at
  /// random from those that admit one. The first candidate whose probe is due
  /// is chosen instead.
  /// @param candidates leaves to choose from
  /// @param now current time
  /// @param rng draws the two
  /// @return the leaf, or nothing if no candidate admits a request now;
  /// O(candidates)
  std::optional<LeafIndex> acquire(std::span<const LeafIndex> candidates,
                                   TimePoint now, Rng &rng);

  /// @brief Ends a request that @ref acquire reserved.
  /// @param leaf the leaf
  /// @param result how it ended
  /// @param now current time
  void release(LeafIndex leaf, const AttemptResult &result, TimePoint now);

  /// @brief Number of connections that this host may have to a leaf.
  /// @param leaf the leaf
  /// @param now current time
  /// @return the host's share; 0 while it holds no host slot
  std::uint32_t connectionLimit(LeafIndex leaf, TimePoint now) const;

private:
  friend class LeafPool;
  struct Leaf;
  struct SharedState;
  using LeafStates = std::vector<std::shared_ptr<Leaf>>;

  PinnedLeaves(std::shared_ptr<const LeafStates> leaves,
               std::shared_ptr<SharedState> shared);
  LeafIndex preferred(LeafIndex first, LeafIndex second, TimePoint now,
                      Rng &rng) const;

  std::shared_ptr<const LeafStates> Leaves;
  std::shared_ptr<SharedState> Shared;
};

/// @brief All leaves of one service with their state. Not thread-safe: a caller
/// with several threads guards the pool and every @ref PinnedLeaves of it with
/// one lock.
class LeafPool {
public:
  /// @brief Makes a pool without leaves and without a host slot.
  /// @param settings settings of the pool
  explicit LeafPool(LeafPoolSettings settings);

  /// @brief Applies the service's settings. A leaf of the same name and address
  /// keeps its state; a leaf added after the first call starts cold.
  /// @param service effective settings
  /// @param now current time
  void setLeaves(const ServiceSettings &service, TimePoint now);

  /// @brief Sets the host slot; no request is admitted before.
  /// @param slot the slot and until when it is held; an expired one stops the
  /// admission and changes nothing else
  /// @param now current time
  void setHostSlot(const HostSlot &slot, TimePoint now);

  /// @brief Returns the leaves of the revision in force.
  /// @return a selector whose indices are positions in that revision's leaf
  /// list
  PinnedLeaves pin() const;

  /// @brief @ref PinnedLeaves::acquire on the revision in force.
  /// @param candidates leaves to choose from
  /// @param now current time
  /// @param rng draws the two leaves to compare
  /// @return the leaf, or nothing if no candidate admits a request now
  std::optional<LeafIndex> acquire(std::span<const LeafIndex> candidates,
                                   TimePoint now, Rng &rng);

  /// @brief @ref PinnedLeaves::release on the revision in force.
  /// @param leaf the leaf
  /// @param result how it ended
  /// @param now current time
  void release(LeafIndex leaf, const AttemptResult &result, TimePoint now);

  /// @brief Processes a report of a leaf's health endpoint.
  /// @param leafName the leaf; unknown names are ignored
  /// @param report the report
  /// @param now current time
  void onHealthReport(std::string_view leafName, const LeafHealthReport &report,
                      TimePoint now);

  /// @brief Processes a leaf's state in the host list.
  /// @param leafName the leaf; unknown names are ignored
  /// @param state the reported state
  /// @param now current time
  void onHostListState(std::string_view leafName, HostListState state,
                       TimePoint now);

  /// @brief State of every leaf, in the order of the settings.
  /// @param now current time
  /// @return the states; O(leaves)
  std::vector<LeafInfo> info(TimePoint now) const;

private:
  using Leaf = PinnedLeaves::Leaf;
  std::shared_ptr<Leaf> find(std::string_view leafName) const;
  void updateShare(Leaf &leaf, TimePoint now) const;

  std::shared_ptr<PinnedLeaves::SharedState> Shared;
  std::shared_ptr<const PinnedLeaves::LeafStates> Leaves;
  bool HasLeafList = false;
};

static_assert(LeafSelector<LeafPool>);
static_assert(LeafSelector<PinnedLeaves>);

} // namespace savorytrestle::core

#endif
