#include "savorytrestle/core/HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Hedge after this many expected latencies, but within these shares of the
/// objective: a second leaf needs time to answer too.
constexpr double HedgeLatencyMultiple = 2.5;
/// With many shards nearly every request meets a straggler, so that waiting
/// costs more than the extra requests do.
constexpr std::size_t ManyShards = 20;
constexpr double ManyShardsHedgeLatencyMultiple = 1.8;
constexpr double MinHedgeObjectiveShare = 0.15;
constexpr double MaxHedgeObjectiveShare = 0.4;
/// A connection takes one round trip; a lost opening packet is sent again only
/// after a second.
constexpr milliseconds ConnectTimeout{150};
/// Time of the objective that the caller's connection and the way back take:
/// two round trips of up to 6 ms and waits for the processor.
constexpr milliseconds CallerOverhead{22};
constexpr double PartialAnswerObjectiveShare = 0.9;

} // namespace

HedgePlan planHedge(const RouteRule &route, Duration expected) {
  const double objective =
      static_cast<double>(Duration(route.Objective).count());
  const double multiple = route.Shards.size() >= ManyShards
                              ? ManyShardsHedgeLatencyMultiple
                              : HedgeLatencyMultiple;
  const double delay = std::clamp(
      multiple * static_cast<double>(expected.count()),
      MinHedgeObjectiveShare * objective, MaxHedgeObjectiveShare * objective);
  return {Duration(static_cast<Duration::rep>(delay)), ConnectTimeout};
}

std::size_t minShards(const RouteRule &route) {
  // The small term keeps 0.9 of 10 at 9 despite rounding.
  const double minimum =
      route.MinShardShare * static_cast<double>(route.Shards.size());
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(minimum - 1e-9)));
}

Duration partialAnswerDelay(const RouteRule &route) {
  const auto share = std::chrono::duration_cast<Duration>(
      route.Objective * PartialAnswerObjectiveShare);
  return std::max(Duration(route.Objective / 2),
                  std::min(share, Duration(route.Objective - CallerOverhead)));
}

CompletionDecision decideCompletion(const RouteRule &route,
                                    const ShardCounts &progress,
                                    Duration elapsed) {
  const std::size_t minimum = minShards(route);
  if (progress.Total - progress.Failed < minimum)
    return CompletionDecision::Fail;
  if (progress.Answered + progress.Failed == progress.Total)
    return CompletionDecision::Answer;
  if (elapsed >= partialAnswerDelay(route) && progress.Answered >= minimum)
    return CompletionDecision::Answer;
  return CompletionDecision::Wait;
}

} // namespace savorytrestle::core
