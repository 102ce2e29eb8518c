#include "entry/RequestRouter.h"

#include <algorithm>
#include <utility>

#include "support/BeastStringView.h"

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

/// Longest wait for credit, in itself and as a part of the route's objective.
constexpr milliseconds MaxCreditWait{100};
constexpr int CreditWaitDivisor = 2;

} // namespace

CancelHandler RequestRouter::waitForCredit(CallerRequest request,
                                           const core::RouteRule &route,
                                           const std::string &workspace,
                                           AnswerHandler respond) {
  const auto maxWait =
      std::min(MaxCreditWait, route.Objective / CreditWaitDivisor);
  // The run's handler, once the wait is over.
  const auto cancelRun = std::make_shared<CancelHandler>();
  const auto pending = std::make_shared<CallerRequest>(std::move(request));
  auto cancelWait =
      Quotas->wait(workspace, maxWait,
                   [this, pending, cancelRun, workspace,
                    respond = std::move(respond)](QuotaGate::ChargePtr charge) {
                     // The configuration may have changed meanwhile.
                     if (charge || !Quotas->limited(workspace))
                       *cancelRun = start(std::move(*pending), respond, false,
                                          std::move(charge));
                     else
                       refuseOverRate(*pending, workspace, respond);
                   });
  return [cancelWait = std::move(cancelWait), cancelRun] {
    if (cancelWait)
      cancelWait();
    if (*cancelRun)
      (*cancelRun)();
  };
}

void RequestRouter::refuseOverRate(const CallerRequest &request,
                                   const std::string &workspace,
                                   const AnswerHandler &respond) {
  const std::string id(support::toStringView(request[Names.RequestId]));
  refuse(request, routeOf(request),
         {http::status::too_many_requests,
          "workspace " + workspace + " is over its rate",
          Quotas->refuse(workspace, id)},
         respond);
}

} // namespace savorytrestle::entry
