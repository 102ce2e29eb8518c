#include "savorytrestle/core/HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Hedge delay as a multiple of the expected latency. It is clamped to shares
/// of the objective, so that the second leaf has time to answer as well.
constexpr double HedgeLatencyMultiple = 2.5;
/// From this number of shards on nearly every request has a straggler, and
/// waiting costs more than the extra requests; the multiple is then lower.
constexpr std::size_t ManyShards = 20;
constexpr double ManyShardsHedgeLatencyMultiple = 1.8;
constexpr double MinHedgeObjectiveShare = 0.15;
constexpr double MaxHedgeObjectiveShare = 0.4;
/// Connecting takes one round trip; TCP resends a lost SYN only after 1 s.
constexpr milliseconds ConnectTimeout{150};
/// Part of the objective spent on the caller's connection and on returning the
/// answer: two round trips of up to 6 ms, and waits for the processor.
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
  // Without the subtrahend, 0.9 of 10 shards could be rounded up to 10.
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
