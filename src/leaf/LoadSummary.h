#ifndef SAVORYTRESTLE_LEAF_LOAD_SUMMARY_H
#define SAVORYTRESTLE_LEAF_LOAD_SUMMARY_H

/// @file
/// @brief How well this host knows the load of its leaves, for metrics.

#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/ServingConfig.h"

namespace savorytrestle::leaf {

/// @brief Mean values over the leaves of all services of a configuration.
struct LoadSummary {
  /// Requests of other hosts for each slot, see core::OtherHostsLoad; mean of
  /// the services with leaves.
  double OthersPerSlot = 0;
  /// Age of the last load report, of the leaves that sent one.
  core::Duration MeanReportAge{};
  /// Leaves without a load report to this host.
  std::size_t Unreported = 0;
};

/// @brief Summarizes the load reports. O(leaves).
LoadSummary summarizeLoad(const LeafDirectory &leaves,
                          const core::ServingConfig &config,
                          core::TimePoint now);

} // namespace savorytrestle::leaf

#endif
