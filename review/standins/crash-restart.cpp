// A request that crashes each leaf that runs it is refused by all hosts. Then
// the hosts are restarted in turn, and it comes again, at each of them. Counts
// how often it reaches a leaf.

#include "CrashLeaves.h"

using namespace review;

namespace {

constexpr int HostCount = 3;
constexpr int LeafCount = 18;
constexpr const char *Path = "/r/crash-a";
/// Attempts at the first host until all hosts refuse the request.
constexpr int FirstAttempts = 6;
constexpr auto RestartGap = 1300ms;
constexpr auto Grace = 6000ms;
/// All hosts are in touch again after stabilityWindowMs of 5,000.
constexpr auto InTouchTime = 6000ms;
constexpr int LateRounds = 6;
constexpr auto Pause = 1000ms;

/// Sends attempts and remembers them.
class Attempts {
public:
  explicit Attempts(Deployment &deployment) : Fleet(deployment) {}

  int send(const Host &host) {
    const std::string id = "request-" + std::to_string(++Count);
    {
      const std::lock_guard lock(Mutex);
      All[id] = {Path, secondsNow()};
    }
    return Client(Fleet, host.FrontPort).send(http::verb::get, Path, id);
  }

  std::map<std::string, Attempt> all() const { return All; }

private:
  Deployment &Fleet;
  std::atomic<int> Count{0};
  std::mutex Mutex;
  std::map<std::string, Attempt> All;
};

void restartInTurn(Deployment &fleet) {
  std::vector<std::thread> restarts;
  for (const auto &host : fleet.Hosts) {
    restarts.emplace_back([&fleet, &host] {
      fleet.Log.show("SIGTERM", host->Id);
      host->signal(SIGTERM);
      host->awaitEnd(Grace);
      std::this_thread::sleep_for(300ms);
      fleet.startAgain(*host);
      fleet.awaitReady(*host);
      fleet.Log.show("started again", host->Id);
    });
    std::this_thread::sleep_for(RestartGap);
  }
  for (std::thread &thread : restarts)
    thread.join();
}

int play(Deployment &fleet) {
  for (int i = 0; i < LeafCount; ++i) {
    Leaf &leaf = fleet.addLeaf("i-" + std::to_string(i), "svc",
                               std::string("zone-") + "abc"[i % 3]);
    fleet.onStandIns([&] {
      makeCrashable(fleet, leaf);
      return 0;
    });
  }
  fleet.putConfig(makeConfig(1, {makeRoute("r", "/r/", "svc")}, {"svc"}));
  if (!fleet.startHosts(HostCount, {"zone-a", "zone-b", "zone-c"})) {
    fleet.Log.show("the hosts have not become ready");
    return CouldNotRun;
  }
  std::this_thread::sleep_for(3s);
  Attempts attempts(fleet);
  for (int n = 0; n < FirstAttempts; ++n) {
    attempts.send(*fleet.Hosts.front());
    std::this_thread::sleep_for(Pause);
  }
  std::this_thread::sleep_for(3s);
  constexpr int TooManyRequests = 429;
  for (const auto &host : fleet.Hosts)
    if (attempts.send(*host) != TooManyRequests) {
      fleet.Log.show(host->Id, "doesn't refuse the request");
      return CouldNotRun;
    }
  if (hasTrouble())
    restartInTurn(fleet);
  std::this_thread::sleep_for(InTouchTime);
  for (int n = 0; n < LateRounds; ++n) {
    std::vector<std::thread> senders;
    for (const auto &host : fleet.Hosts)
      senders.emplace_back([&attempts, &host] { attempts.send(*host); });
    for (std::thread &sender : senders)
      sender.join();
    std::this_thread::sleep_for(Pause);
  }
  const std::size_t late = lateRetries(fleet.runs(), attempts.all(), Path);
  fleet.Log.show(Path, "reached leaves in", late,
                 "retries after the window; allowed", AllowedRetries);
  return late > AllowedRetries ? RuleBroken : RuleHeld;
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
