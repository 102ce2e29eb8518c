// A faulty leaf sends a second copy of a refusal, late. Exits with 1 if a
// request that may run once is answered as not run, and has run, or runs twice.

#include "Kit.h"

using namespace review;

namespace {

/// The answer of a leaf that is full, as `fleetbench wire SITE` prints it.
const std::string Shed = "HTTP/1.1 503 Service Unavailable\r\n"
                         "Savorytrestle-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n";

/// A leaf that is full at times.
class FaultyLeaf {
public:
  FaultyLeaf(Record &record, bool sendsExtra)
      : Log(record), SendsExtra(sendsExtra),
        Http([this](const ConnectionPtr &to) { serve(to); }) {}

  std::string address() const { return Http.address(); }
  void setFull(bool full) { Full = full; }

  int runs(const std::string &id) {
    const std::lock_guard guard(Lock);
    return RunsById[id];
  }

private:
  void serve(const ConnectionPtr &to) {
    bool extraDue = false;
    while (const auto it = readMessage(*to, 60000)) {
      const LeafRun run{"i-7f3a91c2", *it};
      // Where the next response is expected.
      if (std::exchange(extraDue, false)) {
        Log.line("leaf sends the second copy of its refusal");
        to->send(Shed);
      }
      if (Full) {
        Log.line("leaf refuses id=" + run.id());
        to->send(Shed);
        extraDue = SendsExtra;
        continue;
      }
      {
        const std::lock_guard guard(Lock);
        ++RunsById[run.id()];
      }
      Log.line("leaf runs id=" + run.id());
      sleepFor(60);
      to->send(response(200, signedBy(run), "filed"));
    }
  }

  Record &Log;
  const bool SendsExtra;
  std::atomic<bool> Full = false;
  std::mutex Lock;
  std::map<std::string, int> RunsById;
  Server Http;
};

bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

Verdict play(Record &record) {
  Store store;
  FaultyLeaf leaf(record, troubled());
  store.put("servers/i-7f3a91c2",
            leafEntry("meldestelle", leaf.address(), "wien-a", 1));
  store.put(
      "op/config",
      configText(7,
                 json::array({plainRoute("r-filing", "/goka902/",
                                         "non_idempotent", "meldestelle")}),
                 json::array({serviceRule("meldestelle")})));
  Hosts hosts(store.address());
  const Hosts::Host &host = hosts.add();
  const auto caller =
      Hosts::waitReady(host) ? Connection::to(host.Callers) : nullptr;
  if (!caller)
    return NotRun;
  Verdict verdict = Held;
  for (long n = 1; n <= 6; ++n) {
    // The leaf is full for every other request.
    leaf.setFull(n % 2 == 1);
    const std::string id = hexId(n);
    caller->send(request("POST", "/goka902/2f", id, 3000, "price=4200"));
    const auto answer = readMessage(*caller, 5000);
    if (!answer)
      return NotRun;
    record.line("caller sent POST id=" + id + " and gets " + answer->First);
    sleepFor(300);
    const int runs = leaf.runs(id);
    if (runs > 1 || (runs > 0 && promisesNotRun(answer->status()))) {
      record.line("BROKEN: " + std::string(runs > 1 ? "TWICE" : "REFUSED") +
                  " id=" + id);
      verdict = Broken;
    }
  }
  return verdict;
}

} // namespace

int main(int argc, char **argv) { return runScript(argc, argv, play); }
