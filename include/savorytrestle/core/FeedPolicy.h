#ifndef SAVORYTRESTLE_CORE_FEED_POLICY_H
#define SAVORYTRESTLE_CORE_FEED_POLICY_H

/// @file
/// @brief Which hosts follow the platform's store themselves, and which hear
/// of its changes from another host. Answers deployments of many hosts, whose
/// calls to the store would grow with their number.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief A host, and where it stands.
struct FeedHost {
  std::string Id;
  std::string FailureDomain;
};

/// @brief Whom a host asks for changes.
struct FeedPlan {
  /// Hosts asked in place of the store, in this order; empty for a host that
  /// asks the store.
  std::vector<std::string> PreferredSources;
  /// Hosts asked when neither those nor the store tell anything.
  std::vector<std::string> FallbackSources;
  /// Whether other hosts ask this one.
  bool ServesOthers = false;

  bool operator==(const FeedPlan &) const = default;
};

/// @brief Plans a host's feed; hosts that know the same others come to plans
/// that fit together.
/// @param own this host
/// @param regions region of each failure domain
/// @param hosts all hosts, this one among them or not
/// @return the plan; O(n log n)
FeedPlan planFeed(const FeedHost &own,
                  const std::map<std::string, std::string> &regions,
                  const std::vector<FeedHost> &hosts);

/// @brief Times of a feed that other hosts may follow, set by how soon a
/// change must be in force.
struct FeedTiming {
  /// Makes the times.
  /// @param configApply time in which a change must be in force everywhere
  explicit FeedTiming(Duration configApply);

  /// Longest wait of a call for changes that other hosts depend on, and of
  /// their calls.
  Duration MaxPollWait;
  /// Pause after changes, in which further ones gather.
  Duration BatchDelay;
  /// What another host tells isn't believed when it is older.
  Duration MaxAge;
};

/// @brief Which of several sources is asked next: the first one that isn't
/// resting after a failure.
class SourceFailover {
public:
  /// @brief How long a source rests.
  struct Backoff {
    Duration Initial{};
    Duration Max{};
  };

  /// @brief What is to be asked, and when.
  struct Choice {
    std::size_t Source = 0;
    TimePoint At{};
  };

  /// @brief Takes the sources, most wanted first; none of them rests.
  /// @param backoffs how long each rests after a failure
  explicit SourceFailover(const std::vector<Backoff> &backoffs = {});

  /// @brief The source to ask next; O(sources).
  Choice next(TimePoint now) const;

  /// @brief A source told nothing, or too old things.
  void onFailure(std::size_t source, TimePoint now);

  /// @brief A source answered.
  void onSuccess(std::size_t source);

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
