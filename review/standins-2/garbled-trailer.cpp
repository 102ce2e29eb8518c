// Case 6: one leaf spoils a few of its answers; the hosts must go on.

#include "Deployment.h"

using namespace review;

namespace {

constexpr int HostCount = 7;
constexpr int LeafCount = 10;
constexpr int CallerCount = 40;
constexpr Milliseconds WorkTime{220};
constexpr Milliseconds Deadline{6000};
constexpr Milliseconds CalmTime{8000};
constexpr Milliseconds GarbleTime{5000};
constexpr Milliseconds RestTime{4000};
/// Time after which the platform starts a process again that has ended.
constexpr Milliseconds RestartDelay{500};
/// One leaf spoils one in this many of its answers.
constexpr int GarbleEvery = 25;
/// Bytes of the line that a spoiled answer has where its trailer is due.
constexpr std::size_t GarbledBytes = 67000;
/// Requests that may be lost by the rule.
constexpr int MaxLost = 3;

class GarbledTrailer {
public:
  explicit GarbledTrailer(const std::string &recordFile) : Log(recordFile) {}

  int run() {
    System.addLeaves("studio-konto", LeafCount, [this](const std::string &id) {
      return [this, id](const Arrival &arrival) { return handle(id, arrival); };
    });
    System.putConfig(
        makeConfig(7, {route("r-check", "/goka902/", true, "studio-konto")},
                   {"studio-konto"}));
    if (!System.startHosts(HostCount)) {
      Log.result("hosts did not become ready");
      return CouldNotRun;
    }
    std::thread platform([this] { restartEndedHosts(); });
    std::vector<std::thread> callers;
    callers.reserve(CallerCount);
    for (int i = 0; i < CallerCount; ++i)
      callers.emplace_back([this, i] { call(i); });
    std::this_thread::sleep_for(CalmTime);
    Garbles = withTrouble();
    std::this_thread::sleep_for(GarbleTime);
    Garbles = false;
    std::this_thread::sleep_for(RestTime);
    Stop = true;
    for (auto &caller : callers)
      caller.join();
    platform.join();
    Log.result("answers " + std::to_string(Answered) +
               ", spoiled by the leaf " + std::to_string(Garbled) +
               ", hosts that ended by themselves " + std::to_string(Ended) +
               ", requests on kept connections that ran on a sound leaf and "
               "whose connection ended without an answer " +
               std::to_string(Lost));
    if (Answered == 0)
      return CouldNotRun;
    return Lost > MaxLost ? RuleBroken : RuleHeld;
  }

private:
  std::string handle(const std::string &leaf, const Arrival &arrival) {
    std::this_thread::sleep_for(WorkTime);
    Log.line("leaf " + leaf + " ran " + arrival.Id);
    const bool faulty = leaf == "i-studio-konto-0";
    {
      const std::lock_guard lock(Mutex);
      if (!faulty)
        RanOnSoundLeaf.insert(arrival.Id);
    }
    if (faulty && Garbles && Spoils++ % GarbleEvery == 0) {
      ++Garbled;
      Log.line("leaf " + leaf + " spoils its answer to " + arrival.Id);
      return "HTTP/1.1 200 OK\r\n" + signature(leaf, arrival.Id) +
             "Transfer-Encoding: chunked\r\n\r\n5\r\nprice\r\n0\r\nX: " +
             std::string(GarbledBytes, 'g') + "\r\n\r\n";
    }
    return answer("200 OK", signature(leaf, arrival.Id), "price list");
  }

  void call(int number) {
    Caller caller(System.Hosts[number % HostCount]->Front);
    for (int n = 0; !Stop; ++n) {
      const std::string id =
          "c" + std::to_string(number) + "-" + std::to_string(n);
      const bool kept = caller.answers() > 0;
      const auto before = Clock::now();
      Log.line("caller sends " + id + " to " + caller.Front);
      const auto reply = caller.send("GET", "/goka902/2f", id, Deadline);
      Log.line(id + " gets " + (reply ? reply->secondWord() : "no answer"));
      if (reply) {
        ++Answered;
      } else {
        if (kept && Clock::now() - before < Deadline && ranOnSoundLeaf(id)) {
          ++Lost;
          Log.line(id + " is lost: a sound leaf ran it");
        }
        // A retry reaches another host.
        caller.Front = System.Hosts[(number + n + 1) % HostCount]->Front;
        std::this_thread::sleep_for(Milliseconds(100));
      }
    }
  }

  /// Whether a sound leaf has run a request, or runs it now.
  bool ranOnSoundLeaf(const std::string &id) {
    std::this_thread::sleep_for(2 * WorkTime);
    const std::lock_guard lock(Mutex);
    return RanOnSoundLeaf.count(id) > 0;
  }

  void restartEndedHosts() {
    while (!Stop) {
      for (const auto &host : System.Hosts)
        if (const auto how = host->takeEnd()) {
          ++Ended;
          Log.line("host " + host->Name + " ended by itself: " + *how);
          std::this_thread::sleep_for(RestartDelay);
          System.restart(*host);
        }
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  Record Log;
  std::mutex Mutex;
  std::set<std::string> RanOnSoundLeaf;
  std::atomic<bool> Garbles = false;
  std::atomic<bool> Stop = false;
  std::atomic<int> Spoils = 0;
  std::atomic<int> Garbled = 0;
  std::atomic<int> Answered = 0;
  std::atomic<int> Ended = 0;
  std::atomic<int> Lost = 0;
  Deployment System;
};

} // namespace

int main(int argc, char **argv) {
  return argc == 2 ? GarbledTrailer(argv[1]).run() : CouldNotRun;
}
