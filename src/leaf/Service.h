#ifndef SAVORYTRESTLE_LEAF_SERVICE_H
#define SAVORYTRESTLE_LEAF_SERVICE_H

/// @file
/// @brief One service of the configuration, or the hosts of a failure domain.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "leaf/Leaf.h"
#include "savorytrestle/core/admission/WorkTimes.h"
#include "savorytrestle/core/rates/SharedRetryBudget.h"

namespace savorytrestle::leaf {

/// @brief One service: its leaves, and the state that its requests share.
struct Service {
  std::string Name;
  std::vector<std::shared_ptr<Leaf>> Leaves;
  core::SharedRetryBudget RetryBudget;
  /// When each failure domain was last seen with a leaf.
  std::map<std::string, core::TimePoint> DomainLastSeen;
  /// Expected latency of each route's requests, by the route's name.
  std::map<std::string, core::ExpectedLatency, std::less<>> Latencies;
  /// Load that the other hosts put on the leaves.
  core::OtherHostsLoad OthersLoad;
  /// How long leaves execute requests, for admission.
  core::WorkTimes Work;
  /// Connections that each leaf accepts from all hosts; 0 if unset, in which
  /// case the default of Leaf holds.
  int MaxConnections = 0;
  /// Bound on the requests to cold leaves.
  core::ColdLeafRule Cold;
};

} // namespace savorytrestle::leaf

#endif
