// Measures what settings, shared records and claims cost in processor time and
// memory as their state grows, for docs/CAPACITY.md.
//
//   slopes-control --rounds=5 --only=claims
//
// Prints a line for each point (median, lowest and highest of the rounds) and
// for each least-squares fit. The measured code does no I/O.

#include <cstdlib>
#include <memory>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "CostSeries.h"
#include "savorytrestle/core/ClaimDocument.h"
#include "savorytrestle/core/CrashQuarantine.h"
#include "savorytrestle/core/SettingsYaml.h"
#include "savorytrestle/core/quarantine/CrashLedger.h"
#include "savorytrestle/core/quarantine/CrashTrials.h"

ABSL_FLAG(int, rounds, 5, "measurement rounds of each point");
ABSL_FLAG(std::string, only, "",
          "name of the only part to measure; empty: all");

namespace {

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace std::chrono_literals;
using bench::cpuMicrosPerCall;
using bench::heapBytes;

bench::CostSeries makeSeries(std::string name) {
  return {std::move(name), absl::GetFlag(FLAGS_rounds)};
}

const WallTime WallStart = WallTime{} + 500000h;

/// Settings with workspaces that each have the services of
/// examples/nagelpreis.yaml.
std::string makeYaml(int workspaces) {
  struct Service {
    const char *Name;
    int Groups;
    int Replicas;
    bool Writes;
  };
  std::string text = "max_deadline: 10 s\nworkspaces:\n";
  for (int n = 0; n < workspaces; ++n) {
    text += "  workspace-" + std::to_string(n) +
            ":\n    policy: coverage_first\n    services:\n";
    for (const Service &it : {Service{"preisportal", 10, 3, false},
                              Service{"meldestelle", 15, 3, true},
                              Service{"studio-konto", 40, 1, true},
                              Service{"berichte", 20, 1, false}}) {
      text += std::string("      ") + it.Name +
              ":\n        leaf_slots: 5\n        leaf_connections: 40\n"
              "        leaf_range: {groups: " +
              std::to_string(it.Groups) +
              ", replicas: " + std::to_string(it.Replicas) +
              ", address: 10.0." + std::to_string(n) +
              ".1, first_port: 10000, failure_domains: [wien, graz, "
              "innsbruck]}\n        routes:\n          suche-" +
              it.Name + ": {kind: search}\n";
      if (it.Writes)
        text +=
            std::string("          melden-") + it.Name + ": {kind: write}\n";
    }
  }
  return text;
}

void measureSettings() {
  auto micros = makeSeries("settings_us_by_workspaces");
  auto heap = makeSeries("settings_heap_bytes_by_workspaces");
  auto blob = makeSeries("settings_blob_bytes_by_leaves");
  for (const int workspaces : {10, 50, 200}) {
    const auto tree = parseSettingsYaml(makeYaml(workspaces), "slopes");
    if (!tree) {
      std::printf("failed=settings %s\n", tree.error().Message.c_str());
      return;
    }
    const std::string text = tree->toJson().dump();
    const auto load = [&] {
      auto read = SettingsTree::fromJson(nlohmann::json::parse(text));
      auto table = buildRouteTable(*read, 1);
      return std::pair(std::move(*read), std::move(table));
    };
    micros.measurePoint(
        workspaces, [&] { return cpuMicrosPerCall(1, [&](int) { load(); }); });
    heap.measurePoint(workspaces, [&] {
      const double before = heapBytes();
      const auto loaded = load();
      return heapBytes() - before;
    });
    std::size_t leaves = 0;
    for (const auto &[name, route] : load().second.Routes)
      if (route.Kind == RouteKind::Search)
        leaves += route.Service->Leaves.size();
    blob.measurePoint(static_cast<double>(leaves),
                      [&] { return static_cast<double>(text.size()); });
  }
  micros.printFit();
  heap.printFit();
  blob.printFit();
}

void measureQuarantine() {
  auto heap = makeSeries("quarantine_heap_bytes_by_records");
  auto merge = makeSeries("quarantine_merge_us_by_records");
  auto dump = makeSeries("quarantine_records_us_by_records");
  for (const int count : {100, 1000, 4096}) {
    std::mt19937_64 random(1);
    std::vector<QuarantineRecord> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
      records.push_back({{random(), random()},
                         QuarantineEvent::Crash,
                         random(),
                         WallStart + std::chrono::milliseconds(n)});
    const WallTime now = WallStart + 10s;
    const auto make = [&] {
      auto quarantine = std::make_unique<CrashQuarantine>(QuarantineSettings{});
      quarantine->merge(records, now);
      return quarantine;
    };
    heap.measurePoint(count, [&] {
      const double before = heapBytes();
      const auto quarantine = make();
      return heapBytes() - before;
    });
    const auto quarantine = make();
    merge.measurePoint(count, [&] {
      return cpuMicrosPerCall(20,
                              [&](int) { quarantine->merge(records, now); });
    });
    dump.measurePoint(count, [&] {
      return cpuMicrosPerCall(20, [&](int) { quarantine->records(now); });
    });
  }
  heap.printFit();
  merge.printFit();
  dump.printFit();
}

/// Requests under which leaves have ended, three runs and a trial each.
void measureSuspects() {
  auto heap = makeSeries("suspects_heap_bytes_by_requests");
  auto check = makeSeries("suspects_check_us_by_requests");
  for (const int count : {0, 100, 4096}) {
    std::mt19937_64 random(1);
    const TimePoint now{1h};
    struct State {
      CrashLedger Ledger;
      CrashTrials Trials;
    };
    const auto make = [&] {
      auto state = std::make_unique<State>();
      for (int n = 0; n < count; ++n) {
        const Fingerprint request{random(), random()};
        for (std::uint32_t round = 1; round <= 3; ++round)
          state->Ledger.add({request, random(), round, round, {random()}}, now);
        state->Trials.onRecord(request,
                               {.Number = 2,
                                .Failed = 2,
                                .Lifetime = 4s,
                                .Host = "host-1-12345678"},
                               1, now);
      }
      return state;
    };
    heap.measurePoint(count, [&] {
      const double before = heapBytes();
      const auto state = make();
      return heapBytes() - before;
    });
    const auto state = make();
    check.measurePoint(count, [&] {
      return cpuMicrosPerCall(100000, [&](int n) {
        const Fingerprint request{static_cast<std::uint64_t>(n), 1};
        // What each request of a caller is checked for.
        if (state->Trials.exhausted(request, now) ||
            state->Trials.lapsed(request, now) > 0 ||
            state->Ledger.quarantinedFor(request, now) ||
            state->Ledger.runCount(request) > 0 ||
            state->Trials.contains(request))
          std::abort();
      });
    });
  }
  heap.printFit();
  check.printFit();
}

void measureClaims() {
  auto micros = makeSeries("claim_us_by_entries");
  auto bytes = makeSeries("claim_document_bytes_by_entries");
  const WriteLimits limits;
  const auto request = [](std::uint64_t n) {
    return ClaimRequest{
        *parseWriteKey("preisaufsicht", makeUuidV7(WallStart, n, n * 77)),
        requestDigest("melden", std::to_string(n)),
        "host-3/0123456789abcdef/" + std::to_string(n), 1};
  };
  for (const std::uint64_t entries : {10ULL, 100ULL, 1000ULL}) {
    ClaimDocument filled;
    for (std::uint64_t n = 0; n < entries; ++n)
      filled.claim(request(n), limits);
    const std::string text = filled.dump();
    const auto next = request(entries);
    micros.measurePoint(static_cast<double>(entries), [&] {
      return cpuMicrosPerCall(static_cast<int>(4000 / entries), [&](int) {
        auto bucket = ClaimDocument::parse(text);
        bucket->claim(next, limits);
        bucket->dump();
      });
    });
    bytes.measurePoint(static_cast<double>(entries),
                       [&] { return static_cast<double>(text.size()); });
  }
  micros.printFit();
  bytes.printFit();
}

} // namespace

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  const std::vector<std::pair<std::string, void (*)()>> parts = {
      {"settings", measureSettings},
      {"quarantine", measureQuarantine},
      {"suspects", measureSuspects},
      {"claims", measureClaims}};
  const std::string only = absl::GetFlag(FLAGS_only);
  for (const auto &[name, measure] : parts)
    if (only.empty() || only == name)
      measure();
  return 0;
}
