#ifndef SAVORYTRESTLE_REVIEW_CRASH_LEAVES_H
#define SAVORYTRESTLE_REVIEW_CRASH_LEAVES_H

/// @file
/// @brief Requests that crash each leaf that begins to run them.

#include "Deployment.h"

namespace review {

using namespace std::chrono_literals;

/// Three heartbeats, after which the entry of a silent leaf is removed, and the
/// time after which a leaf that has crashed is back, as another instance.
constexpr auto EntryLifetime = 3600ms;
constexpr auto RestartTime = 2500ms;
/// Time that leaves work on a request.
constexpr auto Work = 300ms;
constexpr double StabilityWindow = 5;
constexpr std::size_t AllowedRetries = 3;

/// Makes a leaf crash as it begins to run such a request.
inline void makeCrashable(Deployment &fleet, Leaf &leaf) {
  leaf.OnRun = [&fleet, &leaf](const Leaf &, const Request &request,
                               const Respond &respond) {
    const auto id = text(request["Savorytrestle-Request-Id"]);
    if (!text(request.target()).starts_with("/r/crash"))
      return fleet.after(
          Work, [respond, response = leaf.answer(id)] { respond(response); });
    fleet.Log.line("crashed", leaf.Id, id);
    fleet.after(0ms, [&leaf] { leaf.crash(); });
    fleet.after(EntryLifetime, [&fleet, &leaf] { fleet.removeEntry(leaf); });
    fleet.after(RestartTime, [&fleet, &leaf] {
      makeCrashable(fleet, fleet.startLeaf(leaf.Id + "+", "svc", leaf.Zone));
    });
  };
}

struct Attempt {
  std::string Path;
  double At = 0;
};

/// Sends requests in turn on one connection, and opens another one only if the
/// host has closed it.
class Client {
public:
  Client(Deployment &deployment, int hostPort)
      : Fleet(deployment), Port(hostPort), Socket(Io) {}

  int send(http::verb method, const std::string &path, const std::string &id) {
    error_code ec;
    if (!Socket.is_open())
      Socket.connect(loopback(Port), ec);
    Request request{method, path, 11};
    request.set(http::field::host, "a.example");
    request.set("Savorytrestle-Request-Id", id);
    request.set("Savorytrestle-Deadline-Ms", "1500");
    request.prepare_payload();
    Fleet.Log.line("sent", id, path);
    http::write(Socket, request, ec);
    Response response;
    if (!ec)
      http::read(Socket, Buffer, response, ec);
    if (ec || !response.keep_alive())
      Socket.close(ec);
    const int status = ec ? 0 : static_cast<int>(response.result_int());
    Fleet.Log.line("answered", id, status);
    return status;
  }

private:
  Deployment &Fleet;
  int Port;
  boost::asio::io_context Io;
  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
};

/// Attempts at a path, sent later than the stability window after it has
/// crashed the third leaf, that reached a leaf.
inline std::size_t lateRetries(const std::vector<Run> &runs,
                               const std::map<std::string, Attempt> &attempts,
                               const std::string &path) {
  std::vector<const Run *> own;
  for (const Run &run : runs)
    if (const auto it = attempts.find(run.RequestId);
        it != attempts.end() && it->second.Path == path)
      own.push_back(&run);
  if (own.size() < 3)
    return 0;
  const double from = own[2]->At + StabilityWindow;
  std::set<std::string> late;
  for (const Run *run : own)
    if (attempts.at(run->RequestId).At > from)
      late.insert(run->RequestId);
  return late.size();
}

} // namespace review

#endif
