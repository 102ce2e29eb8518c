// Case 7: a leaf runs requests and then fails some of them with 503; callers
// must not be told that those have not run.

#include "Deployment.h"

using namespace review;

namespace {

constexpr int HostCount = 7;
constexpr int LeafCount = 10;
constexpr int CallerCount = 8;
constexpr Milliseconds WorkTime{30};
constexpr Milliseconds Deadline{6000};
constexpr Milliseconds CalmTime{8000};
constexpr Milliseconds TroubleTime{6500};
constexpr Milliseconds RestTime{2000};
/// The faulty leaf fails so many of ten requests.
constexpr int FailsOfTen = 4;

class RefusedAndRun {
public:
  explicit RefusedAndRun(const std::string &recordFile) : Log(recordFile) {}

  int run() {
    System.addLeaves("studio-konto", LeafCount, [this](const std::string &id) {
      return [this, id](const Arrival &arrival) { return handle(id, arrival); };
    });
    System.putConfig(
        makeConfig(7, {route("r-file", "/nono601/", false, "studio-konto")},
                   {"studio-konto"}));
    if (!System.startHosts(HostCount)) {
      Log.result("hosts did not become ready");
      return CouldNotRun;
    }
    std::vector<std::thread> callers;
    callers.reserve(CallerCount);
    for (int i = 0; i < CallerCount; ++i)
      callers.emplace_back([this, i] { call(i); });
    std::this_thread::sleep_for(CalmTime);
    Fails = withTrouble();
    std::this_thread::sleep_for(TroubleTime);
    Fails = false;
    std::this_thread::sleep_for(RestTime);
    Stop = true;
    for (auto &caller : callers)
      caller.join();
    Log.result("answers " + std::to_string(Answered) + ", failed by the leaf " +
               std::to_string(Failed) +
               ", answered 503 although a leaf ran them " +
               std::to_string(RefusedAndRan) +
               ", filings that ran more than once since their caller came "
               "again after such a 503 " +
               std::to_string(RanAgain));
    if (Answered == 0)
      return CouldNotRun;
    return RefusedAndRan > 0 ? RuleBroken : RuleHeld;
  }

private:
  std::string handle(const std::string &leaf, const Arrival &arrival) {
    {
      const std::lock_guard lock(Mutex);
      Ran.insert(arrival.Id);
    }
    Log.line("leaf " + leaf + " runs " + arrival.Id);
    std::this_thread::sleep_for(WorkTime);
    if (leaf == "i-studio-konto-0" && Fails && Turns++ % 10 < FailsOfTen) {
      ++Failed;
      Log.line("leaf " + leaf + " fails " + arrival.Id);
      // No Savorytrestle-Not-Executed: it has run.
      return answer("503 Service Unavailable",
                    "Savorytrestle-Request-Id: " + arrival.Id + "\r\n",
                    "backend failed");
    }
    return answer("200 OK", signature(leaf, arrival.Id), "filed");
  }

  /// Sends filings one after the other, each again after a promise that it
  /// has not run, and at another host.
  void call(int number) {
    for (int n = 0; !Stop; ++n) {
      const std::string filing =
          "n" + std::to_string(number) + "-" + std::to_string(n);
      int runs = 0;
      for (int attempt = 0; attempt < 2; ++attempt) {
        Caller caller(System.Hosts[(number + n + attempt) % HostCount]->Front);
        const std::string id = filing + "-" + std::to_string(attempt);
        Log.line("caller sends POST " + id + " to " + caller.Front);
        const auto reply =
            caller.send("POST", "/nono601/2f", id, Deadline, filing);
        Log.line(id + " gets " + (reply ? reply->secondWord() : "no answer"));
        Answered += reply ? 1 : 0;
        const bool ran = hasRun(id);
        runs += ran ? 1 : 0;
        if (!reply || reply->status() != 503)
          break;
        if (ran) {
          ++RefusedAndRan;
          Log.line(id + " was answered 503 and has run");
        }
      }
      RanAgain += runs > 1 ? 1 : 0;
      std::this_thread::sleep_for(Milliseconds(50));
    }
  }

  bool hasRun(const std::string &id) {
    const std::lock_guard lock(Mutex);
    return Ran.count(id) > 0;
  }

  Record Log;
  std::mutex Mutex;
  std::set<std::string> Ran;
  std::atomic<bool> Fails = false;
  std::atomic<bool> Stop = false;
  std::atomic<int> Turns = 0;
  std::atomic<int> Failed = 0;
  std::atomic<int> Answered = 0;
  std::atomic<int> RefusedAndRan = 0;
  std::atomic<int> RanAgain = 0;
  Deployment System;
};

} // namespace

int main(int argc, char **argv) {
  return argc == 2 ? RefusedAndRun(argv[1]).run() : CouldNotRun;
}
