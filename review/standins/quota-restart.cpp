// Presses one tenant on its quota while hosts are stopped and started in turn,
// and counts what runs within the quota's window.

#include <cmath>
#include <random>

#include "Deployment.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int HostCount = 7;
/// A tenant whose quota is kept by the hosts that are stopped first.
constexpr const char *Tenant = "tenant-2152";
constexpr const char *Key = "pfi6y7z5k6pjs2eek22x";
constexpr double RatePerSecond = 44;
constexpr double BurstSize = 44;
constexpr double WindowSeconds = 5;
constexpr double Overage = 0.1;
constexpr double Slack = 20;
/// Requests a second of the pressing tenant: 7.5 times its rate.
constexpr double Pressure = 330;
constexpr int Clients = 40;
constexpr int RestartedHosts = 3;
constexpr auto RestartGap = 1300ms;
constexpr auto Grace = 6000ms;
/// Two missed readiness questions, one a second.
constexpr auto BalancerDelay = 2000ms;

struct Sent {
  double At = 0;
  std::string RequestId;
};

/// Clients of one tenant, each with a new connection a request.
class Press {
public:
  Press(Deployment &deployment, int clients) : Fleet(deployment) {
    for (int i = 0; i < clients; ++i)
      Threads.emplace_back([this, i] { play(i); });
  }

  std::vector<Sent> stop() {
    Stopped = true;
    for (std::thread &thread : Threads)
      thread.join();
    return All;
  }

private:
  void play(int client) {
    std::mt19937 random(static_cast<unsigned>(client));
    std::exponential_distribution<double> pause(Pressure / Clients);
    for (int n = 0; !Stopped; ++n) {
      const Host &host = *Fleet.Hosts[random() % Fleet.Hosts.size()];
      if (host.InRotation)
        send(host, std::to_string(client) + "-" + std::to_string(n));
      std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    }
  }

  void send(const Host &host, const std::string &id) {
    const double at = secondsNow();
    Fleet.Log.line("sent", id, host.Id);
    const Answer answer = call(host.FrontPort, "GET", "/r/x",
                               {{"Host", "a.example"},
                                {"Savorytrestle-Request-Id", id},
                                {"Savorytrestle-Deadline-Ms", "2000"},
                                {"Authorization", std::string("Token ") + Key}},
                               "", 3000ms);
    Fleet.Log.line("answered", id, answer.Status);
    const std::lock_guard lock(Mutex);
    All.push_back({at, id});
  }

  Deployment &Fleet;
  std::atomic<bool> Stopped{false};
  std::mutex Mutex;
  std::vector<Sent> All;
  std::vector<std::thread> Threads;
};

void restart(Deployment &fleet, Host &host) {
  fleet.Log.show("SIGTERM", host.Id);
  host.signal(SIGTERM);
  std::thread balancer([&host] {
    std::this_thread::sleep_for(BalancerDelay);
    host.InRotation = false;
  });
  host.awaitEnd(Grace);
  balancer.join();
  std::this_thread::sleep_for(300ms);
  fleet.startAgain(host);
  host.InRotation = fleet.awaitReady(host);
  fleet.Log.show("started again", host.Id);
}

/// Most requests that were both sent and run within one window.
std::pair<std::size_t, double> mostInWindow(const std::vector<Run> &runs,
                                            const std::vector<Sent> &sent) {
  std::map<std::string, double> sentAt;
  for (const Sent &it : sent)
    sentAt[it.RequestId] = it.At;
  std::pair<std::size_t, double> most{0, 0};
  for (const Sent &start : sent) {
    const auto n = static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(), [&](const Run &run) {
          const auto it = sentAt.find(run.RequestId);
          return it != sentAt.end() && it->second >= start.At &&
                 run.At < start.At + WindowSeconds;
        }));
    most = std::max(most, {n, start.At});
  }
  return most;
}

nlohmann::json config() {
  nlohmann::json config =
      makeConfig(1, {makeRoute("r", "/r/", "svc")}, {"svc"});
  config["tenants"] = {{{"name", Tenant},
                        {"apiKeys", {Key}},
                        {"priority", 0},
                        {"ratePerS", RatePerSecond},
                        {"burstSize", BurstSize},
                        {"allowedRegions", nlohmann::json::array()}}};
  return config;
}

int play(Deployment &fleet) {
  for (int i = 0; i < 9; ++i)
    fleet.addLeaf("i-" + std::to_string(i), "svc",
                  std::string("zone-") + "abc"[i % 3]);
  fleet.putConfig(config());
  fleet.ExtraBounds = "  quota_window: \"5 s\"\n  quota_overage: 0.1\n"
                      "  quota_slack: 20\n";
  if (!fleet.startHosts(HostCount, {"zone-a", "zone-b", "zone-c"})) {
    fleet.Log.show("the hosts have not become ready");
    return CouldNotRun;
  }
  std::this_thread::sleep_for(8s);
  Press press(fleet, Clients);
  std::this_thread::sleep_for(1s);
  std::vector<std::thread> restarts;
  for (int i = 0; i < RestartedHosts; ++i) {
    if (hasTrouble())
      restarts.emplace_back([&fleet, i] { restart(fleet, *fleet.Hosts[i]); });
    std::this_thread::sleep_for(RestartGap);
  }
  for (std::thread &thread : restarts)
    thread.join();
  std::this_thread::sleep_for(4s);
  const auto sent = press.stop();
  const auto runs = fleet.runs();
  const auto [most, from] = mostInWindow(runs, sent);
  const double allowed =
      (RatePerSecond * WindowSeconds + BurstSize) * (1 + Overage) + Slack;
  fleet.Log.show("sent", sent.size(), "run", runs.size(), "most in",
                 WindowSeconds, "s:", most, "from", from, "s; allowed",
                 std::floor(allowed));
  if (runs.size() < 100)
    return CouldNotRun;
  return static_cast<double>(most) > allowed ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return CouldNotRun;
  Deployment fleet(argv[1], argv[2]);
  const int result = play(fleet);
  fleet.Log.show(result == RuleBroken ? "rule broken"
                 : result == RuleHeld ? "rule held"
                                      : "could not run");
  return result;
}
