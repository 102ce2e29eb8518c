#ifndef SAVORYTRESTLE_ENTRY_REQUEST_ROUTER_H
#define SAVORYTRESTLE_ENTRY_REQUEST_ROUTER_H

/// @file
/// @brief Finds the route of a caller's request and starts its run.

#include <utility>

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "entry/CallerSession.h"
#include "entry/CrashTracker.h"
#include "entry/RequestRecorder.h"
#include "entry/RequestRun.h"
#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/WeightedTurns.h"
#include "support/HeaderNames.h"

namespace savorytrestle::entry {

/// @brief Checks requests and hands them to their services.
class RequestRouter {
public:
  /// @brief Makes a router that knows no configuration.
  /// @param io runs the requests' timers
  /// @param leaves all services
  /// @param metrics counts what becomes of requests
  /// @param names header names of callers and leaves
  RequestRouter(boost::asio::io_context &io, leaf::LeafDirectory &leaves,
                support::Metrics &metrics, support::HeaderNames names);

  /// @brief Takes the configuration in force.
  void setConfig(std::shared_ptr<const core::ServingConfig> config) {
    Config = std::move(config);
  }

  /// @brief Requests that crash leaves, as this host and others know them.
  CrashTracker &crashTracker() { return Tracker; }

  /// @brief Begins a request.
  /// @param request the request
  /// @param respond takes its answer, at once or later
  /// @return ends the request when its caller leaves
  CancelHandler handle(CallerRequest request, AnswerHandler respond);

private:
  struct CachedRelayPlan {
    std::uint64_t Generation = 0;
    std::uint64_t Version = 0;
    core::RelayPlan Plan;
  };
  struct Refusal {
    boost::beast::http::status Status;
    std::string Reason;
    std::optional<std::chrono::milliseconds> RetryAfter;
  };

  /// The route over some of its shards.
  static std::shared_ptr<const core::RouteRule>
  routeForShards(const core::RouteRule &route, std::string_view indices);
  std::optional<Refusal> findRefusal(const CallerRequest &request,
                                     const core::RouteRule *route,
                                     const core::Fingerprint &fingerprint);
  std::shared_ptr<const leaf::CallContext>
  makeRelayContext(const leaf::CallContext &direct,
                   const std::vector<std::size_t> &shards) const;
  std::shared_ptr<const leaf::CallContext>
  makeContext(CallerRequest request, const core::Fingerprint &fingerprint,
              const core::RouteRule &route,
              std::shared_ptr<const core::RouteRule> part) const;
  /// Shards of a request that are asked through other hosts.
  const core::RelayPlan &relayPlanFor(const core::RouteRule &route);
  /// Starts a sharded request of which other hosts ask a part.
  void startRelayed(RequestRun &run, const leaf::CallContext &context,
                    const core::RelayPlan &plan,
                    const std::vector<leaf::Service *> &services);
  std::vector<leaf::Service *> selectServices(const core::RouteRule &route);
  bool
  enoughServicesReachable(const core::RouteRule &route,
                          const std::vector<leaf::Service *> &services) const;
  void refuse(const CallerRequest &request, const core::RouteRule *route,
              const Refusal &refusal, const AnswerHandler &respond);

  boost::asio::io_context &Io;
  leaf::LeafDirectory &Leaves;
  RequestRecorder Recorder;
  CrashTracker Tracker;
  support::HeaderNames Names;
  std::shared_ptr<const core::ServingConfig> Config;
  /// Turns of each split route, by its name.
  std::map<std::string, core::WeightedTurns> SplitTurns;
  /// Relays of each sharded route, by its name.
  std::map<std::string, CachedRelayPlan> RelayPlans;
};

} // namespace savorytrestle::entry

#endif
