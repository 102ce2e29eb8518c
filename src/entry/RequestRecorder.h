#ifndef SAVORYTRESTLE_ENTRY_REQUEST_RECORDER_H
#define SAVORYTRESTLE_ENTRY_REQUEST_RECORDER_H

/// @file
/// @brief What became of requests: a log line each, and metrics.

#include <utility>

#include <memory>
#include <string>
#include <vector>

#include "leaf/ServiceCall.h"
#include "support/LineBudget.h"
#include "support/Metrics.h"

namespace savorytrestle::entry {

/// @brief Logs and counts finished requests.
class RequestRecorder {
public:
  explicit RequestRecorder(support::Metrics &metrics)
      : RequestMetrics(metrics) {}

  /// @brief A request that reached its route is over.
  /// @param context the request
  /// @param calls its calls to leaves
  /// @param shards how many were asked for and answered, here or by others
  /// @param status status of the answer; 0 when its caller had left
  /// @param outcome what became of it, for logs and metrics
  void onFinished(const leaf::CallContext &context,
                  const std::vector<std::shared_ptr<leaf::ServiceCall>> &calls,
                  const core::ShardTally &shards, unsigned status,
                  const char *outcome);

  /// @brief Another host did not take a relayed request.
  /// @param context the request
  /// @param call the call to the host
  /// @param status status of its answer; 0 when there was none
  void onRelayRefused(const leaf::CallContext &context,
                      const leaf::ServiceCall &call, unsigned status);

  /// @brief A request was turned away before any leaf was asked.
  /// @param requestId its identity
  /// @param host host name of its route; empty when it has none
  /// @param route its route's name; empty when it has none
  /// @param version version of the configuration; 0 for none
  /// @param status status of the answer
  /// @param reason the reason
  void onRefused(const std::string &requestId, const std::string &host,
                 const std::string &route, std::uint64_t version,
                 unsigned status, const std::string &reason);

private:
  support::Metrics &RequestMetrics;
  support::LineBudget SuccessLogBudget;
  support::LineBudget FailureLogBudget;
};

} // namespace savorytrestle::entry

#endif
