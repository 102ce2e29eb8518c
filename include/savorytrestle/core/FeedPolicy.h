#ifndef SAVORYTRESTLE_CORE_FEED_POLICY_H
#define SAVORYTRESTLE_CORE_FEED_POLICY_H

/// @file
/// @brief Which hosts read changes from the platform's store themselves and
/// which get them from another host, so that the calls to the store do not grow
/// in proportion to the number of hosts.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief A host and its failure domain.
struct FeedHost {
  std::string Id;
  std::string FailureDomain;
};

/// @brief The sources from which a host gets changes.
struct FeedPlan {
  /// Hosts used in place of the store, in this order; empty for a host that
  /// reads the store.
  std::vector<std::string> PreferredSources;
  /// Hosts used, in this order, while neither those nor the store answer.
  std::vector<std::string> FallbackSources;
  /// Whether other hosts get changes from this one.
  bool ServesOthers = false;

  bool operator==(const FeedPlan &) const = default;
};

/// @brief Plans the sources of a host. Hosts with the same view of the fleet
/// get plans that are consistent with each other.
/// @param own this host
/// @param regions region of each failure domain
/// @param hosts all hosts, this one among them or not
/// @return the plan; O(n log n)
FeedPlan planFeed(const FeedHost &own,
                  const std::map<std::string, std::string> &regions,
                  const std::vector<FeedHost> &hosts);

/// @brief Times of the feed between hosts, derived from the time in which a
/// change must be in force.
struct FeedTiming {
  /// Derives the times.
  /// @param configApply time in which a change must be in force everywhere
  explicit FeedTiming(Duration configApply);

  /// Longest wait of a long poll for changes, by a host that serves others and
  /// by the hosts that it serves.
  Duration ShortPollWait;
  /// Pause after a change, in which further changes are collected.
  Duration BatchDelay;
  /// Age past which an answer of another host is discarded.
  Duration MaxAge;
};

/// @brief Selects the hosts that collect the reports on leaves of a failure
/// domain, the preferred one first: the first two by id.
/// @param own this host
/// @param hosts all hosts
/// @return their ids; none in a domain of few hosts, each of which sees the
/// leaves often enough. O(hosts log hosts)
std::vector<std::string> planCollectors(const FeedHost &own,
                                        const std::vector<FeedHost> &hosts);

/// @brief Selects the source to use next: the first one that is not in backoff
/// after a failure.
class SourceFailover {
public:
  /// @brief Bounds of a source's backoff; it doubles with each failure.
  struct Backoff {
    Duration Initial{};
    Duration Max{};
  };

  /// @brief The source to use and the time from which to use it.
  struct Choice {
    std::size_t Source = 0;
    TimePoint At{};
  };

  /// @brief Takes the sources, most preferred first; none of them is in
  /// backoff.
  /// @param backoffs bounds of each source's backoff
  explicit SourceFailover(const std::vector<Backoff> &backoffs = {});

  /// @brief The source to use next; O(sources).
  Choice next(TimePoint now) const;

  /// @brief A source did not answer, or its answer was too old.
  void onFailure(std::size_t source, TimePoint now);

  /// @brief A source answered.
  void onSuccess(std::size_t source);

  /// @brief Keeps a source from being used before a time, unless it is the
  /// first that may be.
  void holdBack(std::size_t source, TimePoint until) {
    Sources[source].RetryAt = std::max(Sources[source].RetryAt, until);
  }

private:
  struct State {
    Backoff Limits;
    Duration NextBackoff{};
    TimePoint RetryAt{};
  };

  std::vector<State> Sources;
};

} // namespace savorytrestle::core

#endif
