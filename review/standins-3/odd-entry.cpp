// Another writer puts an entry under servers/ that lacks fields, and has one of
// another type. Exits with 1 if the server that it names, which is no leaf,
// gets a caller's request.

#include "Kit.h"

using namespace review;

namespace {

/// Two leaves, and a server of something else that knows nothing of leaves'
/// headers.
struct Servers {
  explicit Servers(Record &record)
      : Foreign([this, &record](const ConnectionPtr &to) {
          while (const auto it = readMessage(*to, 60000)) {
            ++ForeignRuns;
            record.line("foreign server runs " + it->First +
                        " id=" + it->header("Savorytrestle-Request-Id"));
            to->send(response(200, {}, "done"));
          }
        }) {
    for (const std::string id : {"i-7f3a91c2", "i-02d9e6b4"})
      Leaves[id] = std::make_unique<Server>(
          [this, &record, id](const ConnectionPtr &to) {
            serveLeaf(to, id, [&](const LeafRun &run) {
              ++LeafRuns;
              record.line("leaf " + run.Leaf + " runs id=" + run.id());
              sleepFor(60);
              return "filed";
            });
          });
  }

  std::atomic<int> LeafRuns = 0;
  std::atomic<int> ForeignRuns = 0;
  Server Foreign;
  std::map<std::string, std::unique_ptr<Server>> Leaves;
};

/// Eight callers at once, five filings each.
/// @return whether all have been answered
bool file(const Hosts::Host &host, Record &record) {
  std::atomic<bool> answered = true;
  std::vector<std::thread> callers;
  for (long c = 0; c < 8; ++c)
    callers.emplace_back([&, c] {
      const auto caller = Connection::to(host.Callers);
      for (long n = 1; caller && n <= 5; ++n) {
        const std::string id = hexId(100 * c + n);
        caller->send(request("POST", "/goka902/2f", id, 3000, "price=4200"));
        const auto answer = readMessage(*caller, 5000);
        record.line("caller sent POST id=" + id + " and gets " +
                    (answer ? answer->First : "no answer"));
        answered = answered && answer;
      }
      answered = answered && caller;
    });
  for (std::thread &it : callers)
    it.join();
  return answered;
}

Verdict play(Record &record) {
  Store store;
  Servers servers(record);
  for (const auto &[id, leaf] : servers.Leaves)
    store.put("servers/" + id,
              leafEntry("meldestelle", leaf->address(), "wien-a", 1));
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
  if (troubled()) {
    // "version" and "warmupLeftMs" are missing, "sequence" is of another type.
    const std::string entry =
        json{{"service", "meldestelle"}, {"address", servers.Foreign.address()},
             {"zone", "wien-a"},         {"maxConcurrency", 5},
             {"state", "ready"},         {"sequence", "first"}}
            .dump();
    store.put("servers/backup-tool", entry);
    record.line("another writer puts servers/backup-tool " + entry);
  }
  sleepFor(2000);
  if (!file(host, record))
    return NotRun;
  record.line(
      "requests run by leaves: " + std::to_string(servers.LeafRuns) +
      ", by the foreign server: " + std::to_string(servers.ForeignRuns));
  if (servers.ForeignRuns == 0)
    return Held;
  record.line("BROKEN: ROUTE: the entry names no leaf to use");
  return Broken;
}

} // namespace

int main(int argc, char **argv) { return runScript(argc, argv, play); }
