#ifndef SAVORYTRESTLE_CORE_BALANCE_LEAF_REPORTS_H
#define SAVORYTRESTLE_CORE_BALANCE_LEAF_REPORTS_H

/// @file
/// @brief Merges what the hosts of a failure domain see of the leaves. Each of
/// many hosts sends a leaf a request only now and then; together they notice
/// within a moment that it is slow or fails.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief What hosts saw of a leaf in a short time.
struct LeafReport {
  /// Mean ratio of its latency to the expected one.
  double Slowness = 1;
  /// Share of the requests that failed; nothing if none has ended.
  std::optional<double> FailureRate{};
};

/// @brief A report with the time since its newest sample.
struct AgedLeafReport {
  LeafReport Report;
  Duration Age{};
};

/// @brief Newest reports of all hosts.
class LeafReports {
public:
  /// @brief Adds a report. O(log leaves + log hosts).
  /// @param host id of the host
  /// @param leaf id of the leaf
  /// @param report what the host saw since its last report
  /// @param now the time
  void add(const std::string &host, const std::string &leaf,
           const LeafReport &report, TimePoint now);

  /// @brief Merges the reports on each leaf so that one host alone takes no
  /// leaf out: slowness by the median, failures by the mean without the highest
  /// report, since a leaf that fails a part of its requests fails none of most
  /// hosts' few. Leaves with reports of fewer than two hosts are left out.
  /// O(reports).
  /// @param now the time; reports that are too old are dropped
  std::map<std::string, AgedLeafReport> merge(TimePoint now);

private:
  struct HostReport {
    LeafReport Report;
    TimePoint At{};
  };
  std::map<std::string, std::map<std::string, HostReport>> ByLeaf;
};

} // namespace savorytrestle::core

#endif
