// A caller sends a body with a transfer coding other than chunked. Exits with 1
// if a leaf runs a request that was part of that body, or gets another body.

#include "Kit.h"

using namespace review;

namespace {

constexpr const char *Path = "/goka902/2f";

/// What a leaf has run: bodies by request id.
struct Runs {
  std::mutex Lock;
  std::vector<std::pair<std::string, std::string>> All;
};

/// @param coding the request's transfer coding; empty for a Content-Length
std::string outerRequest(const std::string &id, const std::string &coding,
                         const std::string &body) {
  const std::string text = request("POST", Path, id, 3000);
  return text.substr(0, text.size() - 2) +
         (coding.empty() ? "Content-Length: " + std::to_string(body.size())
                         : "Transfer-Encoding: " + coding) +
         "\r\n\r\n" + body;
}

Verdict check(Runs &runs, const std::set<std::string> &sent,
              const std::string &body, Record &record) {
  Verdict verdict = Held;
  const std::lock_guard guard(runs.Lock);
  for (const auto &[id, got] : runs.All) {
    if (sent.contains(id) && got == body)
      continue;
    record.line(sent.contains(id)
                    ? "BROKEN: UNASKED: body changed, id=" + id
                    : "BROKEN: UNASKED: run from inside another request, id=" +
                          id);
    verdict = Broken;
  }
  return verdict;
}

Verdict play(Record &record) {
  Store store;
  Runs runs;
  Server leaf([&](const ConnectionPtr &to) {
    serveLeaf(to, "i-7f3a91c2", [&](const LeafRun &run) {
      record.line("leaf runs " + run.Request.First + " id=" + run.id() +
                  " body=" + shown(run.Request.Body));
      const std::lock_guard guard(runs.Lock);
      runs.All.emplace_back(run.id(), run.Request.Body);
      return "filed";
    });
  });
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
  if (!Hosts::waitReady(host))
    return NotRun;
  // A filing whose text looks like a request.
  const std::string body =
      request("POST", "/goka902/delete-all", hexId(99), 3000, "all=1");
  std::set<std::string> sent;
  long n = 0;
  for (const std::string coding : {"identity", "gzip", "chunked, identity"}) {
    const auto caller = Connection::to(host.Callers);
    if (!caller)
      return NotRun;
    const std::string id = hexId(++n);
    sent.insert(id);
    caller->send(outerRequest(id, troubled() ? coding : "", body));
    record.line(
        "caller sends POST id=" + id + " with " +
        (troubled() ? "Transfer-Encoding: " + coding : "Content-Length") +
        ", body=" + shown(body));
    while (const auto answer = readMessage(*caller, 1500))
      record.line("caller gets " + answer->First);
  }
  return check(runs, sent, body, record);
}

} // namespace

int main(int argc, char **argv) { return runScript(argc, argv, play); }
