// Leaves of a service crash, and a caller sends HEAD on a kept connection.
// Exits with 1 if the caller gets bytes that are no answer.

#include "Kit.h"

using namespace review;

namespace {

/// A caller that keeps its connection, and checks what comes on it.
class Caller {
public:
  Caller(ConnectionPtr connection, Record &record)
      : To(std::move(connection)), Log(record) {}

  /// Sends a request and checks the bytes up to the next one.
  void call(const std::string &method) {
    const std::string id = hexId(++Count);
    To->send(request(method, "/goka902/2f", id, 3000));
    Log.line("caller sends " + method + " id=" + id);
    const auto answer = readMessage(*To, 5000, method == "HEAD");
    Log.line("caller gets " + shown(answer ? answer->First : To->Buffer));
    if (!answer || !answer->First.starts_with("HTTP/1.1 ")) {
      Log.line("BROKEN: MIXED: not the first line of an answer");
      Broke = true;
      return;
    }
    // No request waits now: nothing more may come.
    while (To->receive(300)) {
    }
    if (!To->Buffer.empty()) {
      Log.line("BROKEN: MIXED: bytes with no request waiting: " +
               shown(To->Buffer));
      Broke = true;
    }
  }

  bool broken() const { return Broke; }

private:
  ConnectionPtr To;
  Record &Log;
  long Count = 0;
  bool Broke = false;
};

Verdict play(Record &record) {
  Store store;
  std::vector<std::unique_ptr<Server>> leaves;
  for (const std::string id : {"i-7f3a91c2", "i-02d9e6b4"}) {
    leaves.push_back(
        std::make_unique<Server>([&record, id](const ConnectionPtr &to) {
          serveLeaf(to, id, [&record](const LeafRun &run) {
            record.line("leaf " + run.Leaf + " runs " + run.Request.word(0) +
                        " id=" + run.id());
            return "price list";
          });
        }));
    store.put("servers/" + id,
              leafEntry("studio-konto", leaves.back()->address(), "wien-a", 1));
  }
  store.put("op/config",
            configText(7,
                       json::array({plainRoute("r-filing-check", "/goka902/",
                                               "idempotent", "studio-konto")}),
                       json::array({serviceRule("studio-konto")})));
  Hosts hosts(store.address());
  const Hosts::Host &host = hosts.add();
  const auto connection =
      Hosts::waitReady(host) ? Connection::to(host.Callers) : nullptr;
  if (!connection)
    return NotRun;
  Caller caller(connection, record);
  caller.call("GET");
  caller.call("HEAD");
  if (troubled()) {
    record.line("both leaves crash");
    for (const auto &it : leaves)
      it->stop();
  }
  caller.call("HEAD");
  caller.call("GET");
  return caller.broken() ? Broken : Held;
}

} // namespace

int main(int argc, char **argv) { return runScript(argc, argv, play); }
