#ifndef SAVORYTRESTLE_CORE_SEARCH_TYPES_H
#define SAVORYTRESTLE_CORE_SEARCH_TYPES_H

/// @file
/// @brief Events and actions of one search, shared by every search policy.
///
/// A policy is a state machine without I/O: the engine passes it replies,
/// failures and timer events with the current time, and executes the actions it
/// returns. The same policies run in the host process, the tests and the bench.

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

/// @brief Random number generator of the core, seeded by the caller.
using Rng = std::mt19937_64;

/// @brief Position of a backend server (leaf) in its service's leaf list.
using LeafIndex = std::uint32_t;

/// @brief Position of a shard within one index version.
using ShardIndex = std::uint32_t;

/// @brief Version of a service's index; increases with each publication.
using IndexVersion = std::uint64_t;

/// @brief Id of an attempt within one search; never reused.
using AttemptId = std::uint32_t;

/// @brief One consistent view of a service's index: every shard of one version
/// and the leaves that hold it.
struct Snapshot {
  IndexVersion Version = 0;
  /// Leaves by shard. Its size is the denominator of the coverage, so a shard
  /// without a usable replica stays in it as an empty list.
  std::vector<std::vector<LeafIndex>> Replicas;
};

/// @brief Sends one sub-request to a leaf.
struct SendAttempt {
  AttemptId Id = 0;
  LeafIndex Leaf = 0;
  ShardIndex Shard = 0;
  IndexVersion Version = 0;
  /// Time by which the leaf must have replied.
  TimePoint Deadline;
  /// Whether this is extra load (hedge, retry or restart).
  bool IsExtra = false;
};

/// @brief Cancels an attempt that is no longer needed.
struct CancelAttempt {
  AttemptId Id = 0;
};

/// @brief Ends the search; its answer can be taken.
struct FinishSearch {};

/// @brief Action that the engine executes for a policy.
using SearchAction = std::variant<SendAttempt, CancelAttempt, FinishSearch>;

/// @brief Load that a leaf reports with a reply.
struct LoadReport {
  /// Requests that occupy a slot.
  std::uint32_t Busy = 0;
  /// Requests that wait for a slot.
  std::uint32_t Queued = 0;
  bool Draining = false;
};

/// @brief A well-formed reply of a leaf.
///
/// The fields are those that the leaf sent. The policy compares them with the
/// attempt, since a late or misdirected reply may belong to another attempt.
struct LeafReply {
  AttemptId Id = 0;
  ShardIndex Shard = 0;
  IndexVersion Version = 0;
  /// Shard count of the version as the leaf reports it.
  std::uint32_t ShardCount = 0;
  /// Number of rows as the leaf reports it; if it differs from Rows.size(), the
  /// reply is truncated or corrupt.
  std::uint32_t RowCount = 0;
  std::vector<nlohmann::json> Rows;
  std::optional<LoadReport> Load;
};

/// @brief Why an attempt failed.
enum class AttemptFailure {
  ConnectionRefused, ///< refused, or over the leaf's connection cap
  Shed,              ///< the leaf is overloaded; not executed
  Draining,          ///< the leaf is shutting down; not executed
  WrongVersion,      ///< version or shard not yet or no longer on the leaf
  ConnectionLost,    ///< the connection was lost after the request was sent
  Malformed,         ///< the reply could not be parsed or does not match
  Expired,           ///< no reply before the attempt's deadline
};

/// @brief The merged answer of one search.
struct SearchAnswer {
  IndexVersion Version = 0;
  /// Shards whose rows are in the answer.
  std::uint32_t ShardsAnswered = 0;
  /// Shards of the snapshot.
  std::uint32_t ShardsTotal = 0;
  /// Shards whose rows are missing, in ascending order.
  std::vector<ShardIndex> MissingShards;
  /// Names of the leaf groups that hold the missing shards, sorted. Set by the
  /// engine; policies have no access to names and leave it empty.
  std::vector<std::string> MissingGroups;
  std::vector<nlohmann::json> Rows;
  /// Attempts sent beyond the first for each shard.
  std::uint32_t ExtraAttempts = 0;
};

/// @brief Requirements on a search policy; see the file comment.
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
