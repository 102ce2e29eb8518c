// Two of five leaves turn slow. Callers that keep their connections look up a
// price and file 0.1 s later, whether or not the look-up has been answered
// (HTTP/1.1 pipelining); after both answers they file once more.
// Exits with 1 if a filing runs twice, or a caller gets another one's answer.

#include "Kit.h"

using namespace review;

namespace {

constexpr int Leaves = 5;
constexpr int SlowLeaves = 2;
constexpr int SlowFactor = 12;
constexpr int WorkMs = 15;
constexpr int Callers = 8;
constexpr int GapMs = 100;
constexpr int AnswerTimeoutMs = 7000;
constexpr int Rounds = 3;

class Runs {
public:
  explicit Runs(Record &record) : Log(record) {}

  /// Runs a request at a leaf.
  /// @return the body of the answer, which names the request
  std::string run(const LeafRun &run, bool slow) {
    {
      const std::lock_guard guard(Lock);
      ++Counts[run.id()];
    }
    Log.line("leaf " + run.Leaf + " runs " + run.Request.word(0) +
             " id=" + run.id());
    sleepFor(slow ? WorkMs * SlowFactor : WorkMs);
    return "answer to " + run.id();
  }

  int count(const std::string &id) {
    const std::lock_guard guard(Lock);
    const auto it = Counts.find(id);
    return it == Counts.end() ? 0 : it->second;
  }

  std::atomic<bool> Slow = false;

private:
  Record &Log;
  std::mutex Lock;
  std::map<std::string, int> Counts;
};

/// A caller with one connection.
class Caller {
public:
  Caller(int number, int port, Record &record)
      : Number(number), Port(port), Log(record), To(Connection::to(port)) {}

  void round() {
    if (!To)
      To = Connection::to(Port);
    if (!To)
      return;
    const std::string look = send("GET", "/nono601/2f");
    sleepFor(GapMs);
    const std::string first = send("POST", "/goka902/2f");
    if (!take(look) || !take(first)) {
      To = nullptr;
      return;
    }
    sleepFor(GapMs);
    if (const std::string second = send("POST", "/goka902/2f"); !take(second))
      To = nullptr;
  }

  const std::vector<std::string> &filings() const { return Filings; }
  bool broken() const { return Broke; }

private:
  std::string send(const std::string &method, const std::string &path) {
    constexpr long IdsPerCaller = 0x1000;
    constexpr int DeadlineMs = 6000;
    std::string id = hexId(Number * IdsPerCaller + ++Count);
    if (method == "POST")
      Filings.push_back(id);
    Log.line("caller sends " + method + " id=" + id);
    To->send(request(method, path, id, DeadlineMs,
                     method == "POST" ? "a filing" : ""));
    return id;
  }

  /// Takes the next answer, which is due for a request.
  bool take(const std::string &id) {
    const auto answer = readMessage(*To, AnswerTimeoutMs);
    if (!answer) {
      Log.line("caller gets no answer for id=" + id);
      return false;
    }
    Log.line("caller gets " + answer->word(1) + " \"" + shown(answer->Body) +
             "\" for id=" + id);
    if (answer->status() == 200 && answer->Body != "answer to " + id) {
      Log.line("BROKEN: MIXED: the answer belongs to another request");
      Broke = true;
    }
    return answer->header("Connection") != "close";
  }

  int Number;
  int Port;
  Record &Log;
  ConnectionPtr To;
  std::vector<std::string> Filings;
  long Count = 0;
  bool Broke = false;
};

void playRounds(std::vector<Caller> &callers) {
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (Caller &caller : callers)
    threads.emplace_back([&caller] {
      for (int i = 0; i < Rounds; ++i)
        caller.round();
    });
  for (std::thread &it : threads)
    it.join();
}

bool findBroken(const std::vector<Caller> &callers, Runs &runs,
                Record &record) {
  bool broken = false;
  for (const Caller &caller : callers) {
    broken = broken || caller.broken();
    for (const std::string &id : caller.filings())
      if (const int n = runs.count(id); n > 1) {
        record.line("BROKEN: TWICE: filing id=" + id + " ran " +
                    std::to_string(n) + " times");
        broken = true;
      }
  }
  return broken;
}

Verdict play(Record &record) {
  Store store;
  Runs runs(record);
  std::vector<std::unique_ptr<Server>> leaves;
  for (int i = 0; i < Leaves; ++i) {
    const std::string id = "i-7f3a91c" + std::to_string(i);
    leaves.push_back(
        std::make_unique<Server>([&runs, id, i](const ConnectionPtr &to) {
          serveLeaf(to, id, [&runs, i](const LeafRun &run) {
            return runs.run(run, i < SlowLeaves && runs.Slow);
          });
        }));
    store.put("servers/" + id,
              leafEntry("studio-konto", leaves.back()->address(), "wien-a", 1));
  }
  store.put(
      "op/config",
      configText(7,
                 json::array({plainRoute("r-price", "/nono601/", "idempotent",
                                         "studio-konto"),
                              plainRoute("r-filing", "/goka902/",
                                         "non_idempotent", "studio-konto")}),
                 json::array({serviceRule("studio-konto")})));
  Hosts hosts(store.address());
  const Hosts::Host &host = hosts.add();
  if (!Hosts::waitReady(host))
    return NotRun;
  std::vector<Caller> callers;
  for (int i = 1; i <= Callers; ++i)
    callers.emplace_back(i, host.Callers, record);
  playRounds(callers);
  if (troubled()) {
    record.line("two of five leaves turn slow");
    runs.Slow = true;
  }
  playRounds(callers);
  return findBroken(callers, runs, record) ? Broken : Held;
}

} // namespace

int main(int argc, char **argv) { return runScript(argc, argv, play); }
