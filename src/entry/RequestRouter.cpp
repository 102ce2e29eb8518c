#include "entry/RequestRouter.h"

#include <algorithm>

#include <absl/strings/numbers.h>

#include "entry/Answers.h"
#include "entry/RequestRun.h"
#include "savorytrestle/core/RefusalPolicy.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// Wait named by a host that knows no configuration yet.
constexpr milliseconds StartingRetryAfter{300};

/// Marks a request that another host has passed on, with the version that it
/// goes by: both must go by the same, or a caller could see it go back.
constexpr const char *RelayVersionHeader = "Relay-Config-Version";
/// Way to a host of the region and back.
constexpr milliseconds RelayHop{10};

std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::string_view hostOf(const CallerRequest &request) {
  const std::string_view host = view(request[http::field::host]);
  return host.substr(0, host.rfind(':'));
}

std::string_view pathOf(const CallerRequest &request) {
  const std::string_view target = view(request.target());
  return target.substr(0, target.find('?'));
}

/// Removes the headers that concern only the caller's connection.
void removeHopByHop(leaf::LeafRequest &request) {
  // The Connection header names further ones.
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
    : Io(io), Leaves(leaves), Records(metrics), Names(std::move(names)) {}

CancelRequest RequestRouter::handle(CallerRequest request, Respond respond) {
  const core::RouteRule *route =
      Config ? Config->find(hostOf(request), pathOf(request)) : nullptr;
  if (const auto refusal = check(request, route)) {
    turnAway(request, route, *refusal, respond);
    return nullptr;
  }
  const auto services = servicesOf(*route);
  if (!enoughReachable(*route, services)) {
    turnAway(request, route,
             {http::status::service_unavailable, "too few leaves are reachable",
              core::retryAfter(*route)},
             respond);
    return nullptr;
  }
  const auto relay = relayOf(request, *route);
  const auto context = contextOf(std::move(request), *route);
  const auto run =
      std::make_shared<RequestRun>(Io, context, Records, std::move(respond));
  if (relay)
    run->startRelayed(relayContextOf(*context), Leaves.peersOf(*relay),
                      services);
  else
    run->start(services);
  return [run] { run->cancel(); };
}

std::optional<RequestRouter::Refusal>
RequestRouter::check(const CallerRequest &request,
                     const core::RouteRule *route) const {
  if (!Config)
    return Refusal{http::status::service_unavailable,
                   "no configuration known yet", StartingRetryAfter};
  if (route == nullptr)
    return Refusal{http::status::not_found, "no such route", std::nullopt};
  if (const auto it = request.find(RelayVersionHeader);
      it != request.end() &&
      view(it->value()) != std::to_string(Config->Version))
    return Refusal{http::status::service_unavailable,
                   "another version of the configuration is in force here",
                   StartingRetryAfter};
  if (request.find(Names.RequestId) == request.end())
    return Refusal{http::status::bad_request, "no request id", std::nullopt};
  return std::nullopt;
}

void RequestRouter::turnAway(const CallerRequest &request,
                             const core::RouteRule *route,
                             const Refusal &refusal, const Respond &respond) {
  Records.onTurnedAway(std::string(view(request[Names.RequestId])),
                       route ? route->Name : "", Config ? Config->Version : 0,
                       static_cast<unsigned>(refusal.Status), refusal.Why);
  respond(errorAnswer(refusal.Status, refusal.Why, refusal.RetryAfter));
}

std::shared_ptr<const leaf::CallContext>
RequestRouter::contextOf(CallerRequest request,
                         const core::RouteRule &route) const {
  const auto start = SteadyClock::now();
  milliseconds allowed = route.Timeout;
  std::int64_t waits = 0;
  const auto header = request[Names.Deadline];
  if (absl::SimpleAtoi(absl::string_view(header.data(), header.size()),
                       &waits) &&
      waits > 0)
    allowed = std::min(allowed, milliseconds(waits));
  std::string id(view(request[Names.RequestId]));
  // What a relayed request has spent on its way counts towards the objective.
  const bool relayed = request.find(RelayVersionHeader) != request.end();
  const auto arrived = relayed ? start - RelayHop : start;
  removeHopByHop(request);
  request.erase(RelayVersionHeader);
  request.version(11);
  request.prepare_payload();
  return std::make_shared<const leaf::CallContext>(leaf::CallContext{
      Leaves, Names, Config, route, nullptr, std::move(request), std::move(id),
      Names.LeafSignature, arrived, start + allowed});
}

std::shared_ptr<const leaf::CallContext>
RequestRouter::relayContextOf(const leaf::CallContext &direct) const {
  auto route = std::make_shared<core::RouteRule>(direct.Route);
  // The other host hedges and repeats; two hosts at it would double the load.
  route->Idempotent = false;
  route->MaxLeaves = 1;
  leaf::LeafRequest request = direct.Request;
  request.set(RelayVersionHeader, std::to_string(Config->Version));
  const core::RouteRule &rule = *route;
  return std::make_shared<const leaf::CallContext>(leaf::CallContext{
      Leaves, Names, Config, rule, std::move(route), std::move(request),
      direct.RequestId, Names.PartSignatures, direct.Start, direct.Deadline});
}

std::optional<std::string>
RequestRouter::relayOf(const CallerRequest &request,
                       const core::RouteRule &route) {
  if (!route.sharded() || request.find(RelayVersionHeader) != request.end())
    return std::nullopt;
  KnownRelay &known = Relays[route.Name];
  if (known.Generation != Leaves.generation() ||
      known.Version != Config->Version)
    known = {Leaves.generation(), Config->Version,
             core::relayDomain(Leaves.failureDomain(),
                               Leaves.nearShards(route.Shards),
                               route.Shards.size())};
  return known.Domain;
}

std::vector<leaf::Service *>
RequestRouter::servicesOf(const core::RouteRule &route) {
  std::vector<leaf::Service *> services;
  for (const std::string &shard : route.Shards)
    services.push_back(&Leaves.service(shard));
  if (route.sharded() || route.Targets.empty())
    return services;
  std::vector<double> weights;
  for (const core::WeightedService &target : route.Targets)
    weights.push_back(target.Weight);
  const std::size_t part = Turns[route.Name].next(weights);
  services.push_back(&Leaves.service(route.Targets[part].Service));
  return services;
}

bool RequestRouter::enoughReachable(
    const core::RouteRule &route,
    const std::vector<leaf::Service *> &services) const {
  const auto n = static_cast<std::size_t>(std::count_if(
      services.begin(), services.end(),
      [this](const leaf::Service *it) { return Leaves.reachable(*it); }));
  return n >= (route.sharded() ? core::leastShards(route) : 1);
}

} // namespace savorytrestle::entry
