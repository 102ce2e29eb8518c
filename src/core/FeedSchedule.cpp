#include "savorytrestle/core/FeedSchedule.h"

#include <algorithm>

namespace savorytrestle::core {

using std::chrono::milliseconds;

namespace {

/// A longer wait makes fewer calls, but a watch that the store never answers is
/// detected only after it.
constexpr milliseconds MaxLongPollWait{2000};
constexpr milliseconds MaxBatchDelay{700};
constexpr milliseconds MaxWatchReplyTimeout{1000};
constexpr milliseconds MaxStoreReplyTimeout{1500};
constexpr milliseconds MaxHostReplyTimeout{700};
constexpr milliseconds MaxStoreCallTime{300};
/// Short, so that the store is used again soon after it is reachable.
constexpr Backoff ReaderBackoff{milliseconds(50), milliseconds(400)};
/// The calls of hundreds of hosts to a store that is away would grow with their
/// number.
constexpr Backoff FollowerBackoff{milliseconds(400), milliseconds(1500)};
/// Longer than the store's, as a call to a host that doesn't answer keeps the
/// other hosts from being asked for its whole time-out.
constexpr Backoff HostBackoff{milliseconds(2000), milliseconds(10000)};
constexpr Backoff SeedBackoff{milliseconds(150), milliseconds(10000)};
/// Pause before a host that answered without an up-to-date copy is asked again:
/// it has the store's changes as soon as it reaches the store.
constexpr milliseconds NotFreshPause{500};
/// Shortest wait that the store accepts.
constexpr milliseconds MinPollWait{1};
/// Time in which a store that has failed once is asked again before other hosts
/// are: most failures are connections that were cut.
constexpr milliseconds FallbackDelay{300};

/// A backoff that leaves time for a reply and a call within the stability.
Backoff within(const Backoff &backoff, Duration stability) {
  const Duration max = 3 * stability / 8;
  return {std::min(backoff.Initial, max), std::min(backoff.Max, max)};
}

} // namespace

// Sums of the fractions: two short polls, the batch delay, the margin of the
// age, the time-out of a host and the call to the store make up the time of a
// change. Seven tenths, the time-out of a watch and the call to the store make
// up the stability, as do three quarters for a reply and a backoff, and the
// call.
FeedTiming::FeedTiming(Duration change, Duration stability)
    : ShortPollWait(std::min(change / 5, 7 * stability / 10)),
      LongPollWait(
          std::max(ShortPollWait,
                   std::min<Duration>(MaxLongPollWait, 7 * stability / 10))),
      BatchDelay(std::min<Duration>(MaxBatchDelay, change / 4)),
      FollowerBatchDelay(2 * ShortPollWait),
      MaxAge(2 * ShortPollWait + BatchDelay),
      StoreCallAge(MaxAge + change / 12),
      WatchReplyTimeout(
          std::min<Duration>(MaxWatchReplyTimeout, stability / 5)),
      StoreReplyTimeout(
          std::min<Duration>(MaxStoreReplyTimeout, 3 * stability / 8)),
      HostReplyTimeout(std::min<Duration>(MaxHostReplyTimeout, change / 6)),
      StoreCallTime(std::min<Duration>(MaxStoreCallTime,
                                       std::min(change, stability) / 10)),
      ReaderStoreBackoff(within(ReaderBackoff, stability)),
      FollowerStoreBackoff(within(FollowerBackoff, stability)) {}

// A host that follows another one takes pages of up to MaxAge, and the reply
// that brought the last one may have been under way for its whole time-out.
Duration FeedTiming::inForceAfterChange() const {
  return StoreCallAge + HostReplyTimeout + StoreCallTime;
}

// A call made just before the store's return is never answered.
Duration FeedTiming::inForceAfterReturn() const {
  const Duration lostWatch = LongPollWait + WatchReplyTimeout;
  const Duration lostRetry = StoreReplyTimeout + FollowerStoreBackoff.Max;
  return std::max(lostWatch, lostRetry) + StoreCallTime;
}

SourceFailover::SourceFailover(const std::vector<Backoff> &backoffs) {
  for (const Backoff &backoff : backoffs)
    Sources.push_back({backoff, backoff.Initial, TimePoint{}});
}

SourceFailover::Choice SourceFailover::next(TimePoint now, std::size_t begin,
                                            std::size_t end) const {
  std::size_t first = begin;
  for (std::size_t i = begin; i < end; ++i) {
    if (Sources[i].RetryAt <= now)
      return {i, now};
    if (Sources[i].RetryAt < Sources[first].RetryAt)
      first = i;
  }
  return {first, Sources[first].RetryAt};
}

void SourceFailover::onFailure(std::size_t source, TimePoint now) {
  State &state = Sources[source];
  state.RetryAt = now + state.NextBackoff;
  state.NextBackoff = std::min(state.Limits.Max, 2 * state.NextBackoff);
  state.Failed = true;
}

void SourceFailover::onSuccess(std::size_t source) {
  Sources[source].NextBackoff = Sources[source].Limits.Initial;
  Sources[source].Failed = false;
}

FeedSchedule::FeedSchedule(const FeedTiming &timing) : Timing(timing) {
  setSources({});
}

void FeedSchedule::setSources(const FeedSources &sources) {
  Sources = sources;
  Store = sources.Preferred;
  std::vector<Backoff> backoffs(sources.Preferred,
                                sources.Planned ? HostBackoff : SeedBackoff);
  backoffs.push_back(follows() ? Timing.FollowerStoreBackoff
                               : Timing.ReaderStoreBackoff);
  backoffs.resize(backoffs.size() + sources.Fallback, HostBackoff);
  Failover = SourceFailover(backoffs);
}

std::optional<FeedCall> FeedSchedule::startCall(TimePoint now) {
  if (!StoreBusy && nextStoreCallAt(now) <= now) {
    StoreBusy = true;
    return storeCall();
  }
  if (HostBusy)
    return std::nullopt;
  if (const auto host = nextHost(now); host && host->At <= now) {
    HostBusy = true;
    return FeedCall{host->Source, Timing.ShortPollWait,
                    Timing.ShortPollWait + Timing.HostReplyTimeout};
  }
  return std::nullopt;
}

bool FeedSchedule::usesLongPolls() const {
  return Sources.Planned && Sources.Preferred == 0 && !Sources.ServesOthers;
}

FeedCall FeedSchedule::storeCall() const {
  // The reply shows that the store is reachable again.
  if (storeFailed())
    return {Store, MinPollWait, Timing.StoreReplyTimeout};
  const Duration wait =
      usesLongPolls() ? Timing.LongPollWait : Timing.ShortPollWait;
  return {Store, wait, wait + Timing.WatchReplyTimeout};
}

TimePoint FeedSchedule::nextCallAt(TimePoint now) const {
  const TimePoint at = StoreBusy ? TimePoint::max() : nextStoreCallAt(now);
  if (HostBusy)
    return at;
  const auto host = nextHost(now);
  return host ? std::min(at, host->At) : at;
}

// The age of the copy is bounded whatever the preferred hosts do: one that
// answers with old pages, answers late or not at all costs no more than this.
TimePoint FeedSchedule::storeWantedAt(TimePoint now) const {
  for (std::size_t i = 0; i < Store; ++i)
    if (!Failover.hasFailed(i))
      return std::max(now, UpToDateAt + Timing.StoreCallAge);
  return now;
}

TimePoint FeedSchedule::nextStoreCallAt(TimePoint now) const {
  return std::max({storeWantedAt(now), StorePausedUntil,
                   Failover.next(now, Store, Store + 1).At});
}

TimePoint FeedSchedule::fallbackWantedAt(TimePoint now) const {
  if (!StoreFailedAt || Sources.Fallback == 0)
    return TimePoint::max();
  return std::max(storeWantedAt(now), *StoreFailedAt + FallbackDelay);
}

std::optional<SourceFailover::Choice>
FeedSchedule::nextHost(TimePoint now) const {
  std::optional<SourceFailover::Choice> choice;
  if (Store > 0)
    choice = Failover.next(now, 0, Store);
  const TimePoint wantedAt = fallbackWantedAt(now);
  if (wantedAt == TimePoint::max())
    return choice;
  auto fallback = Failover.next(now, Store + 1, Store + 1 + Sources.Fallback);
  fallback.At = std::max(fallback.At, wantedAt);
  return choice && choice->At <= fallback.At ? choice : fallback;
}

// Many hosts that have lost the one they follow ask the store instead. Their
// copies get no older than by pages of that host.
void FeedSchedule::onChanges(TimePoint now) {
  pauseStore(now + (follows() ? Timing.FollowerBatchDelay : Timing.BatchDelay));
}

void FeedSchedule::onSuccess(std::size_t source) {
  Failover.onSuccess(source);
  if (source == Store)
    StoreFailedAt.reset();
}

void FeedSchedule::onFailure(std::size_t source, TimePoint now) {
  Failover.onFailure(source, now);
  if (source == Store && !StoreFailedAt)
    StoreFailedAt = now;
}

void FeedSchedule::onNotFresh(std::size_t source, TimePoint now) {
  Failover.markFailed(source);
  Failover.holdBack(source, now + NotFreshPause);
}

} // namespace savorytrestle::core
