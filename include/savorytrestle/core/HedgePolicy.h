#ifndef SAVORYTRESTLE_CORE_HEDGE_POLICY_H
#define SAVORYTRESTLE_CORE_HEDGE_POLICY_H

/// @file
/// @brief When to hedge an unanswered request, and when to answer a sharded
/// request without its outstanding shards. Both limit the effect of stragglers:
/// paused and slow leaves, and rare long requests.

#include <cstddef>

#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Time limits of one request at one service, from its dispatch.
struct HedgePlan {
  /// Time without an answer after which the request is also sent to a second
  /// leaf.
  Duration HedgeDelay{};
  /// Time within which the connection must be established.
  Duration ConnectTimeout{};
};

/// @brief Computes the time limits of a request at one service.
/// @param route the route of the request
/// @param expected expected latency of such requests at that service
/// @return the time limits
HedgePlan planHedge(const RouteRule &route, Duration expected);

/// @brief Progress of a sharded request, as numbers of shards.
struct ShardCounts {
  std::size_t Total = 0;
  std::size_t Answered = 0;
  /// Shards for which no further attempt is allowed.
  std::size_t Failed = 0;
};

/// @brief Next step of a sharded request.
enum class CompletionDecision {
  Wait,   ///< outstanding shards may still be answered
  Answer, ///< answer with the shards answered so far
  Fail,   ///< the minimum number of shards can no longer be reached
};

/// @brief Minimum number of shards in a successful answer.
std::size_t minShards(const RouteRule &route);

/// @brief Time after which a request with the minimum number of shards is
/// answered without waiting for the others. It ends shortly before the route's
/// objective: an answer in time is worth more to the caller than a late one
/// with a few more shards.
Duration partialAnswerDelay(const RouteRule &route);

/// @brief Decides whether to answer, fail or continue a sharded request.
/// @param route the route of the request
/// @param progress its shards by state
/// @param elapsed time since its arrival
CompletionDecision decideCompletion(const RouteRule &route,
                                    const ShardCounts &progress,
                                    Duration elapsed);

} // namespace savorytrestle::core

#endif
