#include "serve/Host.h"

#include <random>
#include <thread>

#include "support/Log.h"

namespace savorytrestle::serve {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds DrainPollInterval{10};
constexpr milliseconds NotReadyNotice{200};
// CivetWeb occupies one thread for each open connection, also an idle one: with
// few threads, long-lived connections would block other operators and peers.
constexpr unsigned OperatorThreads = 16;
constexpr unsigned PeerThreads = 16;
constexpr milliseconds OperatorKeepAlive{2000};
constexpr milliseconds CallerKeepAlive{30000};
constexpr std::size_t MaxBodyBytes = 16 << 20;
constexpr milliseconds ClaimDrainTime{2000};
constexpr milliseconds SlotPollInterval{200};
constexpr milliseconds ShareValidity{1000};

/// Counts a request in flight during the guard's lifetime.
class InFlightGuard {
public:
  explicit InFlightGuard(std::atomic<unsigned> &count) : Count(count) {
    ++Count;
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;
  ~InFlightGuard() { --Count; }

private:
  std::atomic<unsigned> &Count;
};

backend::LeafEngineOptions engineOptions(const HostConfig &config) {
  return {config.FailureDomain, config.Policy == SearchPolicyKind::Baseline};
}

} // namespace

Host::Host(const HostConfig &config)
    : Config(config), Loop(backend::LeafTransportOptions{},
                           config.FanOutQueueSize, std::random_device{}()),
      Guard(std::make_shared<backend::HostQuarantine>(
          [this] { Control.publishCrashRecords(); })),
      Control(config, Guard),
      Engine(Loop, HostMetrics, Guard, engineOptions(config)),
      Searches(Engine, Guard, config.MaxSearches),
      Writes(Engine, config.StoreAddress, config.Id, config.MaxHosts),
      CallerRequests(callerBackend(), HostMetrics) {}

Host::~Host() {
  Stopping = true;
  if (SlotThread.joinable())
    SlotThread.join();
  CallerListener.reset();
  OperatorListener.reset();
  PeerListener.reset();
  Control.stopPeers();
  Writes.stop(ClaimDrainTime);
  Loop.stop();
  Control.releaseSlot();
}

core::Result<std::unique_ptr<Host>> Host::start(const HostConfig &config) {
  std::unique_ptr<Host> host(new Host(config));
  if (const auto listening = host->listen(); !listening)
    return tl::unexpected(listening.error());
  host->Control.start([host = host.get()](const auto &inForce) {
    host->Engine.apply(inForce->Routes);
    host->Searches.applyWeights(*inForce->Routes);
    host->HostMetrics.setGauge("savorytrestle_settings_revision",
                               "Revision of the settings in force.",
                               static_cast<double>(inForce->Blob.Revision));
  });
  host->SlotThread = std::thread([host = host.get()] { host->pollSlot(); });
  support::LogLine("host_started")
      .with("host", config.Id)
      .with("callers", config.CallerAddress)
      .with("operators", config.OperatorAddress)
      .with("peers", config.PeerAddress);
  return host;
}

// Each share that is passed to the engine expires after ShareValidity: after a
// pause of the process it has expired before this thread checks the lease
// again.
void Host::pollSlot() {
  while (!Stopping) {
    const auto slot = Control.slot();
    core::HostSlot share;
    share.SlotCount = Config.MaxHosts + Config.SpareHosts;
    share.ValidUntil = core::TimePoint();
    if (slot) {
      share.Number = *slot;
      share.ValidUntil = SteadyClock::now() + ShareValidity;
    }
    Engine.setHostSlot(share);
    std::this_thread::sleep_for(SlotPollInterval);
  }
}

core::Result<void> Host::listen() {
  const auto open = [](std::unique_ptr<support::HttpServer> &listener,
                       const std::string &address, unsigned threads,
                       milliseconds keepAlive,
                       support::HttpServer::Handler handler,
                       support::HttpServer::Handler onBodyRefused = nullptr) {
    support::HttpServerOptions options;
    options.Listen = address;
    options.Threads = threads;
    options.KeepAlive = keepAlive;
    // Operators and peers send whole settings trees.
    options.MaxBodyBytes = MaxBodyBytes;
    options.OnBodyRefused = std::move(onBodyRefused);
    return support::HttpServer::start(options, std::move(handler))
        .map([&](auto started) { listener = std::move(started); });
  };
  return open(
             CallerListener, Config.CallerAddress, Config.CallerThreads,
             CallerKeepAlive,
             [this](const auto &request) {
               const InFlightGuard guard(InFlight);
               return CallerRequests.handle(request);
             },
             [this](const auto &request) {
               return CallerRequests.refuseBody(request);
             })
      .and_then([&] {
        return open(OperatorListener, Config.OperatorAddress, OperatorThreads,
                    OperatorKeepAlive, [this](const auto &request) {
                      return handleOperatorRequest(request);
                    });
      })
      .and_then([&] {
        return open(PeerListener, Config.PeerAddress, PeerThreads,
                    OperatorKeepAlive, [this](const auto &request) {
                      return Control.handlePeer(request);
                    });
      });
}

caller::CallerBackend Host::callerBackend() {
  caller::CallerBackend backend;
  backend.Routes = [this] { return Control.routes(); };
  backend.Search = [this](const auto &request) {
    return Searches.run(request);
  };
  backend.Write = [this](const auto &request) { return Writes.run(request); };
  backend.Ready = [this] { return Control.ready(); };
  backend.Draining = [this] { return Draining.load(); };
  return backend;
}

support::HttpResponse
Host::handleOperatorRequest(const support::HttpRequest &request) {
  support::HttpResponse response;
  if (request.Path == "/metrics") {
    response.ContentType = "text/plain; version=0.0.4";
    response.Body = HostMetrics.text();
    return response;
  }
  return Control.handleOperator(request);
}

bool Host::drain() {
  Draining = true;
  Control.setDraining();
  support::LogLine("drain_started").with("in_flight", InFlight.load());
  const auto until = SteadyClock::now() + Config.DrainTime;
  // The balancer has to see "not ready" before the listener closes.
  std::this_thread::sleep_for(std::min(NotReadyNotice, Config.DrainTime));
  while (InFlight > 0 && SteadyClock::now() < until)
    std::this_thread::sleep_for(DrainPollInterval);
  const bool clean = InFlight == 0;
  support::LogLine("drain_ended").with("clean", clean ? "yes" : "no");
  return clean;
}

} // namespace savorytrestle::serve
