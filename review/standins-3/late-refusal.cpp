// A faulty leaf sends additional bytes after its refusals, late. Exits with 1
// if a request that may run once runs twice, or is answered as not run and has
// run.

#include "Kit.h"

using namespace review;

namespace {

/// Additional bytes after a complete response: a refusal that names no request,
/// in the form that `fleetbench wire SITE` prints.
const std::string ExtraBytes = "HTTP/1.1 503 Service Unavailable\r\n"
                               "Savorytrestle-Not-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n";

/// Runs of all leaves by request.
struct Runs {
  std::mutex Lock;
  std::map<std::string, int> ById;

  int of(const std::string &id) {
    const std::lock_guard guard(Lock);
    return ById[id];
  }
};

/// A leaf that is full at times.
class FillingLeaf {
public:
  FillingLeaf(std::string id, bool sendsExtra, Runs &runs, Record &record)
      : Id(std::move(id)), SendsExtra(sendsExtra), All(runs), Log(record),
        Http([this](const ConnectionPtr &to) { serve(to); }) {}

  std::string address() const { return Http.address(); }
  void setFull(bool full) { Full = full; }

  const std::string Id;

private:
  void serve(const ConnectionPtr &to) {
    bool extraDue = false;
    while (const auto it = readMessage(*to, 60000)) {
      const LeafRun run{Id, *it};
      // Where the next response is expected.
      if (std::exchange(extraDue, false)) {
        Log.line("leaf " + Id + " sends additional bytes");
        to->send(ExtraBytes);
      }
      if (Full) {
        Log.line("leaf " + Id + " refuses id=" + run.id());
        to->send(response(503,
                          {{"Savorytrestle-Not-Executed", "1"},
                           {"Savorytrestle-Request-Id", run.id()}},
                          ""));
        extraDue = SendsExtra;
        continue;
      }
      {
        const std::lock_guard guard(All.Lock);
        ++All.ById[run.id()];
      }
      Log.line("leaf " + Id + " runs id=" + run.id());
      sleepFor(60);
      to->send(response(200, signedBy(run), "filed"));
    }
  }

  const bool SendsExtra;
  Runs &All;
  Record &Log;
  std::atomic<bool> Full = false;
  Server Http;
};

bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Filings at once, each on a connection of its own.
/// @return the statuses of their answers by request, 0 without one
std::map<std::string, int> file(const Hosts::Host &host, long firstId,
                                Record &record) {
  constexpr long Count = 12;
  std::mutex lock;
  std::map<std::string, int> statuses;
  std::vector<std::thread> callers;
  for (long n = 0; n < Count; ++n)
    callers.emplace_back([&, id = hexId(firstId + n)] {
      int status = 0;
      if (const auto to = Connection::to(host.Callers)) {
        to->send(request("POST", "/goka902/2f", id, 3000, "price=4200"));
        if (const auto answer = readMessage(*to, 5000))
          status = answer->status();
      }
      record.line("caller sent POST id=" + id + " and gets " +
                  std::to_string(status));
      const std::lock_guard guard(lock);
      statuses[id] = status;
    });
  for (std::thread &it : callers)
    it.join();
  return statuses;
}

Verdict play(Record &record) {
  Store store;
  Runs runs;
  FillingLeaf faulty("i-7f3a91c2", troubled(), runs, record);
  FillingLeaf sound("i-02d9e6b4", false, runs, record);
  for (const FillingLeaf *it : {&faulty, &sound})
    store.put("servers/" + it->Id,
              leafEntry("meldestelle", it->address(), "wien-a", 1));
  store.put(
      "op/config",
      configText(7,
                 json::array({plainRoute("r-filing", "/goka902/",
                                         "non_idempotent", "meldestelle")}),
                 json::array({serviceRule("meldestelle")})));
  Hosts hosts(store.address());
  const Hosts::Host &host = hosts.add();
  if (!Hosts::waitReady(host))
    return NotRun;
  // Past the start, in which a host has no allowance for second sends.
  sleepFor(12000);
  Verdict verdict = Held;
  long firstId = 1;
  for (const bool full : {true, false, true, false}) {
    faulty.setFull(full);
    sound.setFull(full);
    const auto statuses = file(host, firstId, record);
    firstId += 100;
    sleepFor(500);
    for (const auto &[id, status] : statuses) {
      const int count = runs.of(id);
      if (count <= 1 && (count == 0 || !promisesNotRun(status)))
        continue;
      record.line(count > 1
                      ? "BROKEN: TWICE: id=" + id
                      : "BROKEN: REFUSED: answered " + std::to_string(status) +
                            " and has run, id=" + id);
      verdict = Broken;
    }
  }
  return verdict;
}

} // namespace

int main(int argc, char **argv) { return runScript(argc, argv, play); }
