#ifndef SAVORYTRESTLE_CORE_PLACEMENT_HOME_REGIONS_H
#define SAVORYTRESTLE_CORE_PLACEMENT_HOME_REGIONS_H

/// @file
/// @brief The regions in which a request may be served.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::core {

/// @brief Regions that a route and a workspace allow; where both name regions,
/// both bind.
class HomeRegions {
public:
  /// @brief Allows all regions.
  HomeRegions() = default;

  /// @brief The regions of a request. O(regions in its square).
  /// @param route its route
  /// @param workspace its workspace, or null
  HomeRegions(const RouteRule &route, const WorkspaceRule *workspace);

  /// @brief Whether any region is excluded.
  bool restricted() const { return Regions.has_value(); }

  /// @brief Whether the request may be served in a region. O(regions).
  /// @param region the region; empty if it isn't known, which only a request
  /// without restriction allows
  bool allows(std::string_view region) const;

private:
  /// Unset if all are allowed.
  std::optional<std::vector<std::string>> Regions;
};

} // namespace savorytrestle::core

#endif
