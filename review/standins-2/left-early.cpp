// Case 9: a request ends each leaf that runs it, and its caller leaves each
// time before the leaf ends.

#include "Deployment.h"

using namespace review;

namespace {

constexpr int HostCount = 7;
constexpr int LeafCount = 30;
constexpr int CallerCount = 6;
constexpr Milliseconds WorkTime{10};
constexpr Milliseconds Deadline{800};
constexpr Milliseconds CalmTime{8000};
constexpr Milliseconds TroubleTime{8000};
/// targetLatencyMs of the route; its caller leaves after half of it.
constexpr int Objective = 150;
constexpr Milliseconds LeavesAfter{Objective / 2};
/// Time from the begin of the run to the end of the leaf's process.
constexpr Milliseconds EndsAfter{150};
/// Pause after which the request comes again, at another machine.
constexpr Milliseconds ComesAgainAfter{300};
/// A leaf that has ended is back after this time.
constexpr Milliseconds BackAfter{3000};
/// The store removes an entry after three heartbeat intervals of 1.2 s.
constexpr Milliseconds EntryTime{3600};
constexpr Milliseconds StabilityWindow{5000};
/// Leaves after whose crash the rule counts, and retries that it allows.
constexpr std::size_t CountsAfterCrashes = 3;
constexpr int MaxLateRetries = 3;

/// A place for a leaf, which is started again after its end.
struct Slot {
  std::unique_ptr<Leaf> Running;
  int Starts = 0;
  std::atomic<bool> MustEnd = false;
  std::optional<Clock::time_point> EndedAt;
};

/// An entry of a leaf that has ended.
struct OldEntry {
  std::string Key;
  Clock::time_point RemoveAt;
};

class LeftEarly {
public:
  explicit LeftEarly(const std::string &recordFile)
      : Log(recordFile), Slots(LeafCount) {}

  int run() {
    for (int i = 0; i < LeafCount; ++i)
      start(i);
    Json price = route("r-price", "/nono601/", true, "preisportal");
    price["targetLatencyMs"] = Objective;
    price["timeoutMs"] = Deadline.count();
    System.putConfig(makeConfig(7, {price}, {"preisportal"}));
    if (!System.startHosts(HostCount)) {
      Log.result("hosts did not become ready");
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
      sendAndLeave(n);
      std::this_thread::sleep_for(ComesAgainAfter);
    }
    Stop = true;
    for (auto &caller : callers)
      caller.join();
    platform.join();
    const int late = countLateRetries();
    Log.result("harmless requests answered " + std::to_string(Answered) +
               ", not answered with 200 " + std::to_string(Failed) +
               "; leaves that the request ended " +
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
    slot.MustEnd = false;
    slot.EndedAt.reset();
    slot.Running = std::make_unique<Leaf>(
        id, "preisportal", Deployment::Zones[i % 3],
        [this, &slot, id](const Arrival &it) { return handle(slot, id, it); });
    System.PlatformStore.put(slot.Running->key(), slot.Running->entry());
    Log.line("leaf " + id + " starts");
  }

  std::string handle(Slot &slot, const std::string &leaf, const Arrival &it) {
    const bool deadly =
        it.Request.secondWord().find("deadly") != std::string::npos;
    if (!deadly || !withTrouble()) {
      std::this_thread::sleep_for(WorkTime);
      return answer("200 OK", signature(leaf, it.Id), "prices");
    }
    {
      const std::lock_guard lock(Mutex);
      Reached.emplace(it.Id, Clock::now());
    }
    Log.line("leaf " + leaf + " begins to run " + it.Id);
    // Goes on when its connection closes, as some leaves do.
    std::this_thread::sleep_for(EndsAfter);
    if (!slot.MustEnd.exchange(true)) {
      Log.line("leaf " + leaf + " ends under " + it.Id);
      const std::lock_guard lock(Mutex);
      Crashes.push_back(Clock::now());
    }
    return "";
  }

  void restartLeaves() {
    while (!Stop) {
      const auto now = Clock::now();
      for (int i = 0; i < LeafCount; ++i) {
        Slot &slot = Slots[i];
        if (slot.MustEnd && !slot.EndedAt) {
          slot.Running->crash();
          slot.EndedAt = now;
          OldEntries.push_back({slot.Running->key(), now + EntryTime});
        } else if (slot.EndedAt && now - *slot.EndedAt >= BackAfter) {
          start(i);
        }
      }
      std::erase_if(OldEntries, [&](const OldEntry &it) {
        if (now < it.RemoveAt)
          return false;
        System.PlatformStore.remove(it.Key);
        return true;
      });
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }

  void sendAndLeave(int n) {
    const std::string id = "deadly-" + std::to_string(n);
    Caller caller(System.Hosts[n % HostCount]->Front);
    Log.line("caller sends " + id + " to " + caller.Front);
    const auto reply = caller.send("GET", "/nono601/deadly", id, Deadline, "",
                                   "", LeavesAfter);
    Log.line(id + (reply ? " gets " + reply->secondWord()
                         : ": its caller leaves after half the objective"));
  }

  void call(int number) {
    for (int n = 0; !Stop; ++n) {
      const std::string id =
          "c" + std::to_string(number) + "-" + std::to_string(n);
      Caller caller(System.Hosts[(number + n) % HostCount]->Front);
      const auto reply = caller.send("GET", "/nono601/" + id, id, Deadline);
      Log.line(id + " gets " + (reply ? reply->secondWord() : "no answer"));
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
  /// When each retry first reached a leaf.
  std::map<std::string, Clock::time_point> Reached;
  std::vector<OldEntry> OldEntries;
  std::atomic<bool> Stop = false;
  std::atomic<int> Answered = 0;
  std::atomic<int> Failed = 0;
  Deployment System;
  std::vector<Slot> Slots;
};

} // namespace

int main(int argc, char **argv) {
  return argc == 2 ? LeftEarly(argv[1]).run() : CouldNotRun;
}
