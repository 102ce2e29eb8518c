#ifndef SAVORYTRESTLE_CORE_ADMISSION_WORK_TIMES_H
#define SAVORYTRESTLE_CORE_ADMISSION_WORK_TIMES_H

/// @file
/// @brief How long leaves of a service execute requests, without the time that
/// these wait.

#include <map>
#include <string>
#include <string_view>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Estimates from the latencies of answered requests and the load that
/// leaves report with the answers.
class WorkTimes {
public:
  /// @brief Adds an answered request. O(routes of the service).
  /// @param route name of its route
  /// @param latency time from dispatch to answer
  /// @param waiting requests that the leaf queued at its answer
  /// @param slots requests that it executes concurrently
  void record(const std::string &route, Duration latency, int waiting,
              int slots);

  /// @brief Mean time of a route's requests; zero if unknown.
  Duration of(std::string_view route) const;

  /// @brief Mean time of the requests of all routes, by how often this host
  /// sends them; zero if unknown. O(routes of the service)
  Duration mean() const;

private:
  struct Estimate {
    Duration Mean{};
    /// Recent number of requests.
    double Weight = 0;
  };
  std::map<std::string, Estimate, std::less<>> ByRoute;
};

} // namespace savorytrestle::core

#endif
