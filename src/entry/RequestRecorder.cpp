#include "entry/RequestRecorder.h"

#include <string_view>

#include "support/Log.h"

namespace savorytrestle::entry {

using SteadyClock = std::chrono::steady_clock;

void RequestRecorder::onFinished(
    const leaf::CallContext &context,
    const std::vector<std::shared_ptr<leaf::ServiceCall>> &calls,
    const core::ShardCounts &shards, unsigned status, const char *outcome) {
  const auto now = SteadyClock::now();
  const auto elapsed = now - context.Start;
  const core::RouteRule &route = context.Route;
  int attempts = 0;
  for (const auto &call : calls)
    attempts += call->attempts();
  // The host name stands for the workspace: all its callers share it.
  RequestMetrics.countRequest(route.Host, route.Name, outcome, elapsed);
  if (route.sharded())
    RequestMetrics.countShards(route.Host,
                               static_cast<std::uint32_t>(shards.Total),
                               static_cast<std::uint32_t>(shards.Answered));
  if (const auto firstAttempts = static_cast<int>(calls.size());
      attempts > firstAttempts)
    RequestMetrics.countExtraAttempts(
        route.Host, static_cast<std::uint32_t>(attempts - firstAttempts));
  const bool succeeded = std::string_view(outcome) == "ok";
  if (!(succeeded ? SuccessLogBudget : FailureLogBudget).allowLine(now))
    return;
  std::string failures;
  for (const auto &call : calls) {
    const bool answered =
        call->ended() && call->end() == leaf::CallEnd::Answered;
    if (answered && call->attempts() == 1)
      continue;
    // Calls that succeeded at the first attempt are left out to keep lines
    // short.
    if (!failures.empty())
      failures += ';';
    failures += call->serviceName() + ":" + call->leafId() + ":" +
                std::to_string(call->attempts()) + ":" + call->reason();
  }
  support::LogLine line("request_done");
  line.with("request", context.RequestId)
      .with("route", context.Route.Name)
      .with("version", context.Config->Version)
      .with("outcome", outcome)
      .with("status", status)
      .with("calls", calls.size())
      .with("shards", shards.Total)
      .with("answered", shards.Answered)
      .with("attempts", attempts)
      .with("elapsed", elapsed)
      .with("deadline", context.Deadline - context.Start);
  if (!failures.empty())
    line.with("trouble", failures);
}

void RequestRecorder::onRelayRefused(const leaf::CallContext &context,
                                     const leaf::ServiceCall &call,
                                     unsigned status) {
  if (!FailureLogBudget.allowLine(SteadyClock::now()))
    return;
  support::LogLine("relay_refused")
      .with("request", context.RequestId)
      .with("route", context.Route.Name)
      .with("version", context.Config->Version)
      .with("hosts", call.serviceName())
      .with("last", call.leafId())
      .with("status", status)
      .with("why", call.reason());
}

void RequestRecorder::onForwarded(const leaf::CallContext &context,
                                  const leaf::Service &hosts,
                                  std::size_t services) {
  ++Forwards;
  if (!FailureLogBudget.allowLine(SteadyClock::now()))
    return;
  support::LogLine("request_forwarded")
      .with("request", context.RequestId)
      .with("route", context.Route.Name)
      .with("hosts", hosts.Name)
      .with("calls", services);
}

void RequestRecorder::onRefused(const std::string &requestId,
                                const std::string &host,
                                const std::string &route, std::uint64_t version,
                                unsigned status, const std::string &reason) {
  RequestMetrics.countRequest(host, route, "turned_away",
                              std::chrono::nanoseconds(0));
  if (!FailureLogBudget.allowLine(SteadyClock::now()))
    return;
  support::LogLine("request_turned_away")
      .with("request", requestId)
      .with("route", route)
      .with("version", version)
      .with("status", status)
      .with("why", reason);
}

} // namespace savorytrestle::entry
