#include "entry/RequestRouter.h"

#include <algorithm>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "entry/Answers.h"
#include "entry/RelayRequest.h"
#include "entry/RequestRun.h"
#include "leaf/LeafChoice.h"
#include "savorytrestle/core/HedgePolicy.h"
#include "support/BeastStringView.h"
#include "support/Log.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using leaf::RelayShardsHeader;
using leaf::RelayVersionHeader;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Retry-After of a host without a configuration, or with another version of it
/// than the relaying host.
constexpr milliseconds ConfigRetryAfter{300};

/// Most relays that this host handles at a time.
constexpr std::size_t MaxRelaysInHand = 512;
/// Assumed round trip between hosts of a region, including waits for the CPU.
constexpr milliseconds RelayRoundTrip{18};

std::string_view hostNameOf(const CallerRequest &request) {
  const std::string_view host =
      support::toStringView(request[http::field::host]);
  return host.substr(0, host.rfind(':'));
}

std::string_view pathOf(const CallerRequest &request) {
  const std::string_view target = support::toStringView(request.target());
  return target.substr(0, target.find('?'));
}

/// Index of the part of a split route that a request was assigned to.
std::optional<std::size_t>
partOf(const core::RouteRule &route,
       const std::vector<leaf::Service *> &services) {
  if (route.sharded() || route.Targets.size() < 2 || services.size() != 1)
    return std::nullopt;
  const auto it = std::find_if(
      route.Targets.begin(), route.Targets.end(),
      [&](const auto &part) { return part.Service == services[0]->Name; });
  if (it == route.Targets.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - route.Targets.begin());
}

/// Removes the hop-by-hop headers, which concern only the caller's connection.
void removeHopByHopHeaders(leaf::LeafRequest &request) {
  // The Connection header lists further hop-by-hop headers.
  std::vector<std::string> named;
  for (const auto token : http::token_list(request[http::field::connection]))
    named.emplace_back(token.data(), token.size());
  for (const std::string &name : named)
    request.erase(name);
  for (const http::field field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::expect, http::field::content_length})
    request.erase(field);
}

} // namespace

RequestRouter::RequestRouter(boost::asio::io_context &io,
                             leaf::LeafDirectory &leaves,
                             support::Metrics &metrics,
                             support::HeaderNames names)
    : Io(io), Leaves(leaves), Recorder(metrics), Admission(io, leaves, metrics),
      SettleTimer(io), Names(std::move(names)) {
  scheduleSettle();
}

void RequestRouter::setConfig(
    std::shared_ptr<const core::ServingConfig> config) {
  Config = std::move(config);
  Keys = core::KeyRing(Secret, *Config);
  if (Quotas)
    Quotas->setConfig(*Config);
}

void RequestRouter::scheduleSettle() {
  SettleTimer.expires_after(CrashTracker::SettleInterval);
  SettleTimer.async_wait([this](const boost::system::error_code &ec) {
    if (ec)
      return;
    Tracker.settle(SteadyClock::now());
    scheduleSettle();
  });
}

CancelHandler RequestRouter::handle(CallerRequest request,
                                    AnswerHandler respond) {
  // Only hosts may send them: they lift the least share of the shards.
  removeRelayHeaders(request);
  return start(std::move(request), std::move(respond), false);
}

CancelHandler RequestRouter::handleRelay(CallerRequest request,
                                         AnswerHandler respond) {
  if (const auto refusal = findRelayRefusal()) {
    refuse(request, nullptr, *refusal, respond);
    return nullptr;
  }
  ++*RelaysInHand;
  const std::shared_ptr<std::size_t> inHand(
      RelaysInHand.get(),
      [counter = RelaysInHand](std::size_t *) { --*counter; });
  return start(
      std::move(request),
      [inHand, respond = std::move(respond)](CallerAnswer answer) {
        respond(std::move(answer));
      },
      true);
}

std::optional<Refusal> RequestRouter::findRelayRefusal() const {
  const char *why = nullptr;
  if (RefusesRelays)
    why = "stopping";
  else if (Leaves.link().lost())
    why = "leaves_lost";
  else if (*RelaysInHand >= MaxRelaysInHand)
    why = "too_many_relays";
  if (why == nullptr)
    return std::nullopt;
  return Refusal{http::status::service_unavailable,
                 std::string("this host takes no relays: ") + why, std::nullopt,
                 why};
}

void RequestRouter::onLeavesLost() {
  Leaves.closeIdleConnections();
  const auto runs = Runs;
  for (const auto &weak : runs)
    if (const auto run = weak.lock())
      run->onLeavesLost();
}

void RequestRouter::endRuns() {
  const auto runs = Runs;
  for (const auto &weak : runs)
    if (const auto run = weak.lock())
      run->endNow();
}

std::shared_ptr<RequestRun>
RequestRouter::makeRun(std::shared_ptr<const leaf::CallContext> context,
                       AnswerHandler respond) {
  const bool relayed = context->FromHost;
  auto run = std::make_shared<RequestRun>(Io, std::move(context), Recorder,
                                          Tracker, std::move(respond));
  if (Runs.size() >= PruneRunsAt) {
    std::erase_if(Runs, [](const auto &weak) { return weak.expired(); });
    PruneRunsAt = std::max(MinRunsToPrune, 2 * Runs.size());
  }
  Runs.push_back(run);
  // A relay is not passed on again, so that requests don't go round.
  if (relayed)
    return run;
  run->setForwardFactory([this](const leaf::CallContext &direct,
                                const std::vector<leaf::Service *> &services,
                                int leavesLeft,
                                std::vector<const leaf::Service *> tried) {
    return makeForward(direct, services, leavesLeft, std::move(tried));
  });
  return run;
}

std::optional<Relay>
RequestRouter::makeForward(const leaf::CallContext &direct,
                           const std::vector<leaf::Service *> &services,
                           int leavesLeft,
                           std::vector<const leaf::Service *> tried) {
  leaf::Service *const hosts = Leaves.reachablePeers(direct.Homes, tried);
  if (hosts == nullptr)
    return std::nullopt;
  tried.push_back(hosts);
  std::vector<std::size_t> shards;
  const auto &names = direct.Route.Shards;
  for (const leaf::Service *service : services)
    if (const auto it = std::find(names.begin(), names.end(), service->Name);
        it != names.end())
      shards.push_back(static_cast<std::size_t>(it - names.begin()));
  return Relay{.Context = makeRelayContext(direct, shards, leavesLeft,
                                           partOf(direct.Route, services)),
               .Hosts = hosts,
               .Services = services,
               .IsForward = true,
               .LeavesLeft = leavesLeft,
               .Tried = std::move(tried)};
}

const core::RouteRule *
RequestRouter::routeOf(const CallerRequest &request) const {
  return Config ? Config->findRoute(hostNameOf(request), pathOf(request))
                : nullptr;
}

CancelHandler RequestRouter::start(CallerRequest request, AnswerHandler respond,
                                   bool relayed,
                                   CrashTracker::PermitPtr permit) {
  const core::RouteRule *const route = routeOf(request);
  const auto identity = check(request, route, relayed);
  if (!identity) {
    refuse(request, route, identity.error(), respond);
    return nullptr;
  }
  const core::WorkspaceRule *const workspace = identity.value_or(nullptr);
  const auto fingerprint = fingerprintOf(request, workspace);
  if (const auto wait =
          Tracker.quarantinedFor(fingerprint, SteadyClock::now())) {
    ++QuarantinedCount;
    refuse(request, route,
           {http::status::too_many_requests,
            "request is quarantined: leaves ended while they ran it", *wait},
           respond);
    return nullptr;
  }
  // The caller's host has the permission for a relay.
  if (!relayed && !permit && Tracker.onProbation(fingerprint))
    return startTrial(std::move(request), fingerprint, *route,
                      std::move(respond));
  // The caller's host has charged a relay.
  QuotaGate::ChargePtr charge;
  if (!relayed && workspace != nullptr && Quotas &&
      Quotas->limited(workspace->Name)) {
    charge = Quotas->tryCharge(workspace->Name);
    if (!charge) {
      refuseOverRate(request, *route, workspace->Name, respond);
      return nullptr;
    }
  }
  return startChecked(std::move(request), fingerprint, *route, workspace,
                      std::move(respond), relayed, std::move(charge),
                      std::move(permit));
}

CancelHandler RequestRouter::startTrial(CallerRequest request,
                                        const core::Fingerprint &fingerprint,
                                        const core::RouteRule &route,
                                        AnswerHandler respond) {
  /// A request that waits for the permission, and then runs.
  struct Waiting {
    CallerRequest Request;
    AnswerHandler Respond;
    core::TimePoint Since = SteadyClock::now();
    CancelHandler Cancel{};
    bool Cancelled = false;
  };
  const milliseconds limit = timeLimit(request, route);
  const auto waiting = std::make_shared<Waiting>(
      Waiting{std::move(request), std::move(respond)});
  const auto onDecided =
      [this, waiting,
       limit](const tl::expected<CrashTracker::PermitPtr, milliseconds> &it) {
        if (waiting->Cancelled)
          return;
        const auto left = limit - std::chrono::ceil<milliseconds>(
                                      SteadyClock::now() - waiting->Since);
        if (!it || left <= milliseconds(0)) {
          ++ProbationCount;
          return refuse(waiting->Request, routeOf(waiting->Request),
                        {http::status::service_unavailable,
                         "request is on probation: leaves ended while they ran "
                         "it, and another run has not ended",
                         it ? core::CrashTrials::ChangedPause : it.error()},
                        waiting->Respond);
        }
        waiting->Request.set(Names.Deadline, std::to_string(left.count()));
        waiting->Cancel = start(std::move(waiting->Request),
                                std::move(waiting->Respond), false, *it);
      };
  const std::string id(
      support::toStringView(waiting->Request[Names.RequestId]));
  Tracker.askForTrial(fingerprint, id, limit, waiting->Since, onDecided);
  return [waiting] {
    waiting->Cancelled = true;
    if (waiting->Cancel)
      waiting->Cancel();
  };
}

CancelHandler RequestRouter::startChecked(CallerRequest request,
                                          const core::Fingerprint &fingerprint,
                                          const core::RouteRule &checked,
                                          const core::WorkspaceRule *workspace,
                                          AnswerHandler respond, bool relayed,
                                          QuotaGate::ChargePtr charge,
                                          CrashTracker::PermitPtr permit) {
  const core::RouteRule *const route = &checked;
  const auto relayRoute = relayed ? routeForRelay(*route, request) : nullptr;
  const core::RouteRule &rule = relayRoute ? *relayRoute : *route;
  if (relayed && request.find(RelayShardsHeader) != request.end() &&
      !rule.sharded()) {
    refuse(request, route,
           {http::status::service_unavailable,
            "relay names no shard of the route", std::nullopt},
           respond);
    return nullptr;
  }
  const core::HomeRegions homes(rule, workspace);
  const auto services = selectServices(rule);
  const double draw = Leaves.draw();
  // Another host has no services for the route either, if this one has none.
  const bool forwards = !relayed && !services.empty() && Leaves.link().lost() &&
                        Leaves.reachablePeers(homes) != nullptr;
  if (!forwards && !enoughServicesReachable(rule, services, draw, homes)) {
    const auto deadline = SteadyClock::now() + timeLimit(request, rule);
    refuse(request, route,
           {http::status::service_unavailable, "too few leaves are reachable",
            leaf::retryAfter(rule, {services.begin(), services.end()}, deadline,
                             Leaves.draw(), homes)},
           respond);
    return nullptr;
  }
  const auto context = makeContext(std::move(request), fingerprint, rule,
                                   relayRoute, draw, workspace, homes);
  const auto run = makeRun(context, std::move(respond));
  run->setCharge(std::move(charge));
  run->setPermit(std::move(permit));
  if (auto forward = forwards
                         ? makeForward(*context, services, rule.MaxLeaves, {})
                         : std::nullopt)
    run->start({}, {std::move(*forward)});
  else if (relayed)
    run->start(services);
  else
    Admission.admit(run, context, services, [this, run, context, services] {
      startAdmitted(run, context, services);
    });
  return [run] { run->cancel(); };
}

void RequestRouter::refuseOverRate(const CallerRequest &request,
                                   const core::RouteRule &route,
                                   const std::string &workspace,
                                   const AnswerHandler &respond) {
  const std::string id(support::toStringView(request[Names.RequestId]));
  refuse(request, &route,
         {http::status::too_many_requests,
          "workspace " + workspace + " is over its rate",
          Quotas->refuse(workspace, id)},
         respond);
}

void RequestRouter::startAdmitted(
    const std::shared_ptr<RequestRun> &run,
    const std::shared_ptr<const leaf::CallContext> &context,
    const std::vector<leaf::Service *> &services) {
  // Its key, route or regions may have been withdrawn while it was held.
  if (context->Config != Config)
    return run->refuse(errorAnswer(http::status::service_unavailable,
                                   "configuration changed", ConfigRetryAfter));
  const auto &plan = relayPlanFor(context->Route);
  if (plan.empty() || !isHome(context->Homes))
    return run->start(services);
  startRelayed(*run, *context, plan, services);
}

std::optional<Refusal>
RequestRouter::findConfigRefusal(const CallerRequest &request,
                                 const core::RouteRule *route) const {
  if (!Config)
    return Refusal{http::status::service_unavailable,
                   "no configuration loaded yet", ConfigRetryAfter};
  if (route == nullptr)
    return Refusal{http::status::not_found,
                   "no route matches the host and path", std::nullopt};
  if (const auto it = request.find(RelayVersionHeader);
      it != request.end() &&
      support::toStringView(it->value()) != std::to_string(Config->Version))
    return Refusal{http::status::service_unavailable,
                   "configuration version of the relaying host is not in force "
                   "on this host",
                   ConfigRetryAfter};
  return std::nullopt;
}

tl::expected<const core::WorkspaceRule *, Refusal>
RequestRouter::check(const CallerRequest &request, const core::RouteRule *route,
                     bool relayed) {
  if (const auto refusal = findConfigRefusal(request, route))
    return tl::unexpected(*refusal);
  auto identity = findWorkspace(request, *route, *Config, Keys, relayed);
  if (!identity) {
    UnauthorizedCount +=
        identity.error().Status == http::status::unauthorized ? 1 : 0;
    return identity;
  }
  if (request.find(Names.RequestId) == request.end())
    return tl::unexpected(Refusal{http::status::bad_request,
                                  "request id header is missing",
                                  std::nullopt});
  return identity;
}

void RequestRouter::refuse(const CallerRequest &request,
                           const core::RouteRule *route, const Refusal &refusal,
                           const AnswerHandler &respond) {
  Recorder.onRefused(
      std::string(support::toStringView(request[Names.RequestId])),
      route ? route->Host : "", route ? route->Name : "",
      Config ? Config->Version : 0, static_cast<unsigned>(refusal.Status),
      refusal.Reason);
  auto answer = errorAnswer(refusal.Status, refusal.Reason, refusal.RetryAfter);
  if (refusal.RelayRefused != nullptr)
    answer.set(leaf::RelayRefusedHeader, refusal.RelayRefused);
  respond(std::move(answer));
}

milliseconds RequestRouter::timeLimit(const CallerRequest &request,
                                      const core::RouteRule &route) const {
  std::int64_t remainingMs = 0;
  const auto header = request[Names.Deadline];
  if (absl::SimpleAtoi(absl::string_view(header.data(), header.size()),
                       &remainingMs) &&
      remainingMs > 0)
    return std::min(route.Timeout, milliseconds(remainingMs));
  return route.Timeout;
}

std::shared_ptr<const leaf::CallContext>
RequestRouter::makeContext(CallerRequest request,
                           const core::Fingerprint &fingerprint,
                           const core::RouteRule &route,
                           std::shared_ptr<const core::RouteRule> derivedRoute,
                           double draw, const core::WorkspaceRule *workspace,
                           const core::HomeRegions &homes) const {
  const auto start = SteadyClock::now();
  const milliseconds timeout = timeLimit(request, route);
  std::string id(support::toStringView(request[Names.RequestId]));
  // The objective includes the time that a relay spends between the hosts.
  const bool relayed = isRelay(request);
  const auto arrived = relayed ? start - RelayRoundTrip : start;
  removeHopByHopHeaders(request);
  removeRelayHeaders(request);
  setWorkspaceHeaders(request, Names, *Config, Keys, workspace);
  request.version(11);
  // prepare_payload() throws for a TRACE request with a body.
  if (request.method() == http::verb::trace && !request.body().empty())
    request.content_length(request.body().size());
  else
    request.prepare_payload();
  return std::make_shared<const leaf::CallContext>(leaf::CallContext{
      Leaves, Names, Config, route, std::move(derivedRoute), std::move(request),
      std::move(id), fingerprint, Names.LeafSignature, arrived, start + timeout,
      relayed, false, draw, workspace, homes});
}

const core::RelayPlan &
RequestRouter::relayPlanFor(const core::RouteRule &route) {
  CachedRelayPlan &cached = RelayPlans[route.Name];
  if (cached.Generation == Leaves.generation() &&
      cached.Version == Config->Version)
    return cached.Plan;
  auto plan = core::planRelays(Leaves.failureDomain(),
                               Leaves.nearbyDomains(route.Shards));
  if (plan != cached.Plan)
    for (const auto &[domain, shards] : plan)
      support::LogLine("relay_planned")
          .with("route", route.Name)
          .with("version", Config->Version)
          .with("failure_domain", domain)
          .with("shards", shards.size());
  cached = {Leaves.generation(), Config->Version, std::move(plan)};
  return cached.Plan;
}

void RequestRouter::startRelayed(RequestRun &run,
                                 const leaf::CallContext &context,
                                 const core::RelayPlan &plan,
                                 const std::vector<leaf::Service *> &services) {
  std::vector<leaf::Service *> ownServices = services;
  std::vector<Relay> relays;
  for (const auto &[domain, shards] : plan) {
    Relay relay{.Context =
                    makeRelayContext(context, shards, context.Route.MaxLeaves),
                .Hosts = &Leaves.peersOf(domain)};
    for (const std::size_t i : shards) {
      relay.Services.push_back(services[i]);
      ownServices[i] = nullptr;
    }
    relays.push_back(std::move(relay));
  }
  ownServices.erase(
      std::remove(ownServices.begin(), ownServices.end(), nullptr),
      ownServices.end());
  run.start(ownServices, std::move(relays));
}

std::vector<leaf::Service *>
RequestRouter::selectServices(const core::RouteRule &route) {
  std::vector<leaf::Service *> services;
  for (const std::string &shard : route.Shards)
    services.push_back(&Leaves.service(shard));
  if (route.sharded() || route.Targets.empty())
    return services;
  // A forward names its part; another turn would move the request.
  if (route.Targets.size() == 1) {
    services.push_back(&Leaves.service(route.Targets.front().Service));
    return services;
  }
  std::vector<double> weights;
  for (const core::WeightedService &target : route.Targets)
    weights.push_back(target.Weight);
  const std::size_t target =
      SplitTurns[route.Name].next(weights, Leaves.draw());
  services.push_back(&Leaves.service(route.Targets[target].Service));
  return services;
}

bool RequestRouter::enoughServicesReachable(
    const core::RouteRule &route, const std::vector<leaf::Service *> &services,
    double draw, const core::HomeRegions &homes) {
  std::vector<const leaf::Service *> unreachable;
  for (const leaf::Service *service : services)
    if (!leaf::reachable(*service, draw, homes))
      unreachable.push_back(service);
  const std::size_t needed = route.sharded() ? core::minShards(route) : 1;
  if (services.size() - unreachable.size() >= needed)
    return true;
  for (const leaf::Service *service : unreachable)
    leaf::recordDrawLost(*service, homes);
  return false;
}

} // namespace savorytrestle::entry
