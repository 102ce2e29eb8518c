#include "entry/RequestAdmission.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "entry/Answers.h"
#include "leaf/LeafRoom.h"
#include "savorytrestle/core/admission/RefusalPolicy.h"
#include "support/Log.h"

namespace savorytrestle::entry {

using SteadyClock = std::chrono::steady_clock;

void RequestAdmission::admit(
    const std::shared_ptr<RequestRun> &run,
    const std::shared_ptr<const leaf::CallContext> &context,
    const std::vector<leaf::Service *> &services, std::function<void()> start) {
  if (!Leaves.admitsByLoad() || services.empty())
    return start();
  auto request = std::make_shared<Candidate>(
      Candidate{run, context, services, std::move(start), SteadyClock::now(),
                Leaves.draw()});
  Policy.onArrival(kindOf(*request), request->Since);
  decide(request);
}

core::RequestKind RequestAdmission::kindOf(const Candidate &request) {
  const core::RouteRule &route = request.Context->Route;
  const core::WorkspaceRule *workspace = request.Context->Workspace;
  const leaf::Service &service = *request.Services.front();
  return {service.Name,
          route.Name,
          workspace != nullptr ? workspace->Name : "",
          workspace != nullptr ? workspace->Priority.value_or(route.Priority)
                               : route.Priority,
          route.Objective,
          service.Work.of(route.Name)};
}

void RequestAdmission::decide(const std::shared_ptr<Candidate> &request) {
  const auto now = SteadyClock::now();
  const leaf::CallContext &context = *request->Context;
  const core::RequestKind kind = kindOf(*request);
  const core::Room room =
      leaf::roomFor(context.Route, request->Services, now, context.Homes);
  const auto verdict = Policy.decide(kind, room, context.Deadline - now,
                                     now - request->Since, request->Draw, now);
  switch (verdict.Step) {
  case core::AdmissionStep::Admit:
    return request->Start();
  case core::AdmissionStep::Hold:
    return hold(request, verdict.Wait);
  case core::AdmissionStep::Refuse:
    return refuse(*request, kind, room, verdict);
  }
}

void RequestAdmission::hold(const std::shared_ptr<Candidate> &request,
                            core::Duration time) {
  if (!std::exchange(request->Held, true))
    HostMetrics.countAdmission(request->Context->Route.Name, "held");
  const auto timer = std::make_shared<boost::asio::steady_timer>(Io, time);
  timer->async_wait(
      [this, timer, request](const boost::system::error_code &ec) {
        // The run has ended if its caller has disconnected.
        if (!ec && !request->Run->finished())
          decide(request);
      });
}

void RequestAdmission::refuse(const Candidate &request,
                              const core::RequestKind &kind,
                              const core::Room &room,
                              const core::AdmissionVerdict &verdict) {
  const auto now = SteadyClock::now();
  const leaf::CallContext &context = *request.Context;
  const auto wait = core::retryAfter(context.Route, now, now + verdict.Wait,
                                     context.Deadline, Leaves.draw());
  HostMetrics.countAdmission(context.Route.Name,
                             std::string("refused_") + verdict.Why);
  if (RefusalLog.allowLine(now))
    support::LogLine("load_refused")
        .with("request", context.RequestId)
        .with("route", context.Route.Name)
        .with("rank", kind.Rank)
        .with("why", verdict.Why)
        .with("held", now - request.Since)
        .with("least_wait", room.LeastWait)
        .with("likely_wait", room.LikelyWait.value_or(core::Duration::zero()))
        .with("retry_after", wait);
  request.Run->refuse(errorAnswer(
      boost::beast::http::status::service_unavailable,
      std::string("leaves have no room for the request: ") + verdict.Why,
      wait));
}

} // namespace savorytrestle::entry
