#ifndef SAVORYTRESTLE_SERVE_HOST_H
#define SAVORYTRESTLE_SERVE_HOST_H

/// @file
/// @brief One entry host: connects the components and runs them until it is
/// stopped.

#include <atomic>
#include <memory>
#include <thread>

#include "backend/FanOutLoop.h"
#include "backend/LeafEngine.h"
#include "caller/CallerApi.h"
#include "serve/ControlPlane.h"
#include "serve/HostConfig.h"
#include "serve/SearchRunner.h"
#include "serve/WriteRunner.h"
#include "support/HttpServer.h"
#include "support/Metrics.h"

namespace savorytrestle::serve {

/// @brief A running entry host.
class Host {
public:
  /// @brief Starts all threads and listeners of a host.
  /// @param config its settings
  /// @return the running host, or why it could not start
  static core::Result<std::unique_ptr<Host>> start(const HostConfig &config);

  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;
  ~Host();

  /// @brief Graceful shutdown: reports not ready, refuses new requests, waits
  /// for those in flight up to the drain time, then stops.
  /// @return true when no request was in flight at the end
  bool drain();

private:
  explicit Host(const HostConfig &config);

  core::Result<void> listen();
  caller::CallerBackend callerBackend();
  support::HttpResponse
  handleOperatorRequest(const support::HttpRequest &request);
  void pollSlot();

  const HostConfig Config;
  support::Metrics HostMetrics;
  backend::FanOutLoop Loop;
  const std::shared_ptr<backend::HostQuarantine> Guard;
  ControlPlane Control;
  backend::LeafEngine Engine;
  SearchRunner Searches;
  WriteRunner Writes;
  caller::CallerApi CallerRequests;
  std::thread SlotThread;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Draining{false};
  std::atomic<unsigned> InFlight{0};
  std::unique_ptr<support::HttpServer> CallerListener;
  std::unique_ptr<support::HttpServer> OperatorListener;
  std::unique_ptr<support::HttpServer> PeerListener;
};

} // namespace savorytrestle::serve

#endif
