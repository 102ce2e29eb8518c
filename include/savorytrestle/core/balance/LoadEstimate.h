#ifndef SAVORYTRESTLE_CORE_BALANCE_LOAD_ESTIMATE_H
#define SAVORYTRESTLE_CORE_BALANCE_LOAD_ESTIMATE_H

/// @file
/// @brief Present load of a leaf, estimated from an old report and from what
/// other hosts have probably sent since. With many hosts a host hears from each
/// leaf only now and then; if all of them took old reports for the present
/// state, they would overload the same leaves in turns.

#include <optional>
#include <string_view>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Load that a leaf reported with a reply.
struct ReportedLoad {
  /// Requests that it executes.
  int Running = 0;
  /// Requests that wait for a slot.
  int Waiting = 0;
  /// Requests that it can execute concurrently.
  int Slots = 0;
  /// Time that work takes on its machine at this moment, as a multiple of the
  /// usual time; nothing if it isn't reported.
  std::optional<double> WorkTime{};
};

/// @brief Parses `running,waiting,slots` with an optional fourth figure, the
/// work time in percent of the usual one. Further figures are ignored, and a
/// malformed fourth one too.
/// @return nothing if one of the first three isn't a whole number, or negative
std::optional<ReportedLoad> parseReportedLoad(std::string_view text);

/// @brief Mean load that the other hosts put on the leaves of one service, from
/// the reports of those leaves.
class OtherHostsLoad {
public:
  /// @brief Adds a report. O(1).
  /// @param load the report
  /// @param own requests of this host that it contains
  void record(const ReportedLoad &load, int own);

  /// @brief Requests of other hosts for each slot; 0 without reports.
  double perSlot() const { return PerSlot; }

private:
  double PerSlot = 0;
  int Samples = 0;
};

/// @brief Share of reported requests that a leaf still has. O(1).
/// @param age age of the report
/// @param expected usual latency of a request
double keptShare(Duration age, Duration expected);

/// @brief Requests of other hosts at a leaf now: those that are left of a
/// report, and the mean in place of those that have ended since. O(1).
/// @param reported requests of other hosts in the report
/// @param mean mean number of requests of other hosts at such a leaf
/// @param kept see @ref keptShare; 0 if there is no report
inline double presentLoad(double reported, double mean, double kept) {
  return reported * kept + mean * (1 - kept);
}

/// @brief Work time to expect at a leaf now. It changes many times a second, so
/// that a report counts for a few hundred milliseconds.
/// @param reported the reported multiple of the usual time
/// @param age age of the report
/// @return the multiple; it tends to 1. O(1)
double presentWorkTime(double reported, Duration age);

} // namespace savorytrestle::core

#endif
