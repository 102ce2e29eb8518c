#ifndef SAVORYTRESTLE_TESTS_FEED_MODEL_H
#define SAVORYTRESTLE_TESTS_FEED_MODEL_H

/// @file
/// @brief A host that follows the store by a FeedSchedule, in virtual time,
/// with sources that are disturbed.

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "savorytrestle/core/FeedSchedule.h"

namespace savorytrestle::tests {

using core::Duration;
using core::TimePoint;

/// @brief What keeps a source, or the host itself, from its work.
enum class FeedFault {
  Silent,      ///< calls that it has or gets meanwhile are never answered
  StandsStill, ///< goes on afterwards with all that it has got
  Cut,         ///< no connection can be opened, bytes of open ones are lost
  Gone,        ///< connections are closed and refused; comes back knowing
               ///< nothing for a while
  Slow,        ///< answers late
};

/// @brief A fault of a source between two times.
struct FeedDisruption {
  std::size_t Source = 0;
  FeedFault Fault = FeedFault::Silent;
  TimePoint From{};
  TimePoint To{};

  bool covers(TimePoint at) const { return From <= at && at < To; }
};

/// @brief The model; one run for each object.
class FeedModel {
public:
  /// Number of the host itself in disruptions.
  static constexpr std::size_t Self = 99;

  FeedModel(const core::FeedTiming &timing, const core::FeedSources &sources)
      : Timing(timing), Sources(sources), Schedule(timing) {
    Schedule.setSources(sources);
  }

  std::size_t store() const { return Sources.Preferred; }
  std::size_t sourceCount() const { return store() + 1 + Sources.Fallback; }

  /// @brief Runs the host.
  /// @param changes times of the changes, ascending
  /// @param disruptions what is disturbed
  /// @param end how long to run
  /// @return when each change came into force; TimePoint::max() if it didn't
  std::vector<TimePoint> run(std::vector<TimePoint> changes,
                             std::vector<FeedDisruption> disruptions,
                             TimePoint end) {
    Changes = std::move(changes);
    Disruptions = std::move(disruptions);
    InForceAt.assign(Changes.size(), TimePoint::max());
    Now = TimePoint{};
    Schedule.onUpToDate(Now);
    while (Now < end) {
      while (const auto call = Schedule.startCall(Now))
        startCall(*call);
      TimePoint next = Schedule.nextCallAt(Now);
      if (!Events.empty())
        next = std::min(next, Events.begin()->first);
      Now = std::max(Now, awake(next));
      if (!Events.empty() && Events.begin()->first <= Now) {
        const auto event = Events.extract(Events.begin());
        event.mapped()();
      }
    }
    return InForceAt;
  }

  /// @brief Calls to the store that were made.
  std::size_t storeCalls() const { return StoreCalls; }

private:
  static constexpr auto StoreLatency = std::chrono::milliseconds(10);
  static constexpr auto HostLatency = std::chrono::milliseconds(25);
  static constexpr auto SlowLatency = std::chrono::milliseconds(200);
  static constexpr auto ConnectTimeout = std::chrono::milliseconds(700);
  /// A host that has started again has the items of the store after this.
  static constexpr auto StartTime = std::chrono::milliseconds(500);

  const FeedDisruption *disruption(std::size_t source, TimePoint at) const {
    for (const FeedDisruption &it : Disruptions)
      if (it.Source == source && it.covers(at))
        return &it;
    return nullptr;
  }

  /// The time at which the host itself does what is due at a time.
  TimePoint awake(TimePoint at) const {
    const FeedDisruption *own = disruption(Self, at);
    return own != nullptr && own->Fault == FeedFault::StandsStill ? own->To
                                                                  : at;
  }

  /// Whether the link between the host and a source carries bytes.
  bool isCut(std::size_t source, TimePoint at) const {
    for (const std::size_t end : {source, Self})
      if (const FeedDisruption *it = disruption(end, at))
        if (it->Fault == FeedFault::Cut)
          return true;
    return false;
  }

  std::size_t knownToStore(TimePoint at) const {
    return static_cast<std::size_t>(
        std::upper_bound(Changes.begin(), Changes.end(), at) - Changes.begin());
  }

  /// The last time at which a source, which reads the store, was up to date.
  TimePoint upToDateAt(std::size_t source, TimePoint at) const {
    if (source == store())
      return at;
    TimePoint recent = at - Timing.ShortPollWait - Timing.BatchDelay;
    // It is as old as the disruption of itself or of the store.
    for (const FeedDisruption &it : Disruptions)
      if ((it.Source == source || it.Source == store()) &&
          it.Fault != FeedFault::Slow && it.From <= at &&
          at < it.To + StartTime)
        recent = std::min(recent, it.From);
    return std::max(recent, TimePoint{});
  }

  void startCall(const core::FeedCall &call) {
    const bool toStore = call.Source == store();
    if (toStore)
      ++StoreCalls;
    const TimePoint timeout = Now + call.Timeout;
    const auto fail = [this, call, toStore] {
      Schedule.onCallEnded(toStore);
      Schedule.onFailure(call.Source, Now);
    };
    const FeedDisruption *fault = disruption(call.Source, Now);
    if (isCut(call.Source, Now))
      return at(std::min(timeout, Now + ConnectTimeout), fail);
    if (fault != nullptr && fault->Fault == FeedFault::Gone)
      return at(Now + std::chrono::milliseconds(1), fail);
    const auto reply = replyTime(call);
    if (!reply)
      return at(closedAt(call, timeout), fail);
    if (*reply > timeout)
      return at(timeout, fail);
    const std::size_t known = Known;
    at(*reply, [this, call, toStore, known, reply = *reply] {
      Schedule.onCallEnded(toStore);
      onReply(call.Source, known, reply);
    });
  }

  /// When the host has the reply of a call that begins now; nothing if it never
  /// comes.
  std::optional<TimePoint> replyTime(const core::FeedCall &call) const {
    const bool toStore = call.Source == store();
    const Duration latency = toStore ? StoreLatency : HostLatency;
    TimePoint at = Now;
    if (const auto *fault = disruption(call.Source, at)) {
      if (fault->Fault == FeedFault::Silent)
        return std::nullopt;
      if (fault->Fault == FeedFault::StandsStill)
        at = fault->To;
    }
    // A host without a recent copy says so at once.
    const bool fresh = at - upToDateAt(call.Source, at) <= Timing.MaxAge;
    if (fresh) {
      const TimePoint held = at + call.Wait;
      while (at < held && knownToStore(upToDateAt(call.Source, at)) <= Known)
        at += std::chrono::milliseconds(10);
    }
    for (const FeedDisruption &it : Disruptions) {
      if (it.Source != call.Source || it.To <= Now || it.From > at)
        continue;
      if (it.Fault == FeedFault::Silent || it.Fault == FeedFault::Gone)
        return std::nullopt;
      if (it.Fault == FeedFault::StandsStill)
        at = std::max(at, it.To);
    }
    if (isCut(call.Source, at))
      return std::nullopt;
    const FeedDisruption *fault = disruption(call.Source, at);
    const bool slow = fault != nullptr && fault->Fault == FeedFault::Slow;
    return at + latency + (slow ? Duration(SlowLatency) : Duration{});
  }

  /// When a call that gets no reply ends.
  TimePoint closedAt(const core::FeedCall &call, TimePoint timeout) const {
    for (const FeedDisruption &it : Disruptions)
      if (it.Source == call.Source && it.Fault == FeedFault::Gone &&
          it.From > Now)
        return std::min(timeout, it.From);
    return timeout;
  }

  void onReply(std::size_t source, std::size_t knownBefore, TimePoint reply) {
    const bool fromStore = source == store();
    const TimePoint sent = reply - (fromStore ? StoreLatency : HostLatency);
    const TimePoint current = upToDateAt(source, sent);
    const std::size_t known = knownToStore(current);
    if (sent - current > Timing.MaxAge)
      return Schedule.onNotFresh(source, Now);
    if (known < knownBefore)
      return Schedule.onFailure(source, Now);
    Schedule.onSuccess(source);
    Schedule.onUpToDate(Now - (sent - current));
    if (fromStore && known > knownBefore)
      Schedule.onChanges(Now);
    for (; Known < known; ++Known)
      InForceAt[Known] = Now;
  }

  void at(TimePoint when, std::function<void()> event) {
    Events.emplace(when, std::move(event));
  }

  const core::FeedTiming Timing;
  const core::FeedSources Sources;
  core::FeedSchedule Schedule;
  std::vector<TimePoint> Changes;
  std::vector<FeedDisruption> Disruptions;
  std::vector<TimePoint> InForceAt;
  std::multimap<TimePoint, std::function<void()>> Events;
  TimePoint Now{};
  std::size_t Known = 0;
  std::size_t StoreCalls = 0;
};

} // namespace savorytrestle::tests

#endif
