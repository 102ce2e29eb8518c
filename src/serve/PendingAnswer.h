#ifndef SAVORYTRESTLE_SERVE_PENDING_ANSWER_H
#define SAVORYTRESTLE_SERVE_PENDING_ANSWER_H

/// @file
/// @brief Lets a caller's thread wait for an answer from another thread.

#include <chrono>
#include <future>
#include <memory>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::serve {

/// @brief One answer that another thread sets. Both threads share ownership, so
/// that it can still be set after the waiter has timed out.
template <typename T> class PendingAnswer {
public:
  /// @brief Sets the answer; call at most once.
  /// @param answer the answer
  void set(core::Result<T> answer) { Promise.set_value(std::move(answer)); }

  /// @brief Waits for the answer; call at most once.
  /// @param deadline deadline of the caller's request
  /// @param runAfterTimeout run state to report when no answer arrives
  /// @return the answer, or DeadlineExceeded
  core::Result<T> wait(core::TimePoint deadline,
                       core::RunState runAfterTimeout) {
    auto future = Promise.get_future();
    if (future.wait_until(deadline + LateAnswerGrace) ==
        std::future_status::ready)
      return future.get();
    return tl::unexpected<core::Error>(
        core::Error{core::ErrorCode::DeadlineExceeded,
                    "deadline passed before the answer arrived",
                    runAfterTimeout, RetryAfter});
  }

private:
  // The other thread sets an answer as soon as the deadline has passed; this
  // bounds the wait if that thread gets no processor time.
  static constexpr std::chrono::milliseconds LateAnswerGrace{1000};
  static constexpr std::chrono::milliseconds RetryAfter{1000};

  std::promise<core::Result<T>> Promise;
};

} // namespace savorytrestle::serve

#endif
