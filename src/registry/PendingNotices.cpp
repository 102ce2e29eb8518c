#include "registry/PendingNotices.h"

#include <algorithm>

namespace savorytrestle::registry {

using SteadyClock = std::chrono::steady_clock;

PendingNotices::PendingNotices(boost::asio::io_context &io, DueHandler onDue)
    : Timer(io), OnDue(std::move(onDue)) {}

void PendingNotices::add(const core::LeafRun &run, double draw) {
  DueAt.emplace(run, SteadyClock::now() +
                         core::departureNoticeDelay(HostCount, draw));
  startTimer();
}

void PendingNotices::startTimer() {
  if (TimerRunning || DueAt.empty())
    return;
  TimerRunning = true;
  const auto next = std::min_element(
      DueAt.begin(), DueAt.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  Timer.expires_at(next->second);
  Timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!self)
          return;
        self->TimerRunning = false;
        if (!ec)
          self->handleDue();
      });
}

void PendingNotices::handleDue() {
  const auto now = SteadyClock::now();
  std::vector<core::LeafRun> due;
  for (auto it = DueAt.begin(); it != DueAt.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    due.push_back(it->first);
    it = DueAt.erase(it);
  }
  if (!due.empty())
    OnDue(due);
  startTimer();
}

} // namespace savorytrestle::registry
