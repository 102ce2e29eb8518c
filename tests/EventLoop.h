#ifndef SAVORYTRESTLE_TESTS_EVENT_LOOP_H
#define SAVORYTRESTLE_TESTS_EVENT_LOOP_H

/// @file
/// @brief Runs an event loop until a condition holds.

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace savorytrestle::tests {

/// @brief Runs the event loop until the condition holds or the timeout has
/// passed.
/// @return whether the condition holds
inline bool runUntil(
    boost::asio::io_context &io, const std::function<bool()> &condition,
    std::chrono::steady_clock::duration timeout = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  return condition();
}

} // namespace savorytrestle::tests

#endif
