#ifndef SAVORYTRESTLE_ENTRY_REQUEST_ROUTER_H
#define SAVORYTRESTLE_ENTRY_REQUEST_ROUTER_H

/// @file
/// @brief Finds the route of a caller's request and starts the request.

#include <utility>

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/CallerIdentity.h"
#include "entry/CallerSession.h"
#include "entry/CrashTracker.h"
#include "entry/QuotaGate.h"
#include "entry/RequestAdmission.h"
#include "entry/RequestRecorder.h"
#include "entry/RequestRun.h"
#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/WeightedRoundRobin.h"
#include "support/HeaderNames.h"

namespace savorytrestle::entry {

/// @brief Checks requests and starts them on the services of their routes.
class RequestRouter {
public:
  /// @brief Creates a router without a configuration.
  /// @param io runs the timers of requests
  /// @param leaves all services and their leaves
  /// @param metrics receives the counts of requests
  /// @param names header names of callers and leaves
  RequestRouter(boost::asio::io_context &io, leaf::LeafDirectory &leaves,
                support::Metrics &metrics, support::HeaderNames names);

  /// @brief Replaces the configuration in force.
  void setConfig(std::shared_ptr<const core::ServingConfig> config);

  /// @brief Sets the gate that charges requests to their workspaces' limits;
  /// without one there are no limits.
  void setQuotaGate(std::shared_ptr<QuotaGate> gate) {
    Quotas = std::move(gate);
  }

  /// @brief Tracker of the requests that crash leaves, on this and other hosts.
  CrashTracker &crashTracker() { return Tracker; }

  /// @brief Starts a request.
  /// @param request the request
  /// @param respond called with the answer, before the return or later
  /// @return cancels the request, for use when its caller disconnects
  CancelHandler handle(CallerRequest request, AnswerHandler respond);

  /// @brief Starts a request that another host sent for one of its callers. It
  /// may cover some of the shards only.
  /// @param request a request for which @ref entry::isRelay holds
  /// @param respond called with the answer, before the return or later; 503
  /// states that the request has not been started
  /// @return see @ref handle
  CancelHandler handleRelay(CallerRequest request, AnswerHandler respond);

  /// @brief This host has no links to leaves: forwards the requests in
  /// progress. May be called repeatedly.
  void onLeavesLost();

  /// @brief Answers all requests in progress with what there is, for use at the
  /// end of a shutdown.
  void endRuns();

  /// @brief Refuses relays from now on, for use in a shutdown.
  void refuseRelays() { RefusesRelays = true; }

  /// @brief Number of relays that are being handled.
  std::size_t relaysInHand() const { return *RelaysInHand; }

  /// @brief Number of requests that were forwarded to other hosts.
  std::uint64_t forwardCount() const { return Recorder.forwardCount(); }

  /// @brief Number of requests that were refused with 401.
  std::uint64_t unauthorizedCount() const { return UnauthorizedCount; }

  /// @brief Number of requests that were refused since they crash leaves.
  std::uint64_t quarantinedCount() const { return QuarantinedCount; }

  /// @brief Number of requests that were refused since another run of them on
  /// probation had not ended.
  std::uint64_t probationCount() const { return ProbationCount; }

  /// @brief Number of keys in force.
  std::size_t keyCount() const { return Keys.size(); }

private:
  static constexpr std::size_t MinRunsToPrune = 64;

  /// A plan with the generation of leaves and version that it was made for.
  struct CachedRelayPlan {
    std::uint64_t Generation = 0;
    std::uint64_t Version = 0;
    core::RelayPlan Plan;
  };

  /// Checks a request against the configuration in force and starts it.
  /// @param permit permission to run it if it is on probation
  CancelHandler start(CallerRequest request, AnswerHandler respond,
                      bool relayed, CrashTracker::PermitPtr permit = nullptr);
  /// Starts a request on probation once this host has the permission.
  CancelHandler startTrial(CallerRequest request,
                           const core::Fingerprint &fingerprint,
                           const core::RouteRule &route, AnswerHandler respond);
  void refuseOverRate(const CallerRequest &request,
                      const core::RouteRule &route,
                      const std::string &workspace,
                      const AnswerHandler &respond);
  /// Starts a request that has been checked.
  CancelHandler startChecked(CallerRequest request,
                             const core::Fingerprint &fingerprint,
                             const core::RouteRule &route,
                             const core::WorkspaceRule *workspace,
                             AnswerHandler respond, bool relayed,
                             QuotaGate::ChargePtr charge,
                             CrashTracker::PermitPtr permit);
  /// Returns the route of a request, or null.
  const core::RouteRule *routeOf(const CallerRequest &request) const;
  /// Returns why the configuration doesn't allow to handle a request: there is
  /// none, or no route, or the relaying host has another version.
  std::optional<Refusal> findConfigRefusal(const CallerRequest &request,
                                           const core::RouteRule *route) const;
  /// Authenticates a request and checks whether it may be started.
  /// @return its workspace, see @ref entry::findWorkspace
  tl::expected<const core::WorkspaceRule *, Refusal>
  check(const CallerRequest &request, const core::RouteRule *route,
        bool relayed);
  /// Returns why this host takes no relays; nothing if it does.
  std::optional<Refusal> findRelayRefusal() const;
  void scheduleSettle();
  std::shared_ptr<RequestRun>
  makeRun(std::shared_ptr<const leaf::CallContext> context,
          AnswerHandler respond);
  /// See RequestRun::ForwardFactory.
  std::optional<Relay> makeForward(const leaf::CallContext &direct,
                                   const std::vector<leaf::Service *> &services,
                                   int leavesLeft,
                                   std::vector<const leaf::Service *> tried);
  std::shared_ptr<const leaf::CallContext>
  makeContext(CallerRequest request, const core::Fingerprint &fingerprint,
              const core::RouteRule &route,
              std::shared_ptr<const core::RouteRule> derivedRoute, double draw,
              const core::WorkspaceRule *workspace,
              const core::HomeRegions &homes) const;
  /// Returns which shards of a route are requested through other hosts.
  const core::RelayPlan &relayPlanFor(const core::RouteRule &route);
  /// Starts a request that has been admitted; by then another configuration may
  /// be in force.
  void startAdmitted(const std::shared_ptr<RequestRun> &run,
                     const std::shared_ptr<const leaf::CallContext> &context,
                     const std::vector<leaf::Service *> &services);
  /// Starts a sharded request, part of which other hosts execute.
  void startRelayed(RequestRun &run, const leaf::CallContext &context,
                    const core::RelayPlan &plan,
                    const std::vector<leaf::Service *> &services);
  /// Returns the services of all shards, or the next target of a traffic split.
  std::vector<leaf::Service *> selectServices(const core::RouteRule &route);
  /// Whether this host may execute relays of a request.
  bool isHome(const core::HomeRegions &homes) const {
    return homes.allows(Leaves.regionOf(Leaves.failureDomain()));
  }
  /// Whether a request with a draw can be sent to enough of its services.
  bool enoughServicesReachable(const core::RouteRule &route,
                               const std::vector<leaf::Service *> &services,
                               double draw, const core::HomeRegions &homes);
  /// End of the time that a request has, from its arrival.
  std::chrono::milliseconds timeLimit(const CallerRequest &request,
                                      const core::RouteRule &route) const;
  void refuse(const CallerRequest &request, const core::RouteRule *route,
              const Refusal &refusal, const AnswerHandler &respond);

  boost::asio::io_context &Io;
  leaf::LeafDirectory &Leaves;
  RequestRecorder Recorder;
  CrashTracker Tracker;
  RequestAdmission Admission;
  boost::asio::steady_timer SettleTimer;
  support::HeaderNames Names;
  const core::KeyRingSecret Secret = makeKeyRingSecret();
  std::shared_ptr<const core::ServingConfig> Config;
  /// The keys of Config.
  core::KeyRing Keys;
  std::shared_ptr<QuotaGate> Quotas;
  /// Rotation over the targets of each traffic split, by the route's name.
  std::map<std::string, core::WeightedRoundRobin> SplitTurns;
  /// Requests in progress, and ended ones until the next pruning.
  std::vector<std::weak_ptr<RequestRun>> Runs;
  std::size_t PruneRunsAt = MinRunsToPrune;
  std::shared_ptr<std::size_t> RelaysInHand = std::make_shared<std::size_t>(0);
  bool RefusesRelays = false;
  std::uint64_t UnauthorizedCount = 0;
  std::uint64_t QuarantinedCount = 0;
  std::uint64_t ProbationCount = 0;
  /// Relay plan of each sharded route, by the route's name.
  std::map<std::string, CachedRelayPlan> RelayPlans;
};

} // namespace savorytrestle::entry

#endif
