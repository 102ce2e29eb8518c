// Stand-in for the platform's key-value service: the part of the Consul HTTP
// API that platform/HttpKvStore.h speaks, with faults set over /control.

#include <atomic>
#include <random>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "standins/KvState.h"
#include "standins/Serve.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, threads, 64, "connections served at once");
ABSL_FLAG(int, writes_per_second, 400, "writes taken a second");
ABSL_FLAG(int, reads_per_second, 2000, "reads and watches taken a second");

namespace {

using namespace savorytrestle;
using nlohmann::json;
using std::chrono::milliseconds;
using support::HttpRequest;
using support::HttpResponse;

struct Faults {
  std::atomic<bool> Outage{false};
  std::atomic<int> DelayMs{0};
  std::atomic<int> LosePercent{0};
};

struct Counters {
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Refused{0};
};

/// Calls taken in the current second.
class RateCap {
public:
  explicit RateCap(int perSecond) : PerSecond(perSecond) {}

  bool take() {
    const std::lock_guard guard(Lock);
    const auto now = std::chrono::steady_clock::now();
    if (now - Began >= std::chrono::seconds(1)) {
      Began = now;
      Taken = 0;
    }
    return ++Taken <= PerSecond;
  }

private:
  const int PerSecond;
  std::mutex Lock;
  core::TimePoint Began;
  int Taken = 0;
};

class KvServer {
public:
  KvServer(int reads, int writes) : ReadCap(reads), WriteCap(writes) {}

  HttpResponse handle(const HttpRequest &request) {
    if (request.Path == "/control")
      return control(request);
    if (Set.Outage)
      return aborted();
    const bool isRead = request.Method == "GET";
    ++(isRead ? Count.Reads : Count.Writes);
    if (!(isRead ? ReadCap : WriteCap).take()) {
      ++Count.Refused;
      return {429, "rate", "text/plain", {}, false};
    }
    if (const int delay = Set.DelayMs; delay > 0)
      std::this_thread::sleep_for(milliseconds(delay));
    HttpResponse response = route(request);
    if (!isRead && lost())
      return aborted();
    return response;
  }

private:
  static HttpResponse aborted() {
    HttpResponse response;
    response.Abort = true;
    return response;
  }

  bool lost() {
    const std::lock_guard guard(RngLock);
    return static_cast<int>(Random() % 100) < Set.LosePercent;
  }

  static HttpResponse flag(bool value) {
    return {200, value ? "true" : "false", "application/json", {}, false};
  }

  static HttpResponse entries(const std::vector<store::KvEntry> &found,
                              store::Revision index) {
    json list = json::array();
    for (const auto &entry : found) {
      json item = {{"Key", entry.Key},
                   {"ModifyIndex", entry.ModifyRevision},
                   {"Value", absl::Base64Escape(entry.Value)}};
      if (entry.Lease)
        item["Session"] = *entry.Lease;
      list.push_back(item);
    }
    HttpResponse response;
    response.Status = found.empty() ? 404 : 200;
    response.Body = list.dump();
    response.Headers["X-Consul-Index"] = std::to_string(index);
    return response;
  }

  HttpResponse control(const HttpRequest &request) {
    const json body = json::parse(request.Body, nullptr, false);
    if (body.is_object()) {
      Set.Outage = body.value("outage", Set.Outage.load());
      Set.DelayMs = body.value("delay_ms", Set.DelayMs.load());
      Set.LosePercent = body.value("lose_percent", Set.LosePercent.load());
    }
    const json state = {{"outage", Set.Outage.load()},
                        {"reads", Count.Reads.load()},
                        {"writes", Count.Writes.load()},
                        {"refused", Count.Refused.load()}};
    return {200, state.dump(), "application/json", {}, false};
  }

  HttpResponse route(const HttpRequest &request) {
    const std::string kvPath = "/v1/kv/";
    if (request.Path.rfind(kvPath, 0) == 0)
      return keyValue(request, request.Path.substr(kvPath.size()));
    return session(request);
  }

  HttpResponse keyValue(const HttpRequest &request, const std::string &key) {
    if (request.Method == "GET")
      return read(request, key);
    if (const auto lease = request.parameter("acquire"))
      return flag(State.acquire(key, request.Body, *lease));
    const auto cas = std::strtoull(
        request.parameter("cas").value_or("0").c_str(), nullptr, 10);
    if (request.Method == "DELETE")
      return flag(State.compareAndDelete(key, cas));
    return flag(State.compareAndSet(key, request.Body, cas));
  }

  HttpResponse read(const HttpRequest &request, const std::string &key) {
    const bool recurse = request.Query.find("recurse") != std::string::npos;
    if (const auto index = request.parameter("index")) {
      const auto wait =
          std::atoi(request.parameter("wait").value_or("0").c_str());
      const auto result = State.watch(
          key, std::strtoull(index->c_str(), nullptr, 10), milliseconds(wait));
      return entries(result.Entries, result.Index);
    }
    if (recurse)
      return entries(State.list(key), 1);
    const auto entry = State.get(key);
    return entry ? entries({*entry}, entry->ModifyRevision) : entries({}, 1);
  }

  HttpResponse session(const HttpRequest &request) {
    const std::string renew = "/v1/session/renew/";
    const std::string destroy = "/v1/session/destroy/";
    if (request.Path == "/v1/session/create") {
      const json body = json::parse(request.Body, nullptr, false);
      const auto ttl = std::atoi(body.value("TTL", "10000ms").c_str());
      const json reply = {{"ID", State.openLease(milliseconds(ttl))}};
      return {200, reply.dump(), "application/json", {}, false};
    }
    if (request.Path.rfind(renew, 0) == 0) {
      const bool alive = State.renewLease(request.Path.substr(renew.size()));
      return {alive ? 200 : 404, "[]", "application/json", {}, false};
    }
    if (request.Path.rfind(destroy, 0) == 0) {
      State.endLease(request.Path.substr(destroy.size()));
      return flag(true);
    }
    return {404, "", "text/plain", {}, false};
  }

  standins::KvState State;
  Faults Set;
  Counters Count;
  RateCap ReadCap;
  RateCap WriteCap;
  std::mutex RngLock;
  std::mt19937_64 Random{1};
};

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const support::StopSignals signals;
  KvServer kv(absl::GetFlag(FLAGS_reads_per_second),
              absl::GetFlag(FLAGS_writes_per_second));
  support::HttpServerOptions options;
  options.Listen = absl::GetFlag(FLAGS_listen);
  options.Threads = static_cast<unsigned>(absl::GetFlag(FLAGS_threads));
  options.MaxBodyBytes = 2 << 20;
  return standins::serve(signals, options, [&](const HttpRequest &request) {
    return kv.handle(request);
  });
}
