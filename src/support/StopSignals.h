#ifndef SAVORYTRESTLE_SUPPORT_STOP_SIGNALS_H
#define SAVORYTRESTLE_SUPPORT_STOP_SIGNALS_H

/// @file
/// @brief Waits for SIGTERM or SIGINT on the main thread.

#include <csignal>

namespace savorytrestle::support {

/// @brief Blocks the stop signals for this thread and all that it starts, so
/// that only @ref wait receives them. Create it before any other thread.
class StopSignals {
public:
  StopSignals() {
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGTERM);
    sigaddset(&Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  }

  /// @brief Waits for one of the signals.
  void wait() const {
    int received = 0;
    sigwait(&Signals, &received);
  }

private:
  sigset_t Signals{};
};

} // namespace savorytrestle::support

#endif
