#include "serve/Host.h"

#include <fstream>
#include <future>
#include <random>
#include <sstream>
#include <thread>

#include "savorytrestle/core/SettingsYaml.h"
#include "support/Log.h"

namespace savorytrestle::serve {

using core::Error;
using core::ErrorCode;
using core::RunState;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Past the deadline the fan-out thread owes the answer at once; this bounds the
// wait for it should that thread be starved.
constexpr milliseconds AnswerGrace{1000};
constexpr milliseconds DrainPoll{10};
constexpr milliseconds DrainDelay{200};
constexpr milliseconds ShareInterval{200};
constexpr milliseconds ShareTime{1000};

/// Counts a request in flight for as long as it lives.
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

/// Waits for a value that another thread sets; the state is shared, so that a
/// late setter finds it alive after the waiter has given up.
template <typename T>
core::Result<T>
await(const std::shared_ptr<std::promise<core::Result<T>>> &slot,
      core::TimePoint deadline, RunState runAfterTimeout) {
  auto future = slot->get_future();
  if (future.wait_until(deadline + AnswerGrace) == std::future_status::ready)
    return future.get();
  return tl::unexpected<Error>(Error{ErrorCode::DeadlineExceeded,
                                     "the deadline passed", runAfterTimeout,
                                     milliseconds(1000)});
}

hosts::SlotKeeperOptions slotOptions(const HostConfig &config) {
  hosts::SlotKeeperOptions options;
  std::random_device random;
  options.Self = {config.Id,
                  std::to_string(random()) + std::to_string(random()),
                  config.FailureDomain,
                  config.Region,
                  config.Peers,
                  config.Callers,
                  false};
  options.Slots = config.MaxHosts + config.SpareHosts;
  options.Seed = random();
  return options;
}

backend::LeafEngineOptions engineOptions(const HostConfig &config) {
  return {config.FailureDomain, config.Policy == SearchPolicyKind::Baseline};
}

} // namespace

Host::Host(const HostConfig &config)
    : Config(config), Loop(backend::LeafTransportOptions{}, config.FanOutRing,
                           std::random_device{}()),
      Engine(Loop, Counts, engineOptions(config)), Callers(backend(), Counts),
      Slot(platform::HttpKvStore(config.Store), slotOptions(config)) {}

Host::~Host() {
  Stopping = true;
  if (SlotFollower.joinable())
    SlotFollower.join();
  CallerListener.reset();
  OperatorListener.reset();
  Loop.stop();
  // Last: the slot is released once no connection to a leaf is left.
  Slot.stop();
}

core::Result<std::unique_ptr<Host>> Host::start(const HostConfig &config) {
  std::unique_ptr<Host> host(new Host(config));
  host->Settings.observe([host = host.get()](const auto &inForce) {
    host->Engine.apply(inForce->Routes);
    support::LogLine("settings_in_force")
        .with("revision", inForce->Blob.Revision);
  });
  if (const auto loaded = host->loadSettingsFile(); !loaded)
    return tl::unexpected(loaded.error());
  host->Slot.start();
  host->SlotFollower = std::thread([host = host.get()] { host->followSlot(); });
  if (const auto listening = host->listen(); !listening)
    return tl::unexpected(listening.error());
  support::LogLine("host_started")
      .with("host", config.Id)
      .with("callers", config.Callers)
      .with("operators", config.Operators)
      .with("peers", config.Peers);
  return host;
}

core::Result<void> Host::loadSettingsFile() {
  if (Config.SettingsFile.empty())
    return {};
  std::ifstream file(Config.SettingsFile);
  std::stringstream buf;
  buf << file.rdbuf();
  const auto tree = core::parseSettingsYaml(buf.str(), Config.SettingsFile);
  if (!tree)
    return tl::unexpected(tree.error());
  Settings.applyBlob(operators::toBlob(*tree, 1));
  return {};
}

// The share is handed on with a short time of its own, so that a process which
// was paused finds it ended before this thread has looked at the lease again.
void Host::followSlot() {
  while (!Stopping) {
    const auto slot = Slot.slot();
    HasSlot = slot.has_value();
    core::HostShare share;
    share.Slots = Config.MaxHosts + Config.SpareHosts;
    share.ValidUntil = core::TimePoint();
    if (slot) {
      share.Slot = *slot;
      share.ValidUntil = SteadyClock::now() + ShareTime;
    }
    Engine.setShare(share);
    std::this_thread::sleep_for(ShareInterval);
  }
}

core::Result<void> Host::listen() {
  support::HttpServerOptions options;
  options.Listen = Config.Callers;
  options.Threads = Config.CallerThreads;
  auto callers = support::HttpServer::start(
      options, [this](const support::HttpRequest &request) {
        const InFlightGuard guard(InFlight);
        return Callers.handle(request);
      });
  if (!callers)
    return tl::unexpected(callers.error());
  CallerListener = std::move(*callers);
  options.Listen = Config.Operators;
  options.Threads = 4;
  auto operators = support::HttpServer::start(
      options, [this](const support::HttpRequest &request) {
        return operatorRequest(request);
      });
  if (!operators)
    return tl::unexpected(operators.error());
  OperatorListener = std::move(*operators);
  return {};
}

caller::CallerBackend Host::backend() {
  caller::CallerBackend backend;
  backend.Routes = [this] { return Settings.routes(); };
  backend.Search = [this](const auto &request) { return search(request); };
  backend.Write = [this](const auto &request) { return write(request); };
  backend.Ready = [this] { return HasSlot && Settings.revision() > 0; };
  backend.Draining = [this] { return Draining.load(); };
  return backend;
}

core::Result<core::SearchAnswer>
Host::search(const caller::CallerRequest &request) {
  using Answer = core::Result<core::SearchAnswer>;
  auto slot = std::make_shared<std::promise<Answer>>();
  backend::SearchJob job{request.RequestId, request.Route, request.Body,
                         request.Deadline};
  const auto posted = Engine.search(std::move(job), [slot](Answer answer) {
    slot->set_value(std::move(answer));
  });
  if (!posted)
    return tl::unexpected(posted.error());
  return await(slot, request.Deadline, RunState::Unknown);
}

core::Result<caller::WriteAnswer>
Host::write(const caller::CallerRequest &request) {
  using Outcome = core::Result<std::string>;
  auto slot = std::make_shared<std::promise<Outcome>>();
  backend::WriteJob job{request.RequestId, request.Route, "", request.Body,
                        request.Deadline};
  const auto posted = Engine.write(std::move(job), [slot](Outcome outcome) {
    slot->set_value(std::move(outcome));
  });
  if (!posted)
    return tl::unexpected(posted.error());
  auto outcome = await(slot, request.Deadline, RunState::Unknown);
  if (!outcome)
    return tl::unexpected(outcome.error());
  return caller::WriteAnswer{RunState::Ran, std::move(*outcome), false};
}

support::HttpResponse
Host::operatorRequest(const support::HttpRequest &request) {
  support::HttpResponse response;
  if (request.Path == "/metrics") {
    response.ContentType = "text/plain; version=0.0.4";
    response.Body = Counts.text();
    return response;
  }
  return caller::errorResponse(
      Error{ErrorCode::NotFound, "no such path", RunState::NotRun, {}}, "");
}

bool Host::drain() {
  Draining = true;
  Slot.setDraining();
  support::LogLine("drain_started").with("in_flight", InFlight.load());
  const auto until = SteadyClock::now() + Config.DrainTime;
  // The balancer needs to see "not ready" before the listener goes.
  std::this_thread::sleep_for(std::min(DrainDelay, Config.DrainTime));
  while (InFlight > 0 && SteadyClock::now() < until)
    std::this_thread::sleep_for(DrainPoll);
  const bool clean = InFlight == 0;
  support::LogLine("drain_ended").with("clean", clean ? "yes" : "no");
  return clean;
}

} // namespace savorytrestle::serve
