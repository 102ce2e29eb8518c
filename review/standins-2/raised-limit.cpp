// Case 10: a new version raises maxBodyBytes; requests that it allows must not
// be refused by the limit of the version before.

#include "Deployment.h"

using namespace review;

namespace {

constexpr int HostCount = 7;
constexpr int LeafCount = 10;
constexpr int CallerCount = 84;
constexpr int LowLimit = 65536;
constexpr int HighLimit = 262144;
/// Size of a body that only the new version allows.
constexpr std::size_t LargeBody = 100000;
constexpr Milliseconds Deadline{6000};
constexpr Milliseconds CalmTime{6000};
/// configApplyMs, and as long again.
constexpr Milliseconds WaitAfterAck{6000};
/// The rule's bound: 5 and one in this many requests.
constexpr int DeniedBase = 5;
constexpr int DeniedRatio = 500;

class RaisedLimit {
public:
  explicit RaisedLimit(const std::string &recordFile) : Log(recordFile) {}

  int run() {
    System.addLeaves("studio-konto", LeafCount, [this](const std::string &id) {
      return [this, id](const Arrival &arrival) {
        Log.line("leaf " + id + " runs " + arrival.Id);
        return answer("200 OK", signature(id, arrival.Id), "filed");
      };
    });
    putVersion(7, withTrouble() ? LowLimit : HighLimit);
    if (!System.startHosts(HostCount)) {
      Log.result("hosts did not become ready");
      return CouldNotRun;
    }
    std::this_thread::sleep_for(CalmTime);
    std::vector<Caller> callers;
    callers.reserve(CallerCount);
    for (int i = 0; i < CallerCount; ++i)
      callers.emplace_back(System.Hosts[i % HostCount]->Front);
    // Opens the connections, which then stay idle for less than four fifths of
    // idleTimeoutMs.
    sendAll(callers, "before", std::string(1000, 'b'));
    putVersion(9, HighLimit);
    std::this_thread::sleep_for(WaitAfterAck);
    const int denied = sendAll(callers, "after", std::string(LargeBody, 'b'));
    const int allowed = DeniedBase + 2 * CallerCount / DeniedRatio;
    Log.result("requests " + std::to_string(2 * CallerCount) +
               ", refused with 413 though all versions since configApplyMs "
               "allow them " +
               std::to_string(denied) + ", allowed by the rule " +
               std::to_string(allowed));
    return denied > allowed ? RuleBroken : RuleHeld;
  }

private:
  void putVersion(int version, int maxBodyBytes) {
    Json config = makeConfig(
        version, {route("r-file", "/nono601/", false, "studio-konto")},
        {"studio-konto"});
    config["limits"]["maxBodyBytes"] = maxBodyBytes;
    System.putConfig(config);
    Log.line("operator's version " + std::to_string(version) +
             " is acknowledged, maxBodyBytes " + std::to_string(maxBodyBytes));
  }

  /// Sends one request on each connection.
  /// @return requests that were refused with 413
  int sendAll(std::vector<Caller> &callers, const std::string &when,
              const std::string &body) {
    int denied = 0;
    for (std::size_t i = 0; i < callers.size(); ++i) {
      const std::string id = when + "-" + std::to_string(i);
      const bool kept = callers[i].answers() > 0;
      const auto reply =
          callers[i].send("POST", "/nono601/2f", id, Deadline, body);
      Log.line("caller sends POST " + id + ", " + std::to_string(body.size()) +
               " bytes, to " + callers[i].Front +
               (kept ? " on a kept connection" : " on a new connection") +
               ", gets " + (reply ? reply->secondWord() : "no answer"));
      denied += reply && reply->status() == 413 ? 1 : 0;
    }
    return denied;
  }

  Record Log;
  Deployment System;
};

} // namespace

int main(int argc, char **argv) {
  return argc == 2 ? RaisedLimit(argv[1]).run() : CouldNotRun;
}
