#ifndef SAVORYTRESTLE_BENCH_BENCH_H
#define SAVORYTRESTLE_BENCH_BENCH_H

/// @file
/// @brief Benchmark of the tail-aware search policy against the baseline, on a
/// virtual clock.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace savorytrestle::bench {

/// @brief Selection of runs, and the output format.
struct BenchOptions {
  /// Name of one case, or "all".
  std::string Case = "all";
  /// Name of one deployment, or "all".
  std::string Deployment = "all";
  /// Name of one service, or "all".
  std::string Service = "all";
  std::uint64_t Seed = 1;
  /// Number of searches in each run.
  std::uint64_t Searches = 5000;
  /// Prints JSON instead of a table.
  bool Json = false;
};

/// @brief Result of one run.
struct BenchRow {
  std::string Case;
  std::string Deployment;
  std::string Service;
  std::string Policy;
  double P50Ms = 0;
  double P99Ms = 0;
  double P999Ms = 0;
  /// Mean coverage of the answered searches, in percent.
  double CoveragePercent = 0;
  /// Searches answered with every shard, in percent of all.
  double CompletePercent = 0;
  /// Retries and hedges, in percent of first attempts.
  double ExtraLoadPercent = 0;
  /// Searches without an answer from any shard, in percent of all.
  double RefusedPercent = 0;
  std::uint32_t MaxConnections = 0;
  std::uint32_t ConnectionCap = 0;
  std::uint32_t MaxBusySlots = 0;
  std::uint32_t Slots = 0;
  std::uint64_t LeafRefusals = 0;
  std::uint64_t LeafSheds = 0;
};

/// @brief Runs the selected cases; equal options give equal rows.
/// @param options what to run
/// @return two rows for each case and service, the baseline first; empty if
/// nothing matches
std::vector<BenchRow> measure(const BenchOptions &options);

/// @brief Runs the selected cases and prints the rows and the seed.
/// @param options what to run
/// @param out output stream
/// @return exit status: 0, or 2 if nothing matches
int runBench(const BenchOptions &options, std::ostream &out);

/// @brief Runs the selected cases and prints the rows on standard output.
/// @param options what to run
/// @return exit status: 0, or 2 if nothing matches
int runBench(const BenchOptions &options);

} // namespace savorytrestle::bench

#endif
