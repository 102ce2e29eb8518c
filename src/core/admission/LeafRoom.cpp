#include "savorytrestle/core/admission/LeafRoom.h"

#include <algorithm>
#include <numeric>

#include "savorytrestle/core/balance/LeafScore.h"

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Age up to which a report supports a refusal, and up to which it counts as
/// the likely state.
constexpr milliseconds MaxSupportAge{300};
constexpr milliseconds MaxLikelyAge{1000};
/// One in so many leaves of a service counts for the likely wait.
constexpr std::size_t BetterPart = 3;

/// Time until a slot is free with some requests before.
Duration waitBehind(std::size_t busy, int slots, Duration work) {
  const auto before = static_cast<double>(busy) - slots + 1;
  return before <= 0 ? Duration::zero()
                     : std::chrono::duration_cast<Duration>(
                           work * (before / static_cast<double>(slots)));
}

/// The n-th smallest wait.
Duration nthWait(std::vector<Duration> waits, std::size_t n) {
  const auto it = waits.begin() + static_cast<long>(n - 1);
  std::nth_element(waits.begin(), it, waits.end());
  return *it;
}

std::optional<Duration> meanOf(const std::vector<Duration> &waits) {
  if (waits.empty())
    return std::nullopt;
  return std::accumulate(waits.begin(), waits.end(), Duration::zero()) /
         static_cast<Duration::rep>(waits.size());
}

} // namespace

LeafLoad LeafScore::load(TimePoint now) const {
  LeafLoad load;
  load.Slots = Slots;
  load.Running = Load.Running;
  load.Waiting = Load.Waiting;
  load.QueueLimit = QueueLimit;
  load.Outstanding = Outstanding.size();
  if (LoadReceived != TimePoint{})
    load.Age = now - LoadReceived;
  // Handles rise with time, so that the newest requests come last.
  for (auto it = Outstanding.rbegin();
       it != Outstanding.rend() && it->second.SentAt > LoadReceived; ++it)
    ++load.SentSince;
  return load;
}

void LeafScore::onQueueFull(const ReportedLoad &load) {
  if (load.Waiting > 0 && load.Running >= load.Slots)
    QueueLimit = load.Waiting;
}

Room roomOf(const LeafLoad &load, Duration work) {
  Room room;
  const int slots = std::max(1, load.Slots);
  const bool likely = load.Age && *load.Age <= MaxLikelyAge;
  std::size_t busy = load.Outstanding;
  if (likely)
    busy = std::max(busy, static_cast<std::size_t>(std::max(0, load.Running) +
                                                   std::max(0, load.Waiting)) +
                              load.SentSince);
  if (likely || busy > static_cast<std::size_t>(slots))
    room.LikelyWait = waitBehind(busy, slots, work);
  if (!load.Age || *load.Age > MaxSupportAge)
    return room;
  // What the leaf has executed since the report no longer waits. Requests of
  // other hosts since then only prolong the wait.
  room.LeastWait = std::max(Duration::zero(), *room.LikelyWait - *load.Age);
  const auto waiting =
      std::max(0, load.Waiting) + static_cast<int>(load.SentSince);
  room.Full = load.QueueLimit && waiting >= *load.QueueLimit;
  return room;
}

Room roomOfAny(const std::vector<Room> &leaves) {
  if (leaves.empty())
    return {};
  Room best{true, Duration::max(), std::nullopt};
  std::vector<Duration> likely;
  for (const Room &leaf : leaves) {
    best.Full &= leaf.Full;
    best.LeastWait = std::min(best.LeastWait, leaf.LeastWait);
    if (leaf.LikelyWait)
      likely.push_back(*leaf.LikelyWait);
  }
  // Hosts that choose at once by old reports spread over the better leaves.
  std::sort(likely.begin(), likely.end());
  likely.resize((likely.size() + BetterPart - 1) / BetterPart);
  best.LikelyWait = meanOf(likely);
  return best;
}

Room roomOfSome(const std::vector<Room> &services, std::size_t needed) {
  if (needed == 0 || needed > services.size())
    return {};
  std::vector<Duration> least;
  std::vector<Duration> likely;
  std::size_t withRoom = 0;
  for (const Room &service : services) {
    least.push_back(service.LeastWait);
    withRoom += service.Full ? 0 : 1;
    if (service.LikelyWait)
      likely.push_back(*service.LikelyWait);
  }
  Room room{withRoom < needed, nthWait(std::move(least), needed), std::nullopt};
  // The mean is steadier than the wait at the shard that decides, and services
  // without reports are taken to be like the others.
  room.LikelyWait = meanOf(likely);
  return room;
}

} // namespace savorytrestle::core
