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
  const auto run = std::make_shared<RequestRun>(
      Io, contextOf(std::move(request), *route), Records, std::move(respond));
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
  removeHopByHop(request);
  request.version(11);
  request.prepare_payload();
  return std::make_shared<const leaf::CallContext>(
      leaf::CallContext{Leaves, Names, Config, route, std::move(request),
                        std::move(id), start, start + allowed});
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
