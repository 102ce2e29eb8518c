#include "serve/Host.h"

#include <future>
#include <random>
#include <thread>

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

} // namespace

Host::Host(const HostConfig &config)
    : Config(config), Loop(backend::LeafTransportOptions{}, config.FanOutRing,
                           std::random_device{}()),
      Engine(Loop, Counts), Callers(backend(), Counts) {}

Host::~Host() {
  CallerListener.reset();
  OperatorListener.reset();
  Loop.stop();
}

core::Result<std::unique_ptr<Host>> Host::start(const HostConfig &config) {
  std::unique_ptr<Host> host(new Host(config));
  if (const auto listening = host->listen(); !listening)
    return tl::unexpected(listening.error());
  support::LogLine("host_started")
      .with("host", config.Id)
      .with("callers", config.Callers)
      .with("operators", config.Operators)
      .with("peers", config.Peers);
  return host;
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
  backend.Routes = [this] { return std::atomic_load(&Routes); };
  backend.Search = [this](const auto &request) { return search(request); };
  backend.Write = [this](const auto &request) { return write(request); };
  backend.Ready = [this] { return std::atomic_load(&Routes) != nullptr; };
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

void Host::publish(std::shared_ptr<const core::RouteTable> routes) {
  Engine.apply(routes);
  support::LogLine("settings_in_force").with("revision", routes->Revision);
  std::atomic_store(&Routes, std::move(routes));
}

bool Host::drain() {
  Draining = true;
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
