#include "entry/RelayRequest.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include "leaf/RelayHeaders.h"
#include "support/BeastStringView.h"

namespace savorytrestle::entry {

using leaf::RelayMaxLeavesHeader;
using leaf::RelayPartHeader;
using leaf::RelayShardsHeader;
using leaf::RelayVersionHeader;
using leaf::RelayWorkspaceHeader;

namespace {

/// Leaves out the shards of a route that a relay doesn't name.
/// @param indices indices of the shards, separated by commas; others are
/// skipped, and those that are named again
void keepShards(core::RouteRule &route, std::string_view indices) {
  const auto all = std::exchange(route.Shards, {});
  // The relaying host checks the share of all shards that answered.
  route.MinShardShare = 0;
  std::set<std::size_t> named;
  for (const auto text : absl::StrSplit(std::string(indices), ',')) {
    std::size_t i = 0;
    if (absl::SimpleAtoi(text, &i) && i < all.size() && named.insert(i).second)
      route.Shards.push_back(all[i]);
  }
}

} // namespace

bool isRelay(const CallerRequest &request) {
  return request.find(RelayVersionHeader) != request.end();
}

void removeRelayHeaders(CallerRequest &request) {
  request.erase(RelayVersionHeader);
  request.erase(RelayShardsHeader);
  request.erase(RelayMaxLeavesHeader);
  request.erase(RelayWorkspaceHeader);
  request.erase(RelayPartHeader);
}

std::shared_ptr<const core::RouteRule>
routeForRelay(const core::RouteRule &route, const CallerRequest &request) {
  const auto shards = request.find(RelayShardsHeader);
  const auto maxLeaves = request.find(RelayMaxLeavesHeader);
  const auto part = request.find(RelayPartHeader);
  if (shards == request.end() && maxLeaves == request.end() &&
      part == request.end())
    return nullptr;
  auto derived = std::make_shared<core::RouteRule>(route);
  if (std::size_t i = 0;
      part != request.end() &&
      absl::SimpleAtoi(
          absl::string_view(part->value().data(), part->value().size()), &i) &&
      i < route.Targets.size())
    derived->Targets = {route.Targets[i]};
  if (shards != request.end())
    keepShards(*derived, support::toStringView(shards->value()));
  int most = 0;
  if (maxLeaves != request.end() &&
      absl::SimpleAtoi(absl::string_view(maxLeaves->value().data(),
                                         maxLeaves->value().size()),
                       &most))
    derived->MaxLeaves = std::clamp(most, 1, route.MaxLeaves);
  return derived;
}

std::shared_ptr<const leaf::CallContext>
makeRelayContext(const leaf::CallContext &direct,
                 const std::vector<std::size_t> &shards, int maxLeaves,
                 std::optional<std::size_t> part) {
  auto route = std::make_shared<core::RouteRule>(direct.Route);
  // The other host hedges and retries; doing so here too would double the load.
  route->Idempotent = false;
  route->MaxLeaves = 1;
  leaf::LeafRequest request = direct.Request;
  request.set(RelayVersionHeader, std::to_string(direct.Config->Version));
  if (!shards.empty())
    request.set(RelayShardsHeader, absl::StrJoin(shards, ","));
  if (maxLeaves < direct.Route.MaxLeaves)
    request.set(RelayMaxLeavesHeader, std::to_string(maxLeaves));
  if (part)
    request.set(RelayPartHeader, std::to_string(*part));
  if (direct.Workspace != nullptr)
    request.set(RelayWorkspaceHeader, direct.Workspace->Name);
  const core::RouteRule &rule = *route;
  return std::make_shared<const leaf::CallContext>(leaf::CallContext{
      direct.Leaves, direct.Names, direct.Config, rule, std::move(route),
      std::move(request), direct.RequestId, direct.Fingerprint,
      rule.sharded() ? direct.Names.PartSignatures : direct.Names.LeafSignature,
      direct.Start, direct.Deadline, false, true, 0, direct.Workspace,
      direct.Homes});
}

} // namespace savorytrestle::entry
