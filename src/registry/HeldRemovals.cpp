#include "registry/HeldRemovals.h"

namespace savorytrestle::registry {

using SteadyClock = std::chrono::steady_clock;

HeldRemovals::HeldRemovals(boost::asio::io_context &io,
                           core::Duration returnTime, Drop drop)
    : Timer(io), Lapsed(returnTime), DropEntry(std::move(drop)) {}

void HeldRemovals::onRegained() { Lapsed.onStoreReachable(SteadyClock::now()); }

void HeldRemovals::onRemovals(std::size_t removed, std::size_t known) {
  Lapsed.onRemovalBatch(removed, known, SteadyClock::now());
}

void HeldRemovals::onRemoved(const std::string &id) {
  if (Lapsed.onRemoved(id, SteadyClock::now()))
    return DropEntry(id, false);
  dropLater();
}

void HeldRemovals::dropLater() {
  if (Waiting)
    return;
  Waiting = true;
  Timer.expires_at(Lapsed.graceEnd());
  Timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        self->Waiting = false;
        if (ec)
          return;
        for (const std::string &id : self->Lapsed.takeDue(SteadyClock::now()))
          self->DropEntry(id, true);
        if (self->Lapsed.hasHeld())
          self->dropLater();
      });
}

} // namespace savorytrestle::registry
