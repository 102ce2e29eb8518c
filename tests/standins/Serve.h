#ifndef SAVORYTRESTLE_TESTS_STANDINS_SERVE_H
#define SAVORYTRESTLE_TESTS_STANDINS_SERVE_H

/// @file
/// @brief Common main loop of the stand-in programs.

#include <cstdio>

#include "support/HttpServer.h"
#include "support/StopSignals.h"

namespace savorytrestle::standins {

/// @brief Serves until a stop signal; prints "port=N" when listening.
/// @param signals stop signals, created at the start of main
/// @param options the listener
/// @param handler answers the requests
/// @return the exit code
inline int serve(const support::StopSignals &signals,
                 const support::HttpServerOptions &options,
                 support::HttpServer::Handler handler) {
  const auto server = support::HttpServer::start(options, std::move(handler));
  if (!server) {
    std::fprintf(stderr, "%s\n", server.error().Message.c_str());
    return 1;
  }
  std::printf("port=%d\n", (*server)->port());
  std::fflush(stdout);
  signals.wait();
  return 0;
}

} // namespace savorytrestle::standins

#endif
