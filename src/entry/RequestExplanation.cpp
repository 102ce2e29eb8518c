#include "entry/RequestExplanation.h"

#include <algorithm>
#include <map>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "entry/Answers.h"
#include "leaf/LeafChoice.h"
#include "savorytrestle/core/HedgePolicy.h"
#include "savorytrestle/core/placement/HomeRegions.h"
#include "savorytrestle/core/placement/RelayPolicy.h"
#include "support/UrlEncode.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::string_view ExplainPath = "/explain";
/// Upper bound of a deadline, so that it can be added to any time.
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

double toMilliseconds(core::Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

json regionList(const std::vector<std::string> &regions) {
  return regions.empty() ? json("all") : json(regions);
}

/// Reasons for which the leaf gets no request.
json exclusions(const leaf::Leaf &leaf, const core::HomeRegions &homes,
                core::TimePoint now) {
  json reasons = json::array();
  if (!homes.allows(leaf.region()))
    reasons.push_back("region");
  if (leaf.evacuated())
    reasons.push_back("evacuated");
  else if (!leaf.acceptsRequests())
    reasons.push_back("leaving");
  if (!leaf.available())
    reasons.push_back("unavailable");
  if (!leaf.silence().allowsRequest(now))
    reasons.push_back("silent");
  if (leaf.score().inBackoff(now))
    reasons.push_back("backoff");
  if (!leaf.hasFreeConnection())
    reasons.push_back("connections");
  if (leaf.rateLimit().sendChance(now) <= 0)
    reasons.push_back("rate_limit");
  else if (leaf.sendChance(now) <= 0)
    reasons.push_back("cold");
  // Further conditions of the choice, without a name of their own here.
  if (reasons.empty() && !leaf::acceptsNow(leaf, now))
    reasons.push_back("other");
  return reasons;
}

json explainLeaf(const leaf::Service &service, const leaf::Leaf &leaf,
                 core::Duration expected, const core::HomeRegions &homes,
                 core::TimePoint now) {
  const core::LeafScore &score = leaf.score();
  const double requests =
      score.presentRequests(now, expected, service.OthersLoad.perSlot());
  json row{
      {"leaf", leaf.entry().Id},
      {"failure_domain", leaf.entry().FailureDomain},
      {"region", leaf.region()},
      {"cost_ms", toMilliseconds(leaf::costOf(service, leaf, expected, now))},
      {"requests_expected", requests},
      {"own_requests", score.outstanding()},
      {"slots", score.slots()},
      {"room", std::max(0.0, score.slots() - requests)},
      {"send_chance", leaf.sendChance(now)},
      {"excluded", exclusions(leaf, homes, now)}};
  if (const auto at = score.loadReportedAt(); at != core::TimePoint{})
    row["report_age_ms"] = toMilliseconds(now - at);
  if (const auto limit = leaf.rateLimit().limit())
    row["limit_per_s"] = *limit;
  if (const auto end = leaf.silence().end(); end > now)
    row["silent_for_ms"] = toMilliseconds(end - now);
  return row;
}

json explainService(const leaf::LeafDirectory &leaves, const std::string &name,
                    const core::RouteRule &route,
                    const core::HomeRegions &homes, core::TimePoint now) {
  json result{{"service", name}, {"leaves", json::array()}};
  const leaf::Service *const service = leaves.findService(name);
  if (service == nullptr)
    return result;
  const auto expected = leaf::expectedLatency(*service, route);
  result["expected_ms"] = toMilliseconds(expected);
  result["others_per_slot"] = service->OthersLoad.perSlot();
  json &rows = result["leaves"];
  for (const auto &leaf : service->Leaves)
    rows.push_back(explainLeaf(*service, *leaf, expected, homes, now));
  std::stable_sort(rows.begin(), rows.end(), [](const json &a, const json &b) {
    const bool usable = a["excluded"].empty();
    if (usable != b["excluded"].empty())
      return usable;
    return a["cost_ms"].get<double>() < b["cost_ms"].get<double>();
  });
  if (!rows.empty() && rows.front()["excluded"].empty())
    result["chosen"] = rows.front()["leaf"];
  return result;
}

/// Services that hosts of other failure domains query for this one, by domain.
json relaysOf(const leaf::LeafDirectory &leaves, const core::RouteRule &route,
              const core::HomeRegions &homes) {
  json relays = json::object();
  if (!homes.allows(leaves.regionOf(leaves.failureDomain())))
    return relays;
  for (const auto &[domain, shards] : core::planRelays(
           leaves.failureDomain(), leaves.nearbyDomains(route.Shards)))
    for (const std::size_t i : shards)
      relays[domain].push_back(route.Shards[i]);
  return relays;
}

/// Names of the services that a request may be sent to.
std::vector<std::string> serviceNames(const core::RouteRule &route) {
  if (route.sharded())
    return route.Shards;
  std::vector<std::string> names;
  for (const core::WeightedService &target : route.Targets)
    names.push_back(target.Service);
  return names;
}

const core::WorkspaceRule *findWorkspaceRule(const core::ServingConfig &config,
                                             const std::string &name) {
  if (name.empty() || !config.Workspaces)
    return nullptr;
  for (const core::WorkspaceRule &rule : *config.Workspaces)
    if (rule.Name == name)
      return &rule;
  return nullptr;
}

/// Reason for which the request would be refused before any leaf is chosen.
std::string refusalOf(const core::ServingConfig &config,
                      const core::RouteRule &route, const ExplainQuery &query,
                      const core::WorkspaceRule *workspace) {
  if (!query.Workspace.empty() && workspace == nullptr)
    return "no such workspace";
  if (config.Workspaces && !route.Public && workspace == nullptr)
    return "the route needs a key";
  return "";
}

json explainRoute(const core::RouteRule &route,
                  const core::WorkspaceRule *workspace,
                  const ExplainQuery &query) {
  const auto limit = query.Deadline > milliseconds::zero()
                         ? std::min(query.Deadline, route.Timeout)
                         : route.Timeout;
  return {{"name", route.Name},
          {"path_prefix", route.PathPrefix},
          {"sharded", route.sharded()},
          {"public", route.Public},
          {"time_limit_ms", limit.count()},
          {"objective_ms", route.Objective.count()},
          {"priority", workspace != nullptr && workspace->Priority
                           ? *workspace->Priority
                           : route.Priority},
          {"allowed_regions", regionList(route.AllowedRegions)}};
}

} // namespace

bool isExplain(std::string_view target) {
  return target.substr(0, target.find('?')) == ExplainPath;
}

core::Result<ExplainQuery> parseExplainQuery(std::string_view target) {
  ExplainQuery query;
  const auto begin = target.find('?');
  const std::string text(
      begin == std::string_view::npos ? "" : target.substr(begin + 1));
  const std::vector<std::string> pairs = absl::StrSplit(text, '&');
  for (const std::string &pair : pairs) {
    const auto equals = std::min(pair.find('='), pair.size());
    const std::string name = pair.substr(0, equals);
    const std::string value = support::urlDecoded(
        equals < pair.size() ? pair.substr(equals + 1) : "");
    std::int64_t deadline = 0;
    if (name == "host")
      query.Host = value.substr(0, value.rfind(':'));
    else if (name == "path")
      query.Path = value.substr(0, value.find('?'));
    else if (name == "workspace")
      query.Workspace = value;
    else if (name == "deadline_ms" && absl::SimpleAtoi(value, &deadline) &&
             deadline > 0 && deadline <= MaxDeadlineMs)
      query.Deadline = milliseconds(deadline);
    else if (name == "deadline_ms")
      return core::makeError(core::ErrorCode::BadRequest,
                             "deadline_ms is not a positive number of "
                             "milliseconds up to an hour");
  }
  if (query.Host.empty() || query.Path.empty())
    return core::makeError(core::ErrorCode::BadRequest,
                           "host and path are needed");
  return query;
}

json explainRequest(const core::ServingConfig *config,
                    const leaf::LeafDirectory &leaves,
                    const ExplainQuery &query) {
  json result{
      {"host", query.Host},
      {"path", query.Path},
      {"workspace", query.Workspace.empty() ? json() : json(query.Workspace)},
      {"failure_domain", leaves.failureDomain()},
      {"leaves_lost", leaves.link().lost()}};
  if (config == nullptr) {
    result["refusal"] = "no configuration loaded yet";
    return result;
  }
  result["config_version"] = config->Version;
  const core::RouteRule *const route =
      config->findRoute(query.Host, query.Path);
  if (route == nullptr) {
    result["refusal"] = "no route matches the host and path";
    return result;
  }
  const auto *const workspace = findWorkspaceRule(*config, query.Workspace);
  result["route"] = explainRoute(*route, workspace, query);
  if (workspace != nullptr)
    result["workspace_regions"] = regionList(workspace->AllowedRegions);
  if (const auto why = refusalOf(*config, *route, query, workspace);
      !why.empty()) {
    result["refusal"] = why;
    return result;
  }
  const core::HomeRegions homes(*route, workspace);
  const auto now = SteadyClock::now();
  std::size_t reachable = 0;
  json &services = result["services"] = json::array();
  for (const std::string &name : serviceNames(*route)) {
    services.push_back(explainService(leaves, name, *route, homes, now));
    reachable += services.back().contains("chosen") ? 1 : 0;
  }
  for (const core::WeightedService &target : route->Targets)
    for (json &service : services)
      if (service["service"] == target.Service)
        service["weight"] = target.Weight;
  result["relays"] = relaysOf(leaves, *route, homes);
  result["services_needed"] = route->sharded() ? core::minShards(*route) : 1;
  result["services_reachable"] = reachable;
  if (reachable < result["services_needed"].get<std::size_t>())
    result["refusal"] = "too few leaves are reachable";
  return result;
}

CallerAnswer answerExplain(const core::ServingConfig *config,
                           const leaf::LeafDirectory &leaves,
                           std::string_view target) {
  const auto query = parseExplainQuery(target);
  if (!query)
    return errorAnswer(http::status::bad_request, query.error().Message);
  CallerAnswer answer{http::status::ok, 11};
  answer.set(http::field::content_type, "application/json");
  answer.body() = explainRequest(config, leaves, *query)
                      .dump(-1, ' ', false, json::error_handler_t::replace);
  return answer;
}

} // namespace savorytrestle::entry
