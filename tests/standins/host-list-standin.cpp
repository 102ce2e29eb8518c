// Stand-in for the platform's list of live and leaving hosts. GET /v1/hosts
// returns the list that platform/HostList.h reads. POST /control sets it; the
// new list is visible after the lag.

#include <deque>
#include <mutex>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include "savorytrestle/core/Time.h"
#include "standins/Serve.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, lag_ms, 0, "milliseconds until a change is visible");

namespace {

using namespace savorytrestle;
using SteadyClock = std::chrono::steady_clock;

/// A list whose changes become visible after a lag.
class DelayedHostList {
public:
  explicit DelayedHostList(std::chrono::milliseconds lag) : Lag(lag) {}

  void set(std::string list) {
    const std::lock_guard guard(Lock);
    PendingChanges.push_back({SteadyClock::now() + Lag, std::move(list)});
  }

  std::string current() {
    const std::lock_guard guard(Lock);
    while (!PendingChanges.empty() &&
           PendingChanges.front().VisibleAt <= SteadyClock::now()) {
      Current = std::move(PendingChanges.front().List);
      PendingChanges.pop_front();
    }
    return Current;
  }

private:
  struct Change {
    core::TimePoint VisibleAt;
    std::string List;
  };

  const std::chrono::milliseconds Lag;
  std::mutex Lock;
  std::string Current = "[]";
  std::deque<Change> PendingChanges;
};

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const support::StopSignals signals;
  DelayedHostList list{std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms))};
  support::HttpServerOptions options;
  options.Listen = absl::GetFlag(FLAGS_listen);
  return standins::serve(signals, options,
                         [&](const support::HttpRequest &request) {
                           support::HttpResponse response;
                           if (request.Path == "/control")
                             list.set(request.Body);
                           else if (request.Path == "/v1/hosts")
                             response.Body = list.current();
                           else
                             response.Status = 404;
                           return response;
                         });
}
