#ifndef SAVORYTRESTLE_SERVE_PENDING_ANSWER_H
#define SAVORYTRESTLE_SERVE_PENDING_ANSWER_H

/// @file
/// @brief Waits on a caller's thread for an answer that another thread gives.

#include <chrono>
#include <future>
#include <memory>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::serve {

/// @brief Place where another thread puts one answer. Shared, so that a late
/// answer finds it alive after the waiter has given up.
template <typename T> class PendingAnswer {
public:
  /// @brief Puts the answer; called once.
  /// @param answer the answer
  void set(core::Result<T> answer) { Promise.set_value(std::move(answer)); }

  /// @brief Waits for the answer; called once.
  /// @param deadline when the caller gives up
  /// @param runAfterTimeout what is known about execution without an answer
  /// @return the answer, or DeadlineExceeded
  core::Result<T> wait(core::TimePoint deadline,
                       core::RunState runAfterTimeout) {
    auto future = Promise.get_future();
    if (future.wait_until(deadline + LateAnswerGrace) == std::future_status::ready)
      return future.get();
    return tl::unexpected<core::Error>(
        core::Error{core::ErrorCode::DeadlineExceeded, "the deadline passed",
                    runAfterTimeout, RetryAfter});
  }

private:
  // Past the deadline the other thread owes its answer at once; this bounds the
  // wait should it be starved.
  static constexpr std::chrono::milliseconds LateAnswerGrace{1000};
  static constexpr std::chrono::milliseconds RetryAfter{1000};

  std::promise<core::Result<T>> Promise;
};

} // namespace savorytrestle::serve

#endif
