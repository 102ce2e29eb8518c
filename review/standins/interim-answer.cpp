// Leaves spoil a few of their answers: in place of the answer they send the
// bytes of an interim response, after which nothing follows. Counts the
// requests that never get a final answer.

#include "Deployment.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int HostCount = 3;
constexpr int LeafCount = 6;
/// Half of the leaves spoil one answer in 25, for five seconds.
constexpr int SpoilingLeaves = 3;
constexpr int SpoilEach = 25;
constexpr auto SpoilTime = 5s;
constexpr const char *Spoiled = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int Clients = 40;
constexpr auto ClientPause = 100ms;
/// The route's timeoutMs, and the half second after it.
constexpr auto RouteTimeout = 2000ms;
constexpr auto Slack = 500ms;
constexpr const char *ClientDeadlineMs = "4000";

/// Whether a request got a final answer by these times.
struct Outcome {
  bool InTimeout = false;
  bool InSlack = false;
};

/// Sends a request that may run once, and reads until a final answer: interim
/// responses (1xx) are skipped, as HTTP/1.1 has it.
Outcome send(Deployment &fleet, const Host &host, const std::string &id) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  error_code ec;
  socket.connect(loopback(host.FrontPort), ec);
  Request request{http::verb::post, "/u/x", 11};
  request.set(http::field::host, "a.example");
  request.set("Savorytrestle-Request-Id", id);
  request.set("Savorytrestle-Deadline-Ms", ClientDeadlineMs);
  request.body() = "filing " + id;
  request.prepare_payload();
  fleet.Log.line("sent", id, host.Id);
  const auto start = Clock::now();
  if (!ec)
    http::write(socket, request, ec);
  boost::beast::flat_buffer buffer;
  Response response;
  std::function<void()> read = [&] {
    response = {};
    http::async_read(socket, buffer, response, [&](error_code error, auto) {
      fleet.Log.line("answered", id,
                     error ? error.message()
                           : std::to_string(response.result_int()));
      if (!error && response.result_int() < 200)
        read();
    });
  };
  if (ec)
    return {};
  read();
  Outcome outcome;
  io.run_until(start + RouteTimeout);
  outcome.InTimeout = io.stopped();
  io.run_until(start + RouteTimeout + Slack);
  outcome.InSlack = io.stopped();
  if (!outcome.InSlack)
    fleet.Log.line("no final answer", id);
  return outcome;
}

/// Makes a leaf spoil each 25th answer while `spoils` is set.
void spoil(Deployment &fleet, Leaf &leaf,
           const std::shared_ptr<std::atomic<bool>> &spoils) {
  leaf.OnRun = [&fleet, &leaf, spoils,
                count = 0](const Leaf &, const Request &request,
                           const Respond &respond) mutable {
    const auto id = text(request["Savorytrestle-Request-Id"]);
    if (!*spoils || ++count % SpoilEach != 0)
      return respond(leaf.answer(id));
    fleet.Log.line("spoiled", id, leaf.Id);
    Response raw = makeResponse(200);
    raw.set(RawBytes, Spoiled);
    respond(std::move(raw));
  };
}

int play(Deployment &fleet) {
  const auto spoils = std::make_shared<std::atomic<bool>>(false);
  for (int i = 0; i < LeafCount; ++i) {
    Leaf &leaf = fleet.addLeaf("i-" + std::to_string(i), "svc",
                               std::string("zone-") + "abc"[i % 3]);
    if (i < SpoilingLeaves)
      fleet.onStandIns([&] {
        spoil(fleet, leaf, spoils);
        return 0;
      });
  }
  fleet.putConfig(
      makeConfig(1, {makeRoute("u", "/u/", "svc", false)}, {"svc"}));
  if (!fleet.startHosts(HostCount, {"zone-a", "zone-b", "zone-c"})) {
    fleet.Log.show("the hosts have not become ready");
    return CouldNotRun;
  }
  std::this_thread::sleep_for(3s);
  *spoils = hasTrouble();
  std::atomic<int> sent{0};
  std::atomic<int> late{0};
  std::atomic<int> never{0};
  std::vector<std::thread> clients;
  clients.reserve(Clients);
  const auto until = Clock::now() + SpoilTime;
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0; Clock::now() < until; ++n) {
        const Outcome outcome = send(
            fleet, *fleet.Hosts[static_cast<std::size_t>(i + n) % HostCount],
            std::to_string(i) + "-" + std::to_string(n));
        ++sent;
        late += outcome.InTimeout ? 0 : 1;
        never += outcome.InSlack ? 0 : 1;
        std::this_thread::sleep_for(ClientPause);
      }
    });
  for (std::thread &client : clients)
    client.join();
  fleet.Log.show("sent", sent, "unanswered at timeoutMs", late,
                 "and half a second later", never);
  if (sent < 100)
    return CouldNotRun;
  return 2 * never > late ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return CouldNotRun;
  Deployment fleet(argv[1], argv[2]);
  const int result = play(fleet);
  fleet.Log.show(result == RuleBroken ? "rule broken"
                 : result == RuleHeld ? "rule held"
                                      : "could not run");
  return result;
}
