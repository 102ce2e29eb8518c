#include "savorytrestle/core/ServingConfig.h"

#include <algorithm>

namespace savorytrestle::core {

void ServingConfig::buildIndex() {
  ByHost.clear();
  for (const RouteRule &route : Routes)
    ByHost[route.Host].push_back(&route);
  for (auto &[host, routes] : ByHost)
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteRule *a, const RouteRule *b) {
                       return a->PathPrefix.size() > b->PathPrefix.size();
                     });
}

const RouteRule *ServingConfig::findRoute(std::string_view host,
                                          std::string_view path) const {
  const auto it = ByHost.find(host);
  if (it == ByHost.end())
    return nullptr;
  for (const RouteRule *route : it->second)
    if (path.starts_with(route->PathPrefix))
      return route;
  return nullptr;
}

} // namespace savorytrestle::core
