#ifndef SAVORYTRESTLE_CORE_HEDGE_POLICY_H
#define SAVORYTRESTLE_CORE_HEDGE_POLICY_H

/// @file
/// @brief When a request that hasn't been answered goes to a second leaf, and
/// when an answer is given without the shards that are still out. Answers
/// stragglers: paused and slow leaves, and rare long requests.

#include <cstddef>

#include "savorytrestle/core/ServingConfig.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Times of one request at one service, from its dispatch.
struct HedgePlan {
  /// Unanswered for so long, it goes to a second leaf too.
  Duration HedgeDelay{};
  /// A connection that isn't established by then is given up.
  Duration ConnectTimeout{};
};

/// @brief Plans the attempts of a request at one service.
/// @param route its route
/// @param expected what such requests take there
/// @return the times
HedgePlan planHedge(const RouteRule &route, Duration expected);

/// @brief How far a sharded request has come.
struct ShardCounts {
  std::size_t Total = 0;
  std::size_t Answered = 0;
  /// Given up: nothing more may be tried.
  std::size_t Failed = 0;
};

/// @brief What to do with a sharded request now.
enum class CompletionDecision {
  Wait,   ///< shards are out that can still help
  Answer, ///< answer with what is in
  Fail,   ///< the least share can't be reached any more
};

/// @brief Least number of shards in a successful answer.
std::size_t minShards(const RouteRule &route);

/// @brief When an answer of the least share is given without waiting further:
/// shortly before the route's objective, since a late answer with a few more
/// shards is worth less to its caller than one in time.
Duration partialAnswerDelay(const RouteRule &route);

/// @brief Decides on a sharded request.
/// @param route its route
/// @param progress how far it has come
/// @param elapsed time since it arrived
CompletionDecision decideCompletion(const RouteRule &route,
                                    const ShardCounts &progress,
                                    Duration elapsed);

} // namespace savorytrestle::core

#endif
