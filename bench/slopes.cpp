// Measures what the parts of a search cost in processor time and memory as
// shards, rows, leaves and workspaces grow, for docs/CAPACITY.md.
//
//   slopes --rounds=5 --only=search
//
// Prints a line for each point (median, lowest and highest of the rounds) and
// for each least-squares fit. The measured code does no I/O.

#include <memory>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "CostSeries.h"
#include "backend/LeafProtocol.h"
#include "savorytrestle/core/LeafPool.h"
#include "savorytrestle/core/TailAwareSearch.h"
#include "savorytrestle/core/admission/FairAdmission.h"

ABSL_FLAG(int, rounds, 5, "measurement rounds of each point");
ABSL_FLAG(std::string, only, "",
          "name of the only part to measure; empty: all");

namespace {

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace std::chrono_literals;
using bench::cpuMicros;
using bench::cpuMicrosPerCall;
using bench::heapBytes;

bench::CostSeries makeSeries(std::string name) {
  return {std::move(name), absl::GetFlag(FLAGS_rounds)};
}

const TimePoint Start = TimePoint{} + 1h;

ServiceSettings makeService(std::uint32_t leaves) {
  ServiceSettings service{"preisaufsicht", "preisportal", {}, 5, 40, 0.05};
  const std::vector<std::string> domains = {"wien", "graz", "innsbruck"};
  for (std::uint32_t n = 0; n < leaves; ++n)
    service.Leaves.push_back({"preisportal-" + std::to_string(n),
                              "10.0.0.1:" + std::to_string(10000 + n),
                              domains[n % 3],
                              "group-" + std::to_string(n / 3)});
  return service;
}

std::vector<nlohmann::json> makeResultRows(std::size_t count) {
  return std::vector<nlohmann::json>(
      count,
      {{"id", "studio-10422"}, {"price", 41.5}, {"title", "gel refill"}});
}

/// Runs searches one after the other over groups of three leaves.
class SearchLoop {
public:
  explicit SearchLoop(std::uint32_t shards) : Shards(shards) {
    Pool.setLeaves(makeService(3 * shards), Now);
    Pool.setHostSlot({0, 8, TimePoint::max()}, Now);
    for (LeafIndex leaf = 0; leaf < 3 * shards; ++leaf)
      Catalog.update(leaf, LeafState::Usable, {{1, leaf / 3, shards}});
  }

  /// Runs one search.
  /// @return processor time in microseconds, without that of making replies
  double measureOneSearch() {
    auto rows = std::vector(Shards, makeResultRows(2));
    const double begin = cpuMicros();
    TailAwareSearch<PinnedLeaves> search({Pool.pin(), Catalog, Budget, Hedges},
                                         {.Deadline = Now + 1s});
    auto actions = search.start(Now, Random);
    Now += 1ms;
    for (const auto &action : actions)
      if (const auto *it = std::get_if<SendAttempt>(&action))
        search.onReply({it->Id, it->Shard, it->Version, Shards, 2,
                        std::move(rows[it->Shard]), LoadReport{1, 0, false}},
                       Now, Random);
    AnsweredShards += search.takeAnswer().ShardsAnswered;
    const double micros = cpuMicros() - begin;
    Now += 10ms;
    return micros;
  }

  std::uint64_t AnsweredShards = 0;

private:
  std::uint32_t Shards;
  TimePoint Now = Start;
  Rng Random{1};
  LeafPool Pool{{"wien", {}, 0.25, 15s, 0.2, 1}};
  SnapshotCatalog Catalog;
  ExtraLoadBudget Budget{0.05};
  HedgeDelays Hedges;
};

void measureSearch() {
  auto series = makeSeries("search_us_by_shards");
  for (const std::uint32_t shards : {75U, 310U, 930U}) {
    SearchLoop loop(shards);
    const int searches = static_cast<int>(60000 / shards);
    series.measurePoint(shards, [&] {
      double micros = 0;
      for (int n = 0; n < searches; ++n)
        micros += loop.measureOneSearch();
      return micros / searches;
    });
    std::printf("check=search shards=%u answered_a_search=%.4g\n", shards,
                static_cast<double>(loop.AnsweredShards) / searches /
                    absl::GetFlag(FLAGS_rounds));
  }
  series.printFit();
}

void measureProtocol() {
  const backend::SearchMessage message{"0123456789abcdef",         1,   7, 3,
                                       R"({"text":"gel refill"})", 90ms};
  auto encode = makeSeries("encode_us_by_rows");
  auto decode = makeSeries("decode_us_by_rows");
  for (const std::size_t rows : {2UL, 20UL, 200UL}) {
    const nlohmann::json reply = {
        {"request_id", message.RequestId},
        {"attempt", 1},
        {"index_version", 7},
        {"shard", 3},
        {"shard_count", 310},
        {"row_count", rows},
        {"rows", makeResultRows(rows)},
        {"load", {{"busy", 1}, {"queued", 0}, {"draining", false}}}};
    const std::string body = reply.dump();
    const auto size = static_cast<double>(rows);
    encode.measurePoint(size, [&] {
      return cpuMicrosPerCall(20000, [&](int) { backend::encode(message); });
    });
    bool allDecoded = true;
    decode.measurePoint(size, [&] {
      return cpuMicrosPerCall(static_cast<int>(40000 / rows), [&](int) {
        allDecoded &=
            backend::decodeSearch(200, body, message.RequestId).has_value();
      });
    });
    std::printf("check=decode rows=%zu bytes=%zu sound=%d\n", rows, body.size(),
                allDecoded);
  }
  encode.printFit();
  decode.printFit();
}

void measurePool() {
  for (const std::uint32_t slots : {8U, 838U}) {
    const std::string suffix = "_by_leaves_slots" + std::to_string(slots);
    auto bytes = makeSeries("pool_bytes" + suffix);
    auto micros = makeSeries("pool_set_us" + suffix);
    for (const std::uint32_t leaves : {75U, 915U, 5500U}) {
      const auto service = makeService(leaves);
      const auto make = [&] {
        auto pool = std::make_unique<LeafPool>(
            LeafPoolSettings{"wien", {}, 0.25, 15s, 0.2, 1});
        pool->setLeaves(service, Start);
        pool->setHostSlot({3, slots, TimePoint::max()}, Start);
        return pool;
      };
      bytes.measurePoint(leaves, [&] {
        const double before = heapBytes();
        const auto pool = make();
        return heapBytes() - before;
      });
      micros.measurePoint(leaves, [&] {
        return cpuMicrosPerCall(static_cast<int>(1 + 5500 / leaves),
                                [&](int) { make(); });
      });
    }
    bytes.printFit();
    micros.printFit();
  }
}

void measureAdmission() {
  auto series = makeSeries("admission_us_by_workspaces");
  for (const int workspaces : {2, 30, 300}) {
    FairAdmission admission({});
    std::map<std::string, double> weights;
    std::vector<std::string> names;
    for (int n = 0; n < workspaces; ++n)
      weights[names.emplace_back("workspace-" + std::to_string(n))] = 1;
    admission.setWeights(weights);
    series.measurePoint(workspaces, [&] {
      return cpuMicrosPerCall(100000, [&](int n) {
        const auto now = Start + std::chrono::microseconds(n);
        const auto &name = names[static_cast<std::size_t>(n % workspaces)];
        if (const auto admitted = admission.request(name, now + 1s, now))
          admission.finish(admitted->Ticket, now + 1us);
      });
    });
  }
  series.printFit();
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const std::vector<std::pair<std::string, void (*)()>> parts = {
      {"search", measureSearch},
      {"protocol", measureProtocol},
      {"pool", measurePool},
      {"admission", measureAdmission}};
  const std::string only = absl::GetFlag(FLAGS_only);
  for (const auto &[name, measure] : parts)
    if (only.empty() || only == name)
      measure();
  return 0;
}
