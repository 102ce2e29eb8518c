// Two requests that crash each leaf that begins to run them come again and
// again, from one client on one kept connection. Counts how often each of them
// reaches a leaf after the time in which the hosts have to notice.

#include "CrashLeaves.h"

using namespace review;

namespace {

constexpr int HostCount = 3;
constexpr int LeafCount = 15;
/// Each of the two requests comes once a second.
constexpr auto Pause = 500ms;
constexpr auto PlayTime = 20s;
/// Pause between the harmless requests of another client of each host, which
/// may run once.
constexpr auto HarmlessPause = 1000ms;

/// One more client of each host, whose requests are harmless and may run once.
class Others {
public:
  Others(Deployment &deployment, Clock::time_point until) : Fleet(deployment) {
    for (const auto &host : Fleet.Hosts)
      Threads.emplace_back([this, &host, until] {
        Client client(Fleet, host->FrontPort);
        for (int n = 0; Clock::now() < until; ++n) {
          const std::string id = host->Id + "-" + std::to_string(n);
          ++Sent;
          if (client.send(http::verb::post, "/u/harmless-" + id, id) != 200)
            ++Lost;
          std::this_thread::sleep_for(HarmlessPause);
        }
      });
  }

  void join() {
    for (std::thread &thread : Threads)
      thread.join();
    Fleet.Log.show("harmless requests", Sent, "without a success", Lost);
  }

private:
  Deployment &Fleet;
  std::atomic<int> Sent{0};
  std::atomic<int> Lost{0};
  std::vector<std::thread> Threads;
};

int play(Deployment &fleet) {
  for (int i = 0; i < LeafCount; ++i) {
    Leaf &leaf = fleet.addLeaf("i-" + std::to_string(i), "svc",
                               std::string("zone-") + "abc"[i % 3]);
    fleet.onStandIns([&] {
      makeCrashable(fleet, leaf);
      return 0;
    });
  }
  fleet.putConfig(makeConfig(
      1, {makeRoute("r", "/r/", "svc"), makeRoute("u", "/u/", "svc", false)},
      {"svc"}));
  if (!fleet.startHosts(HostCount, {"zone-a", "zone-b", "zone-c"})) {
    fleet.Log.show("the hosts have not become ready");
    return CouldNotRun;
  }
  std::this_thread::sleep_for(3s);
  const std::string kind = hasTrouble() ? "/r/crash-" : "/r/plain-";
  Client client(fleet, fleet.Hosts.front()->FrontPort);
  std::map<std::string, Attempt> attempts;
  const auto until = Clock::now() + PlayTime;
  Others others(fleet, until);
  for (int n = 0; Clock::now() < until; ++n) {
    const std::string path = kind + (n % 2 == 0 ? "a" : "b");
    const std::string id = "request-" + std::to_string(n);
    attempts[id] = {path, secondsNow()};
    client.send(http::verb::get, path, id);
    std::this_thread::sleep_for(Pause);
  }
  others.join();
  const auto runs = fleet.runs();
  std::size_t most = 0;
  for (const char *name : {"a", "b"}) {
    const std::size_t late =
        hasTrouble() ? lateRetries(runs, attempts, kind + name) : 0;
    fleet.Log.show(kind + name, "reached leaves in", late,
                   "retries after the window; allowed", AllowedRetries);
    most = std::max(most, late);
  }
  if (runs.size() < 3)
    return CouldNotRun;
  return most > AllowedRetries ? RuleBroken : RuleHeld;
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
