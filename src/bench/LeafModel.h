#ifndef SAVORYTRESTLE_BENCH_LEAF_MODEL_H
#define SAVORYTRESTLE_BENCH_LEAF_MODEL_H

/// @file
/// @brief Model of a backend server.

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "bench/Simulation.h"
#include "savorytrestle/core/SnapshotCatalog.h"

namespace savorytrestle::bench {

/// @brief Capacity and straggler rate of a leaf.
struct LeafTraits {
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  double StragglerRate = 0;
};

/// @brief Mean service time without stragglers.
/// @return the mean
core::Duration meanServiceTime();

/// @brief Failure of a request, or empty if it succeeded.
using LeafOutcome = std::optional<core::AttemptFailure>;

/// @brief One sub-request at a leaf.
struct LeafRequest {
  core::ShardIndex Shard = 0;
  core::IndexVersion Version = 0;
  core::TimePoint Deadline;
  std::function<void(LeafOutcome)> Reply;
};

/// @brief A leaf with slots, a bounded queue, a connection cap and index
/// versions.
class LeafModel {
public:
  /// @brief Creates a leaf that accepts connections and holds no shard.
  /// @param simulation the clock
  /// @param traits capacity and straggler rate
  /// @param seed seed of its service times
  LeafModel(Simulation &simulation, LeafTraits traits, std::uint64_t seed)
      : Clock(simulation), Traits(traits), Random(seed) {}

  /// @brief Opens a connection.
  /// @return false if the leaf refuses it
  bool connect();

  /// @brief Closes a connection.
  void disconnect() { --Open; }

  /// @brief Runs, queues or rejects a request. Its reply is called once, but
  /// never while the leaf is silent.
  /// @param key identifies the request for @ref cancel
  /// @param request the request
  void submit(std::uint64_t key, LeafRequest request);

  /// @brief Cancels a request, which is answered as expired.
  /// @param key its key
  void cancel(std::uint64_t key);

  /// @brief Load as reported with replies.
  /// @return busy slots and queued requests
  core::LoadReport load() const;

  /// @brief Whether it refuses connections.
  /// @return true after @ref crash
  bool isRefusing() const { return Refusing; }

  /// @brief Resets all connections and refuses new ones from now on.
  void crash();

  bool Silent = false; ///< Whether requests and connections get no answer.
  std::vector<core::ShardHolding> Holdings;
  std::uint32_t MaxConnections = 0; ///< Most at a time, refused ones included.
  std::uint32_t MaxBusySlots = 0;   ///< Most busy slots at a time.
  std::uint64_t Refusals = 0;
  std::uint64_t Sheds = 0;

private:
  bool holds(const LeafRequest &request) const;
  core::Duration serviceTime();
  void run(std::uint64_t key, LeafRequest request);
  void finish(std::uint64_t key, LeafOutcome outcome);
  void startQueued();

  Simulation &Clock;
  LeafTraits Traits;
  core::Rng Random;
  std::map<std::uint64_t, LeafRequest> Running;
  std::deque<std::pair<std::uint64_t, LeafRequest>> Queue;
  std::uint32_t Open = 0;
  bool Refusing = false;
};

} // namespace savorytrestle::bench

#endif
