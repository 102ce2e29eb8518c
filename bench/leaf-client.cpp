// Compares two HTTP clients for the fan-out to leaves: libcurl's multi
// interface on one thread, and CivetWeb's client with a thread for each
// connection.
//
//   leaf-client --leaves=127.0.0.1:9001,127.0.0.1:9002 --width=75
//   --searches=400
//
// Each search sends `width` calls at once and waits for all replies. The leaves
// are stand-ins that must be running. Prints the CPU time per call, the number
// of threads and the latency percentiles.

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <deque>
#include <mutex>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <civetweb.h>

#include "backend/LeafTransport.h"

ABSL_FLAG(std::string, leaves, "", "addresses of leaf stand-ins");
ABSL_FLAG(int, width, 75, "leaf calls of each search");
ABSL_FLAG(int, searches, 400, "number of searches, run one after the other");
ABSL_FLAG(std::string, client, "curl", "HTTP client: curl or civetweb");

namespace {

using namespace savorytrestle;
using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::duration<double, std::milli>;

constexpr const char *Body =
    R"({"request_id":"bench","attempt":0,"index_version":1,"shard":0,)"
    R"("deadline_ms":1000,"query":{"text":"gel refill"}})";

double cpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

struct Outcome {
  std::vector<double> SearchMillis;
  int Failures = 0;
  int Threads = 0;
};

Outcome runCurl(const std::vector<std::string> &leaves, int width,
                int searches) {
  backend::LeafTransportOptions options;
  options.ConnectionsPerLeaf = static_cast<unsigned>(width);
  backend::LeafTransport transport(options);
  Outcome outcome;
  outcome.Threads = 1;
  for (int n = 0; n < searches; ++n) {
    const auto start = SteadyClock::now();
    int pending = width;
    for (int leaf = 0; leaf < width; ++leaf) {
      backend::LeafCall call;
      call.Url = "http://" +
                 leaves[static_cast<std::size_t>(leaf) % leaves.size()] +
                 "/v1/search";
      call.Body = Body;
      call.Deadline = start + std::chrono::seconds(2);
      transport.send(std::move(call), start,
                     [&](const backend::LeafCallResult &result) {
                       --pending;
                       outcome.Failures += result.Status == 200 ? 0 : 1;
                     });
    }
    while (pending > 0)
      transport.processEvents(std::chrono::milliseconds(100));
    outcome.SearchMillis.push_back(Millis(SteadyClock::now() - start).count());
  }
  return outcome;
}

/// One thread and one keep-alive connection for each leaf call of a search.
class CivetPool {
public:
  CivetPool(const std::vector<std::string> &leaves, int width) {
    for (int n = 0; n < width; ++n)
      Threads.emplace_back(
          [this,
           address = leaves[static_cast<std::size_t>(n) % leaves.size()]] {
            runConnection(address);
          });
  }

  ~CivetPool() {
    {
      const std::lock_guard guard(Mutex);
      Stop = true;
    }
    RoundStarted.notify_all();
    for (auto &thread : Threads)
      thread.join();
  }

  int search(int width) {
    std::unique_lock guard(Mutex);
    ++Round;
    PendingLeaves = width;
    Failures = 0;
    RoundStarted.notify_all();
    RoundFinished.wait(guard, [&] { return PendingLeaves == 0; });
    return Failures;
  }

private:
  static bool post(mg_connection *&connection, const std::string &address) {
    const std::vector<std::string> parts = absl::StrSplit(address, ':');
    char error[128] = "";
    if (!connection)
      connection =
          mg_connect_client(parts[0].c_str(), std::atoi(parts[1].c_str()), 0,
                            error, sizeof(error));
    if (!connection)
      return false;
    const std::string body = Body;
    const std::string request =
        "POST /v1/search HTTP/1.1\r\nHost: " + address +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    mg_write(connection, request.data(), request.size());
    if (mg_get_response(connection, error, sizeof(error), 2000) < 0) {
      mg_close_connection(connection);
      connection = nullptr;
      return false;
    }
    char buf[4096];
    while (mg_read(connection, buf, sizeof(buf)) > 0) {
    }
    return mg_get_response_info(connection)->status_code == 200;
  }

  void runConnection(const std::string &address) {
    mg_connection *connection = nullptr;
    std::uint64_t lastRound = 0;
    for (;;) {
      {
        std::unique_lock guard(Mutex);
        RoundStarted.wait(guard, [&] { return Stop || Round != lastRound; });
        if (Stop)
          break;
        lastRound = Round;
      }
      const bool ok = post(connection, address);
      const std::lock_guard guard(Mutex);
      Failures += ok ? 0 : 1;
      if (--PendingLeaves == 0)
        RoundFinished.notify_one();
    }
    if (connection)
      mg_close_connection(connection);
  }

  std::mutex Mutex;
  std::condition_variable RoundStarted;
  std::condition_variable RoundFinished;
  std::uint64_t Round = 0;
  int PendingLeaves = 0;
  int Failures = 0;
  bool Stop = false;
  std::vector<std::thread> Threads;
};

Outcome runCivet(const std::vector<std::string> &leaves, int width,
                 int searches) {
  CivetPool pool(leaves, width);
  Outcome outcome;
  outcome.Threads = width;
  for (int n = 0; n < searches; ++n) {
    const auto start = SteadyClock::now();
    outcome.Failures += pool.search(width);
    outcome.SearchMillis.push_back(Millis(SteadyClock::now() - start).count());
  }
  return outcome;
}

double quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(q * last)];
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> leaves =
      absl::StrSplit(absl::GetFlag(FLAGS_leaves), ',', absl::SkipEmpty());
  if (leaves.empty()) {
    std::fprintf(stderr,
                 "leaf-client: --leaves is empty, expected HOST:PORT,...\n");
    return 2;
  }
  const int width = absl::GetFlag(FLAGS_width);
  const int searches = absl::GetFlag(FLAGS_searches);
  const bool curl = absl::GetFlag(FLAGS_client) == "curl";
  const double before = cpuSeconds();
  const Outcome outcome = curl ? runCurl(leaves, width, searches)
                               : runCivet(leaves, width, searches);
  const double cpu = cpuSeconds() - before;
  std::printf("client=%s width=%d searches=%d threads=%d failures=%d "
              "cpu_us_per_call=%.1f p50_ms=%.2f p99_ms=%.2f\n",
              absl::GetFlag(FLAGS_client).c_str(), width, searches,
              outcome.Threads, outcome.Failures,
              cpu * 1e6 / (static_cast<double>(width) * searches),
              quantile(outcome.SearchMillis, 0.5),
              quantile(outcome.SearchMillis, 0.99));
  return 0;
}
