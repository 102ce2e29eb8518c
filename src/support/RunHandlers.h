#ifndef SAVORYTRESTLE_SUPPORT_RUN_HANDLERS_H
#define SAVORYTRESTLE_SUPPORT_RUN_HANDLERS_H

/// @file
/// @brief Runs an event loop whose handlers may throw.

#include <exception>

#include <boost/asio/io_context.hpp>

namespace savorytrestle::support {

/// @brief Runs handlers until the loop is stopped or has no work left. One that
/// throws ends what it was for, with a log line, and not the process, which
/// serves other callers as well.
void runHandlers(boost::asio::io_context &io);

/// @brief Writes the log line of an exception that a handler threw.
void logHandlerFailure(const char *why);

/// @brief Calls a function; an exception of it is logged.
/// @return whether it returned
template <typename F> bool callGuarded(F &&function) {
  try {
    function();
    return true;
  } catch (const std::exception &ex) {
    logHandlerFailure(ex.what());
    return false;
  }
}

} // namespace savorytrestle::support

#endif
