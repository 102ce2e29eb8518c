#include "registry/DepartureNotices.h"

#include <algorithm>

namespace savorytrestle::registry {

using SteadyClock = std::chrono::steady_clock;

DepartureNotices::DepartureNotices(boost::asio::io_context &io,
                                   leaf::LeafDirectory &leaves,
                                   PublishHandler onPublish)
    : Timer(io), Leaves(leaves), OnPublish(std::move(onPublish)) {}

void DepartureNotices::onLeaving(const core::LeafRun &run) {
  Pending.emplace(run, SteadyClock::now() + core::departureNoticeDelay(
                                                HostCount, Leaves.draw()));
  startTimer();
}

void DepartureNotices::onPublished(const std::vector<core::LeafRun> &runs) {
  for (const core::LeafRun &run : runs) {
    Pending.erase(run);
    Leaves.markDeparted(run);
  }
}

void DepartureNotices::startTimer() {
  if (TimerRunning || Pending.empty())
    return;
  TimerRunning = true;
  const auto next = std::min_element(
      Pending.begin(), Pending.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  Timer.expires_at(next->second);
  Timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        self->TimerRunning = false;
        if (!ec)
          self->publishDue();
      });
}

void DepartureNotices::publishDue() {
  const auto now = SteadyClock::now();
  std::vector<core::LeafRun> due;
  for (auto it = Pending.begin(); it != Pending.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    // The leaf's own entry tells the other hosts, as soon as it says so.
    if (Leaves.listedAsReady(it->first))
      due.push_back(it->first);
    it = Pending.erase(it);
  }
  if (!due.empty())
    OnPublish(due);
  startTimer();
}

} // namespace savorytrestle::registry
