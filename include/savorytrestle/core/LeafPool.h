#ifndef SAVORYTRESTLE_CORE_LEAF_POOL_H
#define SAVORYTRESTLE_CORE_LEAF_POOL_H

/// @file
/// @brief The leaves of one service as this host uses them.

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/ConnectionShare.h"
#include "savorytrestle/core/LeafHealth.h"
#include "savorytrestle/core/LeafSelector.h"
#include "savorytrestle/core/RouteSettings.h"

namespace savorytrestle::core {

/// @brief Settings of a pool.
struct LeafPoolSettings {
  /// Failure domain of this host.
  std::string FailureDomain;
  LeafHealthSettings Health;
  /// Requests that may wait at a leaf over all hosts, per slot; at least one
  /// request waits.
  double QueuePerSlot = 0.25;
  /// For how long a share that grows is held back: other hosts may still use
  /// the settings of before. Longer than a change takes to reach every host.
  Duration ShareGrowthDelay = std::chrono::seconds(15);
  /// Difference of expected time up to which the own failure domain wins.
  double OwnDomainMargin = 0.2;
  /// Seed of the backoff jitter; differs between hosts.
  std::uint64_t Seed = 1;
};

/// @brief A leaf as metrics and status pages show it.
struct LeafInfo {
  std::string Name;
  LeafCondition Condition = LeafCondition::Serving;
  std::uint32_t Outstanding = 0;
  /// Connections this host may use now.
  std::uint32_t Share = 0;
  /// Requests this host may keep outstanding; fractional.
  double Window = 0;
  Duration Latency{};
  std::uint64_t Sheds = 0;
  std::uint64_t Refusals = 0;
};

/// @brief The leaves of one settings revision; keeps what it needs alive, so
/// that a search which began before a change releases what it acquired.
class PinnedLeaves {
public:
  /// @brief Reserves one request on the better of two random admissible leaves.
  /// @param candidates leaves to choose from
  /// @param now current time
  /// @param rng picks the two
  /// @return the leaf, or nothing when none may take a request now;
  /// O(candidates)
  std::optional<LeafIndex> acquire(std::span<const LeafIndex> candidates,
                                   TimePoint now, Rng &rng);

  /// @brief Ends a request that @ref acquire reserved.
  /// @param leaf the leaf
  /// @param result how it ended
  /// @param now current time
  void release(LeafIndex leaf, const AttemptResult &result, TimePoint now);

  /// @brief Connections this host may have to a leaf.
  /// @param leaf the leaf
  /// @param now current time
  /// @return the share; 0 while no host slot is held
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

/// @brief All leaves of one service with their state. The caller locks it
/// together with what it pinned.
class LeafPool {
public:
  /// @brief A pool without leaves and without a share.
  /// @param settings settings of the pool
  explicit LeafPool(LeafPoolSettings settings);

  /// @brief Takes the service's settings over; a leaf of the same name and
  /// address keeps its state, others added later start cold.
  /// @param service effective settings
  /// @param now current time
  void setLeaves(const ServiceSettings &service, TimePoint now);

  /// @brief Sets the host slot; until then nothing is admitted.
  /// @param slot the slot and for how long it is held; one whose time is over
  /// ends the admission and changes nothing else
  /// @param now current time
  void setHostSlot(const HostSlot &slot, TimePoint now);

  /// @brief Hands out the leaves of the revision in force.
  /// @return a selector whose indices are positions in that leaf list
  PinnedLeaves pin() const;

  /// @brief @ref PinnedLeaves::acquire on the revision in force.
  /// @param candidates leaves to choose from
  /// @param now current time
  /// @param rng picks the two
  /// @return the leaf, or nothing when none may take a request now
  std::optional<LeafIndex> acquire(std::span<const LeafIndex> candidates,
                                   TimePoint now, Rng &rng);

  /// @brief @ref PinnedLeaves::release on the revision in force.
  /// @param leaf the leaf
  /// @param result how it ended
  /// @param now current time
  void release(LeafIndex leaf, const AttemptResult &result, TimePoint now);

  /// @brief Takes a report of a leaf's health endpoint in.
  /// @param leafName the leaf; unknown names are ignored
  /// @param report the report
  /// @param now current time
  void onHealthReport(std::string_view leafName, const LeafHealthReport &report,
                      TimePoint now);

  /// @brief Takes a report of the host list in.
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
