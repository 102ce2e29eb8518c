#ifndef SAVORYTRESTLE_CORE_ROUTE_SETTINGS_H
#define SAVORYTRESTLE_CORE_ROUTE_SETTINGS_H

/// @file
/// @brief Effective settings of a route, after inheritance.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace savorytrestle::core {

/// @brief Kind of requests a route serves.
enum class RouteKind {
  Search, ///< fans out to all shards and merges the results
  Write,  ///< sends one write to one leaf
};

/// @brief When a search answers if some shards are slow.
enum class AnswerPolicy {
  CoverageFirst, ///< waits for missing shards up to the deadline
  TailFirst,     ///< answers at the latency target if the coverage floor is met
};

/// @brief One backend server (leaf) of a service.
struct LeafSettings {
  std::string Name;
  /// "ip:port".
  std::string Address;
  std::string FailureDomain;
  /// Leaves of one group hold the same shards. A leaf without a group in the
  /// settings forms a group of its own.
  std::string Group;

  bool operator==(const LeafSettings &) const = default;
};

/// @brief A service: its leaves and their limits.
struct ServiceSettings {
  std::string Workspace;
  std::string Name;
  std::vector<LeafSettings> Leaves;
  /// Requests that a leaf executes concurrently.
  std::uint32_t LeafSlots = 5;
  /// Connections that a leaf accepts from all hosts together.
  std::uint32_t LeafConnections = 40;
  /// Limit on extra attempts (hedges, retries, restarts), as a fraction of
  /// first attempts.
  double ExtraLoadFraction = 0.05;
};

/// @brief A route of a service.
struct RouteSettings {
  std::shared_ptr<const ServiceSettings> Service;
  std::string Name;
  RouteKind Kind = RouteKind::Search;
  AnswerPolicy Policy = AnswerPolicy::CoverageFirst;
  /// Longest deadline that a caller may request.
  std::chrono::milliseconds MaxDeadline{10000};
  /// Time after which a tail-first route answers with the results it has, if
  /// they reach the coverage floor.
  std::chrono::milliseconds LatencyTarget{100};
  /// Smallest fraction of shards in a tail-first answer that is sent before the
  /// deadline.
  double CoverageFloor = 0.9;
  /// Largest request body in bytes.
  std::uint32_t MaxBodyBytes = 65536;
  /// Share of the hosts' capacity relative to other workspaces.
  double Weight = 1.0;
  /// Whether a search that is not known to be good is sent to one leaf first
  /// and fans out only after that leaf has answered.
  bool Canary = true;
};

/// @brief All routes in force, by workspace and route name.
struct RouteTable {
  /// Revision of the settings tree from which the table was built.
  std::uint64_t Revision = 0;
  std::map<std::pair<std::string, std::string>, RouteSettings> Routes;
  /// Weight of each workspace, including workspaces without routes.
  std::map<std::string, double> WorkspaceWeights;
};

} // namespace savorytrestle::core

#endif
