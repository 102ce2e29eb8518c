// Case 9: a request takes down each leaf that begins to run it, and the leaf
// falls silent instead of resetting its connections.

#include "Deployment.h"

using namespace review;

namespace {

constexpr int HostCount = 7;
constexpr int LeafCount = 15;
constexpr int CallerCount = 6;
constexpr Milliseconds WorkTime{10};
constexpr Milliseconds Deadline{800};
constexpr Milliseconds CalmTime{8000};
constexpr Milliseconds TroubleTime{40000};
/// Pause after which the request comes again, at another machine.
constexpr Milliseconds ComesAgainAfter{500};
/// A leaf is silent for so long, then it is back.
constexpr Milliseconds SilentTime{4000};
/// The store removes an entry after three heartbeat intervals of 1.2 s.
constexpr Milliseconds EntryTime{3600};
constexpr Milliseconds StabilityWindow{5000};
/// Leaves after whose crash the rule counts, and retries that it allows.
constexpr std::size_t CountsAfterCrashes = 3;
constexpr int MaxLateRetries = 3;

/// One run of a leaf's process.
struct Process {
  std::atomic<bool> Silent = false;
  std::atomic<bool> Ended = false;
  Clock::time_point SilentSince{};
};

/// A place for a leaf, which is started again after a crash.
struct Slot {
  std::unique_ptr<Leaf> Running;
  std::shared_ptr<Process> Current;
  int Starts = 0;
  bool EntryRemoved = false;
};

class DarkCrashes {
public:
  explicit DarkCrashes(const std::string &recordFile)
      : Log(recordFile), Slots(LeafCount) {}

  int run() {
    for (int i = 0; i < LeafCount; ++i)
      start(i);
    System.putConfig(
        makeConfig(7, {route("r-price", "/nono601/", true, "preisportal")},
                   {"preisportal"}));
    if (!System.startHosts(HostCount)) {
      Log.result("hosts did not become ready");
      Stop = true;
      return CouldNotRun;
    }
    std::thread platform([this] { restartLeaves(); });
    std::vector<std::thread> callers;
    callers.reserve(CallerCount);
    for (int i = 0; i < CallerCount; ++i)
      callers.emplace_back([this, i] { call(i); });
    std::this_thread::sleep_for(CalmTime);
    const auto until = Clock::now() + TroubleTime;
    for (int n = 0; Clock::now() < until; ++n) {
      send("poison-" + std::to_string(n), n, "/nono601/poison");
      std::this_thread::sleep_for(ComesAgainAfter);
    }
    Stop = true;
    for (auto &caller : callers)
      caller.join();
    platform.join();
    const int late = countLateRetries();
    Log.result("harmless requests answered " + std::to_string(Answered) +
               ", not answered with 200 " + std::to_string(Failed) +
               "; leaves that the request took down " +
               std::to_string(Crashes.size()) +
               ", retries that reached leaves later than stabilityWindowMs "
               "after the third " +
               std::to_string(late));
    if (Answered == 0)
      return CouldNotRun;
    return late > MaxLateRetries ? RuleBroken : RuleHeld;
  }

private:
  void start(int i) {
    Slot &slot = Slots[i];
    const std::string id =
        "i-preis-" + std::to_string(i) + "-" + std::to_string(++slot.Starts);
    slot.Current = std::make_shared<Process>();
    slot.EntryRemoved = false;
    slot.Running = std::make_unique<Leaf>(
        id, "preisportal", Deployment::Zones[i % 3],
        [this, process = slot.Current, id](const Arrival &it) {
          return handle(*process, id, it);
        });
    System.PlatformStore.put(slot.Running->key(), slot.Running->entry());
    Log.line("leaf " + id + " starts");
  }

  std::string handle(Process &process, const std::string &leaf,
                     const Arrival &it) {
    const bool poison = withTrouble() && it.Request.secondWord().find(
                                             "poison") != std::string::npos;
    if (poison) {
      const std::lock_guard lock(Mutex);
      if (!process.Silent) {
        Log.line("leaf " + leaf + " begins to run " + it.Id +
                 " and falls silent");
        Crashes.push_back(Clock::now());
        Reached.emplace(it.Id, Clock::now());
        process.SilentSince = Clock::now();
        process.Silent = true;
      }
    }
    // Says nothing more, also on other connections.
    while (process.Silent && !process.Ended && !Stop)
      std::this_thread::sleep_for(Milliseconds(5));
    if (process.Silent)
      return "";
    std::this_thread::sleep_for(WorkTime);
    return answer("200 OK", signature(leaf, it.Id), "prices");
  }

  void restartLeaves() {
    while (!Stop) {
      for (int i = 0; i < LeafCount; ++i) {
        Slot &slot = Slots[i];
        if (!slot.Current->Silent)
          continue;
        const auto silent = Clock::now() - slot.Current->SilentSince;
        if (silent >= EntryTime && !slot.EntryRemoved) {
          System.PlatformStore.remove(slot.Running->key());
          slot.EntryRemoved = true;
        }
        if (silent < SilentTime)
          continue;
        slot.Current->Ended = true;
        slot.Running->stop();
        start(i);
      }
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  std::optional<Message> send(const std::string &id, int host,
                              const std::string &path) {
    Caller caller(System.Hosts[host % HostCount]->Front);
    Log.line("caller sends " + id + " to " + caller.Front);
    auto reply = caller.send("GET", path, id, Deadline);
    Log.line(id + " gets " + (reply ? reply->secondWord() : "no answer"));
    return reply;
  }

  void call(int number) {
    for (int n = 0; !Stop; ++n) {
      const std::string id =
          "c" + std::to_string(number) + "-" + std::to_string(n);
      const auto reply = send(id, number + n, "/nono601/" + id);
      ++(reply && reply->status() == 200 ? Answered : Failed);
      std::this_thread::sleep_for(Milliseconds(50));
    }
  }

  int countLateRetries() {
    const std::lock_guard lock(Mutex);
    if (Crashes.size() < CountsAfterCrashes)
      return 0;
    const auto from = Crashes[CountsAfterCrashes - 1] + StabilityWindow;
    return static_cast<int>(
        std::count_if(Reached.begin(), Reached.end(),
                      [from](const auto &it) { return it.second > from; }));
  }

  Record Log;
  std::mutex Mutex;
  std::vector<Clock::time_point> Crashes;
  /// When each retry first reached a leaf that it took down.
  std::map<std::string, Clock::time_point> Reached;
  std::atomic<bool> Stop = false;
  std::atomic<int> Answered = 0;
  std::atomic<int> Failed = 0;
  Deployment System;
  std::vector<Slot> Slots;
};

} // namespace

int main(int argc, char **argv) {
  return argc == 2 ? DarkCrashes(argv[1]).run() : CouldNotRun;
}
