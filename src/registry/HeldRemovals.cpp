#include "registry/HeldRemovals.h"

namespace savorytrestle::registry {

using SteadyClock = std::chrono::steady_clock;

HeldRemovals::HeldRemovals(boost::asio::io_context &io,
                           core::Duration graceTime, RemoveHandler onRemove)
    : Timer(io), GracePeriod(graceTime), OnRemove(std::move(onRemove)) {}

void HeldRemovals::onStoreReachable() {
  GracePeriod.onStoreReachable(SteadyClock::now());
}

void HeldRemovals::onRemovals(std::size_t removed, std::size_t known) {
  GracePeriod.onRemovalBatch(removed, known, SteadyClock::now());
}

void HeldRemovals::onRemoved(const std::string &id) {
  if (GracePeriod.onRemoved(id, SteadyClock::now()))
    return OnRemove(id, false);
  startTimer();
}

void HeldRemovals::startTimer() {
  if (TimerRunning)
    return;
  TimerRunning = true;
  Timer.expires_at(GracePeriod.graceEnd());
  Timer.async_wait([self = shared_from_this()](
                       const boost::system::error_code &ec) {
    self->TimerRunning = false;
    if (ec)
      return;
    for (const std::string &id : self->GracePeriod.takeDue(SteadyClock::now()))
      self->OnRemove(id, true);
    if (self->GracePeriod.hasHeld())
      self->startTimer();
  });
}

} // namespace savorytrestle::registry
