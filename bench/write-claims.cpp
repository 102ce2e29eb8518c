// Measures the store calls and the added latency of keyed writes.
//
//   write-claims --rate=200 --hosts=7 --buckets=8 --owner=false
//
// Writes arrive at a constant rate over the hosts, which share an in-process
// store with simulated latency. `--buckets=1000000` gives each key its own
// document (one claim, one compare-and-swap); `--owner` sends each key to the
// one host that is assigned to its document. Prints one line of key=value
// pairs.

#include <algorithm>
#include <cstdio>
#include <future>
#include <random>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "../tests/FakeKvStore.h"
#include "backend/WriteSession.h"
#include "store/ClaimStore.h"

ABSL_FLAG(double, rate, 100, "writes per second over all hosts");
ABSL_FLAG(int, seconds, 5, "duration of the run in seconds");
ABSL_FLAG(int, hosts, 7, "number of hosts");
ABSL_FLAG(int, buckets, 8, "claim documents per time window");
ABSL_FLAG(bool, owner, false,
          "send each key to the host assigned to its document");
ABSL_FLAG(double, store_writes, 200, "store writes per second over all hosts");
ABSL_FLAG(int, store_ms, 3, "latency of a store call in ms");
ABSL_FLAG(int, deadline_ms, 1000, "deadline of a write in ms");

namespace {

using namespace savorytrestle;
using SteadyClock = std::chrono::steady_clock;
using Millis = std::chrono::duration<double, std::milli>;

/// The in-process store with a simulated network latency.
struct RemoteStore : standins::FakeKvStore {
  explicit RemoteStore(const FakeKvStore &store) : FakeKvStore(store) {}

  core::Result<std::optional<store::StoredItem>>
  get(const std::string &key, std::chrono::milliseconds timeout) {
    delayCall();
    return FakeKvStore::get(key, timeout);
  }
  core::Result<bool> compareAndSet(const std::string &key,
                                   const std::string &value,
                                   store::Revision revision,
                                   std::chrono::milliseconds timeout) {
    delayCall();
    return FakeKvStore::compareAndSet(key, value, revision, timeout);
  }

private:
  static void delayCall() {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(absl::GetFlag(FLAGS_store_ms)));
  }
};

using Claimer = store::ClaimStore<RemoteStore>;
using Answer = core::Result<backend::KeyedWriteAnswer>;

struct WriteResult {
  bool Succeeded = false;
  Millis Latency{};
};

core::WallTime wallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

/// Sends one write. The leaf answers at once, so that the measured latency is
/// that of making the claim and of recording the result.
std::future<WriteResult> send(Claimer &claims, const core::WriteKey &key) {
  auto promise = std::make_shared<std::promise<WriteResult>>();
  const auto began = SteadyClock::now();
  const auto dispatch = [](const backend::DispatchDone &done) {
    done(std::string("\"filed\""));
  };
  backend::WriteSession<Claimer, decltype(dispatch)>::start(
      claims,
      claims.makeRequest(key, core::requestDigest("file", "{}"),
                         core::UnknownSend),
      began + std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms)),
      dispatch, [promise, began](const Answer &answer) {
        promise->set_value({answer.has_value(), SteadyClock::now() - began});
      });
  return promise->get_future();
}

std::vector<WriteResult> sendAll(std::vector<std::unique_ptr<Claimer>> &hosts,
                                 const core::WriteLimits &limits) {
  std::mt19937_64 random(1);
  std::vector<std::future<WriteResult>> running;
  const double rate = absl::GetFlag(FLAGS_rate);
  const auto count =
      static_cast<std::size_t>(rate * absl::GetFlag(FLAGS_seconds));
  const auto began = SteadyClock::now();
  for (std::size_t i = 0; i < count; ++i) {
    const std::chrono::duration<double> due(static_cast<double>(i) / rate);
    std::this_thread::sleep_until(
        began + std::chrono::duration_cast<core::Duration>(due));
    const auto key = core::parseWriteKey(
                         "w", core::makeUuidV7(wallNow(), random(), random()))
                         .value();
    const auto host = absl::GetFlag(FLAGS_owner)
                          ? core::claimDocumentName(key, limits).Bucket
                          : random();
    running.push_back(send(*hosts[host % hosts.size()], key));
  }
  std::vector<WriteResult> results;
  results.reserve(count);
  for (auto &it : running)
    results.push_back(it.get());
  return results;
}

double percentile(std::vector<WriteResult> &results, double fraction) {
  const auto position =
      results.begin() + static_cast<std::ptrdiff_t>(
                            fraction * static_cast<double>(results.size()));
  std::nth_element(
      results.begin(), position, results.end(),
      [](const auto &a, const auto &b) { return a.Latency < b.Latency; });
  return position->Latency.count();
}

void report(std::vector<WriteResult> results,
            const std::vector<std::unique_ptr<Claimer>> &hosts,
            const standins::FakeKvStore &store) {
  std::uint64_t conflicts = 0;
  for (const auto &host : hosts)
    conflicts += host->stats().Conflicts;
  const auto count = static_cast<double>(results.size());
  const auto succeeded =
      std::count_if(results.begin(), results.end(),
                    [](const auto &it) { return it.Succeeded; });
  std::size_t largest = 0;
  for (const auto &entry : store.State->list("claims/"))
    largest = std::max(largest, entry.Value.size());
  std::printf(
      "rate=%.0f hosts=%zu buckets=%d owner=%d writes=%zu ran=%td "
      "store_writes_per_write=%.3f store_reads_per_write=%.3f "
      "conflicts_per_write=%.4f p50_ms=%.1f p99_ms=%.1f "
      "largest_document=%zu\n",
      absl::GetFlag(FLAGS_rate), hosts.size(), absl::GetFlag(FLAGS_buckets),
      static_cast<int>(absl::GetFlag(FLAGS_owner)), results.size(), succeeded,
      store.Faults->Writes / count, store.Faults->Reads / count,
      static_cast<double>(conflicts) / count, percentile(results, 0.5),
      percentile(results, 0.99), largest);
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const auto hostCount = static_cast<unsigned>(absl::GetFlag(FLAGS_hosts));
  store::ClaimStoreOptions options;
  options.Limits.BucketsPerWindow =
      static_cast<std::uint32_t>(absl::GetFlag(FLAGS_buckets));
  options.WritesPerSecond = absl::GetFlag(FLAGS_store_writes) / hostCount;
  const standins::FakeKvStore store;
  std::vector<std::unique_ptr<Claimer>> hosts;
  for (unsigned i = 0; i < hostCount; ++i)
    hosts.push_back(std::make_unique<Claimer>(
        RemoteStore(store), "host-" + std::to_string(i), options));
  auto results = sendAll(hosts, options.Limits);
  const int writes = store.Faults->Writes;
  report(std::move(results), hosts, store);
  return writes > 0 ? 0 : 1;
}
