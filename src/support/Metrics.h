#ifndef SAVORYTRESTLE_SUPPORT_METRICS_H
#define SAVORYTRESTLE_SUPPORT_METRICS_H

/// @file
/// @brief The process's metrics, stored with prometheus-cpp.

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace savorytrestle::support {

/// @brief All metric families of a host; thread-safe.
class Metrics {
public:
  Metrics();

  /// @brief Counts a caller request.
  /// @param workspace its workspace
  /// @param route its route
  /// @param outcome "ok" or the error code's name
  /// @param latency from receipt to answer
  void countRequest(const std::string &workspace, const std::string &route,
                    const std::string &outcome,
                    std::chrono::nanoseconds latency);

  /// @brief Counts the shards of a search and those in its answer.
  /// @param workspace the workspace
  /// @param total shards of the snapshot
  /// @param answered shards in the answer
  void countShards(const std::string &workspace, std::uint32_t total,
                   std::uint32_t answered);

  /// @brief Counts an attempt on a leaf.
  /// @param result "ok" or the failure's name
  void countAttempt(const std::string &result);

  /// @brief Counts extra attempts (hedges, retries, restarts).
  /// @param workspace the workspace
  /// @param count number of extra attempts
  void countExtraAttempts(const std::string &workspace, std::uint32_t count);

  /// @brief Counts a decision of the admission by load.
  /// @param route the request's route
  /// @param decision "held", or "refused_" and the reason
  void countAdmission(const std::string &route, const std::string &decision);

  /// @brief Sets a gauge without labels.
  /// @param name its name
  /// @param help its help text
  /// @param value its value
  void setGauge(const std::string &name, const std::string &help, double value);

  /// @brief Sets gauges with the label "workspace".
  /// @param name their name
  /// @param help their help text
  /// @param values value of each workspace; gauges of others are removed
  void setWorkspaceGauges(const std::string &name, const std::string &help,
                          const std::map<std::string, double> &values);

  /// @brief All metrics in the Prometheus text format.
  /// @return the text
  std::string text() const;

private:
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Histogram> &Latency;
  prometheus::Family<prometheus::Counter> &ShardsTotal;
  prometheus::Family<prometheus::Counter> &ShardsAnswered;
  prometheus::Family<prometheus::Counter> &Attempts;
  prometheus::Family<prometheus::Counter> &ExtraAttempts;
  std::mutex WorkspaceGaugesMutex;
  /// Gauges of the last call, by name.
  std::map<std::string, std::vector<prometheus::Gauge *>> WorkspaceGauges;
  prometheus::Family<prometheus::Counter> &Admission;
};

} // namespace savorytrestle::support

#endif
