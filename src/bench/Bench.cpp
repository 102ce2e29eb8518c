#include "bench/Bench.h"

#include <iomanip>
#include <iostream>

#include <nlohmann/json.hpp>

#include "bench/BenchRun.h"

namespace savorytrestle::bench {

namespace {

double quantileMillis(const std::vector<core::Duration> &sorted, double q) {
  if (sorted.empty())
    return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  const auto value = sorted[static_cast<std::size_t>(q * last)];
  return std::chrono::duration<double, std::milli>(value).count();
}

double percent(double part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100 * part / static_cast<double>(whole);
}

template <typename Driver>
BenchRow measurePolicy(const Deployment &deployment, const ServiceShape &shape,
                       const Scenario &scenario, const BenchOptions &options) {
  const RunStats stats = BenchRun<Driver>(deployment, shape, scenario,
                                          options.Searches, options.Seed)
                             .run();
  BenchRow row;
  row.Case = scenario.Name;
  row.Deployment = deployment.Name;
  row.Service = shape.Name;
  row.Policy = Driver::Name;
  row.P50Ms = quantileMillis(stats.Latencies, 0.5);
  row.P99Ms = quantileMillis(stats.Latencies, 0.99);
  row.P999Ms = quantileMillis(stats.Latencies, 0.999);
  row.CoveragePercent = percent(stats.Coverage, stats.Latencies.size());
  row.CompletePercent =
      percent(static_cast<double>(stats.Complete), stats.Searches);
  row.ExtraLoadPercent =
      percent(static_cast<double>(stats.Attempts.Extra), stats.Attempts.First);
  row.RefusedPercent =
      percent(static_cast<double>(stats.Refused), stats.Searches);
  row.MaxConnections = stats.MaxConnections;
  row.ConnectionCap = shape.Connections;
  row.MaxBusySlots = stats.MaxBusySlots;
  row.Slots = shape.Slots;
  row.LeafRefusals = stats.LeafRefusals;
  row.LeafSheds = stats.LeafSheds;
  return row;
}

bool matches(const std::string &selected, std::string_view name) {
  return selected == "all" || selected == name;
}

nlohmann::json toJson(const BenchRow &row) {
  return {{"case", row.Case},
          {"deployment", row.Deployment},
          {"service", row.Service},
          {"policy", row.Policy},
          {"p50_ms", row.P50Ms},
          {"p99_ms", row.P99Ms},
          {"p999_ms", row.P999Ms},
          {"coverage_percent", row.CoveragePercent},
          {"complete_percent", row.CompletePercent},
          {"extra_load_percent", row.ExtraLoadPercent},
          {"refused_percent", row.RefusedPercent},
          {"max_connections", row.MaxConnections},
          {"connection_cap", row.ConnectionCap},
          {"max_busy", row.MaxBusySlots},
          {"slots", row.Slots},
          {"leaf_refusals", row.LeafRefusals},
          {"leaf_sheds", row.LeafSheds}};
}

void printJson(const BenchOptions &options, const std::vector<BenchRow> &rows,
               std::ostream &out) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto &row : rows)
    list.push_back(toJson(row));
  const nlohmann::json result = {{"seed", options.Seed},
                                 {"searches", options.Searches},
                                 {"rows", std::move(list)}};
  out << result.dump(2) << '\n';
}

void printTable(const BenchOptions &options, const std::vector<BenchRow> &rows,
                std::ostream &out) {
  out << "seed " << options.Seed << ", " << options.Searches
      << " searches a run; latencies in ms, virtual clock\n"
      << std::left << std::setw(15) << "case" << std::setw(14) << "service"
      << std::setw(11) << "policy" << std::right;
  for (const char *title : {"p50", "p99", "p99.9", "cover%", "whole%", "extra%",
                            "refus%", "conns", "slots", "l.refus", "l.shed"})
    out << std::setw(9) << title;
  out << '\n' << std::fixed << std::setprecision(2);
  for (const auto &row : rows) {
    out << std::left << std::setw(15) << row.Case << std::setw(14)
        << row.Service << std::setw(11) << row.Policy << std::right;
    for (const double value :
         {row.P50Ms, row.P99Ms, row.P999Ms, row.CoveragePercent,
          row.CompletePercent, row.ExtraLoadPercent, row.RefusedPercent})
      out << std::setw(9) << value;
    out << std::setw(9)
        << std::to_string(row.MaxConnections) + "/" +
               std::to_string(row.ConnectionCap)
        << std::setw(9)
        << std::to_string(row.MaxBusySlots) + "/" + std::to_string(row.Slots)
        << std::setw(9) << row.LeafRefusals << std::setw(9) << row.LeafSheds
        << '\n';
  }
}

} // namespace

std::vector<BenchRow> measure(const BenchOptions &options) {
  std::vector<BenchRow> rows;
  for (const Scenario &scenario : scenarios()) {
    for (const Deployment &deployment : deployments()) {
      if (!matches(options.Case, scenario.Name) ||
          !matches(options.Deployment, deployment.Name))
        continue;
      for (const ServiceShape &shape : deployment.Services) {
        if (!matches(options.Service, shape.Name))
          continue;
        rows.push_back(measurePolicy<BaselineDriver>(deployment, shape,
                                                     scenario, options));
        rows.push_back(measurePolicy<TailAwareDriver>(deployment, shape,
                                                      scenario, options));
      }
    }
  }
  return rows;
}

int runBench(const BenchOptions &options, std::ostream &out) {
  const auto rows = measure(options);
  if (options.Json)
    printJson(options, rows, out);
  else
    printTable(options, rows, out);
  return rows.empty() ? 2 : 0;
}

int runBench(const BenchOptions &options) {
  return runBench(options, std::cout);
}

} // namespace savorytrestle::bench
