#ifndef SAVORYTRESTLE_ENTRY_REQUEST_RECORDER_H
#define SAVORYTRESTLE_ENTRY_REQUEST_RECORDER_H

/// @file
/// @brief Log lines and metrics of finished requests.

#include <utility>

#include <memory>
#include <string>
#include <vector>

#include "leaf/ServiceCall.h"
#include "support/LogRateLimiter.h"
#include "support/Metrics.h"

namespace savorytrestle::entry {

/// @brief Logs finished requests and counts them in metrics.
class RequestRecorder {
public:
  explicit RequestRecorder(support::Metrics &metrics)
      : RequestMetrics(metrics) {}

  /// @brief Records the end of a request that was started.
  /// @param context the request
  /// @param calls its calls to leaves
  /// @param shards numbers of its shards, relayed ones included
  /// @param status status of the answer; 0 if the caller had disconnected
  /// @param outcome value of the outcome in logs and metrics
  void onFinished(const leaf::CallContext &context,
                  const std::vector<std::shared_ptr<leaf::ServiceCall>> &calls,
                  const core::ShardCounts &shards, unsigned status,
                  const char *outcome);

  /// @brief Records that another host did not execute a relay.
  /// @param context the request
  /// @param call the call to the host
  /// @param status status of its answer; 0 if there was none
  void onRelayRefused(const leaf::CallContext &context,
                      const leaf::ServiceCall &call, unsigned status);

  /// @brief Records that calls are forwarded to another host, as this one
  /// reaches no leaf.
  /// @param hosts hosts of which one gets the request
  /// @param services number of the calls
  void onForwarded(const leaf::CallContext &context, const leaf::Service &hosts,
                   std::size_t services);

  /// @brief Number of forwards since the start.
  std::uint64_t forwardCount() const { return Forwards; }

  /// @brief Records that a request was refused before it was sent to any leaf.
  /// @param requestId value of its request id header
  /// @param host host name of its route; empty if no route matched
  /// @param route name of its route; empty if no route matched
  /// @param version version of the configuration; 0 if none is loaded
  /// @param status status of the answer
  /// @param reason why it was refused
  void onRefused(const std::string &requestId, const std::string &host,
                 const std::string &route, std::uint64_t version,
                 unsigned status, const std::string &reason);

private:
  support::Metrics &RequestMetrics;
  support::LogRateLimiter SuccessLogBudget;
  support::LogRateLimiter FailureLogBudget;
  std::uint64_t Forwards = 0;
};

} // namespace savorytrestle::entry

#endif
