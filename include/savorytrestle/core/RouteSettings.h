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

/// @brief What a route does.
enum class RouteKind {
  Search, ///< fans out to every shard and merges
  Write,  ///< sends one filing to one leaf
};

/// @brief What a workspace prefers when some shards are slow.
enum class AnswerPolicy {
  CoverageFirst, ///< waits for missing shards up to the deadline
  TailFirst,     ///< answers at the latency target above a coverage floor
};

/// @brief One backend server (leaf) of a service.
struct LeafSettings {
  std::string Name;
  /// "ip:port".
  std::string Address;
  std::string FailureDomain;
  /// Replicas of one group hold the same shards; a plain leaf is a group alone.
  std::string Group;

  bool operator==(const LeafSettings &) const = default;
};

/// @brief A service: its leaves and what each of them bears.
struct ServiceSettings {
  std::string Workspace;
  std::string Name;
  std::vector<LeafSettings> Leaves;
  /// Requests a leaf executes at once.
  std::uint32_t LeafSlots = 5;
  /// Connections a leaf accepts over all hosts.
  std::uint32_t LeafConnections = 40;
  /// Extra attempts allowed, as a fraction of first attempts.
  double ExtraLoadFraction = 0.05;
};

/// @brief A route of a service.
struct RouteSettings {
  std::shared_ptr<const ServiceSettings> Service;
  std::string Name;
  RouteKind Kind = RouteKind::Search;
  AnswerPolicy Policy = AnswerPolicy::CoverageFirst;
  /// Longest deadline a caller may ask for.
  std::chrono::milliseconds MaxDeadline{10000};
  /// When a tail-first route answers with what it has.
  std::chrono::milliseconds LatencyTarget{100};
  /// Least fraction of shards in a tail-first answer before the deadline.
  double CoverageFloor = 0.9;
  /// Largest request body in bytes.
  std::uint32_t MaxBodyBytes = 65536;
  /// Share of the hosts' capacity relative to other workspaces.
  double Weight = 1.0;
  /// Sends a search to one leaf first and fans out once that has answered.
  bool Canary = true;
};

/// @brief All routes in force, by workspace and route name.
struct RouteTable {
  /// Revision of the settings tree this table was made from.
  std::uint64_t Revision = 0;
  std::map<std::pair<std::string, std::string>, RouteSettings> Routes;
  /// Workspaces that exist, also those without a route.
  std::map<std::string, double> WorkspaceWeights;
};

} // namespace savorytrestle::core

#endif
