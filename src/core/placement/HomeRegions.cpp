#include "savorytrestle/core/placement/HomeRegions.h"

#include <algorithm>

namespace savorytrestle::core {

HomeRegions::HomeRegions(const RouteRule &route,
                         const WorkspaceRule *workspace) {
  if (!route.AllowedRegions.empty())
    Regions = route.AllowedRegions;
  if (workspace == nullptr || workspace->AllowedRegions.empty())
    return;
  const auto &own = workspace->AllowedRegions;
  if (!Regions) {
    Regions = own;
    return;
  }
  std::erase_if(*Regions, [&own](const std::string &region) {
    return std::find(own.begin(), own.end(), region) == own.end();
  });
}

bool HomeRegions::allows(std::string_view region) const {
  return !Regions ||
         (!region.empty() && std::find(Regions->begin(), Regions->end(),
                                       region) != Regions->end());
}

} // namespace savorytrestle::core
