#ifndef SAVORYTRESTLE_CORE_SERVING_CONFIG_H
#define SAVORYTRESTLE_CORE_SERVING_CONFIG_H

/// @file
/// @brief One version of the routes and services as operators configured them,
/// and the lookup of a request's route.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorytrestle::core {

/// @brief A service that takes a share of a route's requests.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

/// @brief Settings of one route.
struct RouteRule {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// Whether a request may be executed more than once.
  bool Idempotent = false;
  /// Longest time until a caller gets an answer.
  std::chrono::milliseconds Timeout{0};
  /// Time within which an answer is in time.
  std::chrono::milliseconds Objective{0};
  /// 0 is the highest priority.
  int Priority = 0;
  /// Most leaves of one service that may execute one request.
  int MaxLeaves = 1;
  /// Services that share the requests; empty when the route is sharded.
  std::vector<WeightedService> Targets;
  /// Services that each hold one shard; empty when the route isn't sharded.
  std::vector<std::string> Shards;
  /// Most records in the answer of a sharded route.
  std::size_t TopRecords = 0;
  /// Smallest fraction of the shards that a successful answer covers, 0 to 1.
  double MinShardShare = 1;
  /// Whether requests need no key.
  bool Public = false;
  /// Regions in which requests may be served; empty for all.
  std::vector<std::string> AllowedRegions;

  /// @brief Whether a request goes to every shard.
  bool sharded() const { return !Shards.empty(); }
};

/// @brief Settings of one service.
struct ServiceRule {
  std::string Name;
  /// Connections that one leaf accepts from all callers together.
  int MaxConnections = 0;
  /// Time after its start for which a leaf is cold.
  std::chrono::milliseconds WarmUp{0};
  /// Requests a second that a cold leaf takes from all hosts together; 0 if
  /// there is no bound.
  double WarmUpPerSecond = 0;
};

/// @brief One workspace: the holder of keys, and what its requests may use.
struct WorkspaceRule {
  std::string Name;
  /// Keys that its callers present.
  std::vector<std::string> ApiKeys;
  /// Rank of its requests in place of the route's, 0 is the highest.
  std::optional<int> Priority;
  /// Requests a second over all hosts together; 0 if there is no limit.
  double RatePerSecond = 0;
  /// Requests beyond the rate that may be saved up.
  double Burst = 0;
  /// Regions in which its requests may be served; empty for all.
  std::vector<std::string> AllowedRegions;
};

/// @brief Limits on connections and requests of callers.
struct CallerLimits {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 262144;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// @brief One version of the configuration; immutable once indexed.
class ServingConfig {
public:
  std::uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::vector<ServiceRule> Services;
  /// The workspaces. If set, requests need a key unless their route is public.
  std::optional<std::vector<WorkspaceRule>> Workspaces;
  CallerLimits Limits;

  /// @brief Builds the lookup; to be called once, after all fields are set.
  void buildIndex();

  /// @brief Finds the route of a request: of the host's routes, the one with
  /// the longest prefix that begins the path. O(routes of the host).
  /// @param host the request's host, without a port
  /// @param path the request's path, without its query
  /// @return the route, or null
  const RouteRule *findRoute(std::string_view host,
                             std::string_view path) const;

private:
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<const RouteRule *>, std::less<>> ByHost;
};

} // namespace savorytrestle::core

#endif
