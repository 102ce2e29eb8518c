#ifndef SAVORYTRESTLE_CORE_FEED_SCHEDULE_H
#define SAVORYTRESTLE_CORE_FEED_SCHEDULE_H

/// @file
/// @brief When a host calls which source of changes, so that each change is in
/// force in time whichever sources don't answer.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Bounds of a source's backoff; it doubles with each failure.
struct Backoff {
  Duration Initial{};
  Duration Max{};
};

/// @brief Waits and time-outs of the feed, derived from the times within which
/// a change must be in force.
struct FeedTiming {
  /// @brief Derives the times.
  /// @param change time in which a change must be in force everywhere
  /// @param stability time after a disruption of the store within which each
  /// change must be in force again
  FeedTiming(Duration change, Duration stability);

  /// @brief Longest time from a change until it is in force, while the store
  /// answers; never more than the time given.
  Duration inForceAfterChange() const;

  /// @brief Longest time from the store's return until each change that is due
  /// is in force; never more than the stability given.
  Duration inForceAfterReturn() const;

  /// Longest wait of a long poll for changes, by a host that serves others and
  /// by the hosts that it serves.
  Duration ShortPollWait;
  /// Longest wait of a watch of the store, by a host that serves no others.
  Duration LongPollWait;
  /// Pause after a change, in which further changes are collected: on a host
  /// that reads the store, and on one that asks it while those that it follows
  /// fail.
  Duration BatchDelay;
  Duration FollowerBatchDelay;
  /// Age past which an answer of another host is discarded.
  Duration MaxAge;
  /// Age of its copy past which a host that follows another one asks the store.
  Duration StoreCallAge;
  /// Time allowed for a reply in addition to the wait that was requested: of a
  /// watch, of any other call to the store, and of a call to another host.
  Duration WatchReplyTimeout;
  Duration StoreReplyTimeout;
  Duration HostReplyTimeout;
  /// Time that a call to a store that answers takes at most.
  Duration StoreCallTime;
  /// Backoff of the store on a host that reads it, and on one that follows
  /// another host.
  Backoff ReaderStoreBackoff;
  Backoff FollowerStoreBackoff;
};

/// @brief Selects a source among several: the first one that is not in backoff
/// after a failure.
class SourceFailover {
public:
  /// @brief The source to use and the time from which to use it.
  struct Choice {
    std::size_t Source = 0;
    TimePoint At{};
  };

  /// @brief Takes the sources, most preferred first; none of them is in
  /// backoff.
  /// @param backoffs bounds of each source's backoff
  explicit SourceFailover(const std::vector<Backoff> &backoffs = {});

  /// @brief The source to use next out of a non-empty range; O(sources).
  Choice next(TimePoint now, std::size_t begin, std::size_t end) const;

  /// @brief A source did not answer, or its answer was too old.
  void onFailure(std::size_t source, TimePoint now);

  /// @brief A source answered.
  void onSuccess(std::size_t source);

  /// @brief Keeps a source from being used before a time, unless it is the
  /// first that may be.
  void holdBack(std::size_t source, TimePoint until) {
    Sources[source].RetryAt = std::max(Sources[source].RetryAt, until);
  }

  /// @brief A source answered that it has no recent copy.
  void markFailed(std::size_t source) { Sources[source].Failed = true; }

  /// @brief Whether the last call to a source failed.
  bool hasFailed(std::size_t source) const { return Sources[source].Failed; }

private:
  struct State {
    Backoff Limits;
    Duration NextBackoff{};
    TimePoint RetryAt{};
    bool Failed = false;
  };

  std::vector<State> Sources;
};

/// @brief Number and use of the sources of a host.
struct FeedSources {
  /// Hosts used in place of the store; they come first.
  std::size_t Preferred = 0;
  /// Hosts used while neither those nor the store, which comes between them,
  /// answer.
  std::size_t Fallback = 0;
  /// Whether the hosts are those of a plan, or seeds.
  bool Planned = false;
  /// Whether other hosts get changes from this one.
  bool ServesOthers = false;
};

/// @brief A call to make.
struct FeedCall {
  /// Number of the source.
  std::size_t Source = 0;
  /// How long the reply may be held back while there are no changes.
  Duration Wait{};
  /// Time after which the call has failed.
  Duration Timeout{};
};

/// @brief Decides which calls a host makes. Load that it answers: sources that
/// fall silent together, so that their time-outs must not add up. The store and
/// the hosts are called independently of each other: at most one call to the
/// store and one to a host are in flight.
class FeedSchedule {
public:
  /// @brief Makes a schedule whose only source is the store.
  explicit FeedSchedule(const FeedTiming &timing);

  /// @brief Replaces the sources, which are numbered in the order of
  /// @ref FeedSources. Calls in flight remain.
  void setSources(const FeedSources &sources);

  /// @brief Starts the next call that is due; to be repeated until there is
  /// none. O(sources).
  std::optional<FeedCall> startCall(TimePoint now);

  /// @brief When a call will be due if none in flight ends before; O(sources).
  /// @return the time; TimePoint::max() if there is none
  TimePoint nextCallAt(TimePoint now) const;

  /// @brief A call has ended; to be called before its result is recorded.
  /// @param toStore whether it was made to the store
  void onCallEnded(bool toStore) { (toStore ? StoreBusy : HostBusy) = false; }

  /// @brief The copy is known to have been up to date at a time.
  void onUpToDate(TimePoint at) { UpToDateAt = std::max(UpToDateAt, at); }

  /// @brief A source answered.
  void onSuccess(std::size_t source);

  /// @brief A source did not answer, or its answer was too old.
  void onFailure(std::size_t source, TimePoint now);

  /// @brief A host answered that it has no recent copy.
  void onNotFresh(std::size_t source, TimePoint now);

  /// @brief The store has sent changes: collects further ones before the next
  /// call.
  void onChanges(TimePoint now);

  /// @brief Keeps the store from being called before a time.
  void pauseStore(TimePoint until) { StorePausedUntil = until; }

  /// @brief Whether the last call to the store failed.
  bool storeFailed() const { return StoreFailedAt.has_value(); }

  /// @brief Whether a watch of the store waits for LongPollWait.
  bool usesLongPolls() const;

private:
  /// Whether this host gets changes from other hosts in place of the store.
  bool follows() const { return Sources.Planned && Sources.Preferred > 0; }
  FeedCall storeCall() const;
  /// When the copy is too old, or its sources fail, without the store.
  TimePoint storeWantedAt(TimePoint now) const;
  /// When the store may be called.
  TimePoint nextStoreCallAt(TimePoint now) const;
  /// When the fallback sources are to be called, apart from their backoff.
  TimePoint fallbackWantedAt(TimePoint now) const;
  /// The host to call next, or nothing if there is none.
  std::optional<SourceFailover::Choice> nextHost(TimePoint now) const;

  const FeedTiming Timing;
  FeedSources Sources;
  SourceFailover Failover;
  /// Number of the store.
  std::size_t Store = 0;
  bool StoreBusy = false;
  bool HostBusy = false;
  TimePoint UpToDateAt{};
  TimePoint StorePausedUntil{};
  /// When the first of the failed calls to the store in a row ended.
  std::optional<TimePoint> StoreFailedAt;
};

} // namespace savorytrestle::core

#endif
