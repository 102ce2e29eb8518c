#ifndef SAVORYTRESTLE_CORE_SEARCH_TYPES_H
#define SAVORYTRESTLE_CORE_SEARCH_TYPES_H

/// @file
/// @brief Events and actions of one search, shared by every search policy.
///
/// A policy is a state machine without I/O: the engine feeds it replies,
/// failures and timer ticks with the current time, and carries out the actions
/// it returns. The same policies run in the host process, the tests and the
/// bench.

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Random source of the core; seeded by the caller.
using Rng = std::mt19937_64;

/// @brief Position of a backend server (leaf) in its service's leaf list.
using LeafIndex = std::uint32_t;

/// @brief Position of a shard within one index version.
using ShardIndex = std::uint32_t;

/// @brief Version of a service's index; grows with each publication.
using IndexVersion = std::uint64_t;

/// @brief Number of an attempt within one search; never reused.
using AttemptId = std::uint32_t;

/// @brief One consistent view of a service's index: every shard of one version
/// and the leaves that hold it.
struct Snapshot {
  IndexVersion Version = 0;
  /// Leaves by shard; its size is the coverage denominator, so a shard whose
  /// replicas are all lost stays in it as an empty list.
  std::vector<std::vector<LeafIndex>> Replicas;
};

/// @brief Sends one sub-request to a leaf.
struct SendAttempt {
  AttemptId Id = 0;
  LeafIndex Leaf = 0;
  ShardIndex Shard = 0;
  IndexVersion Version = 0;
  /// When the leaf must have answered.
  TimePoint Deadline;
  /// Whether this is extra load (hedge, retry or restart).
  bool IsExtra = false;
};

/// @brief Cancels an attempt that is no longer needed.
struct CancelAttempt {
  AttemptId Id = 0;
};

/// @brief Ends the search; the answer is ready to be taken.
struct FinishSearch {};

/// @brief What a policy asks the engine to do.
using SearchAction = std::variant<SendAttempt, CancelAttempt, FinishSearch>;

/// @brief What a leaf reports about itself with each reply.
struct LoadReport {
  /// Requests that hold a slot.
  std::uint32_t Busy = 0;
  /// Requests that wait for a slot.
  std::uint32_t Queued = 0;
  bool Draining = false;
};

/// @brief A well-formed reply of a leaf.
///
/// Fields echo what the leaf says; the policy checks them against the attempt,
/// since a late or crossed reply may carry those of another one.
struct LeafReply {
  AttemptId Id = 0;
  ShardIndex Shard = 0;
  IndexVersion Version = 0;
  /// Shard count of the version, as the leaf knows it.
  std::uint32_t ShardCount = 0;
  /// Number of rows the leaf says it sent; less than Rows.size() or more means
  /// that the reply was truncated or mixed up.
  std::uint32_t RowCount = 0;
  std::vector<nlohmann::json> Rows;
  std::optional<LoadReport> Load;
};

/// @brief Why an attempt failed.
enum class AttemptFailure {
  ConnectionRefused, ///< connection refused or over the leaf's connection cap
  Shed,              ///< the leaf answered that it is overloaded; not run
  Draining,          ///< the leaf is leaving; not run
  WrongVersion,   ///< the leaf no longer (or not yet) has the version or shard
  ConnectionLost, ///< the connection broke after the request was sent
  Malformed,      ///< the reply could not be read
  Expired,        ///< no reply before the attempt's deadline
};

/// @brief The merged answer of one search.
struct SearchAnswer {
  IndexVersion Version = 0;
  /// Shards whose rows are in the answer.
  std::uint32_t ShardsAnswered = 0;
  /// Shards of the snapshot.
  std::uint32_t ShardsTotal = 0;
  /// Shards whose rows are missing, in rising order.
  std::vector<ShardIndex> MissingShards;
  /// Names of the groups known to hold the missing shards, sorted; policies
  /// leave it empty, as names are the engine's to know.
  std::vector<std::string> MissingGroups;
  std::vector<nlohmann::json> Rows;
  /// Attempts sent beyond the first for each shard.
  std::uint32_t ExtraAttempts = 0;
};

/// @brief A search as a state machine without I/O.
template <typename P>
concept SearchPolicy = requires(P policy, TimePoint now, Rng &rng,
                                LeafReply reply, AttemptId id,
                                AttemptFailure failure) {
  { policy.start(now, rng) } -> std::same_as<std::vector<SearchAction>>;
  {
    policy.onReply(std::move(reply), now, rng)
    } -> std::same_as<std::vector<SearchAction>>;
  {
    policy.onFailure(id, failure, now, rng)
    } -> std::same_as<std::vector<SearchAction>>;
  { policy.onTimer(now, rng) } -> std::same_as<std::vector<SearchAction>>;
  { policy.nextTimer() } -> std::same_as<std::optional<TimePoint>>;
  { policy.takeAnswer() } -> std::same_as<SearchAnswer>;
};

} // namespace savorytrestle::core

#endif
