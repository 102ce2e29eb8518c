#ifndef SAVORYTRESTLE_BENCH_BENCH_H
#define SAVORYTRESTLE_BENCH_BENCH_H

/// @file
/// @brief Measures the search policy beside the baseline on a virtual clock.

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace savorytrestle::bench {

/// @brief What to run and how to print it.
struct BenchOptions {
  /// Name of one case, or "all".
  std::string Case = "all";
  /// Name of one deployment, or "all".
  std::string Deployment = "all";
  /// Name of one service, or "all".
  std::string Service = "all";
  std::uint64_t Seed = 1;
  /// Searches of each run.
  std::uint64_t Searches = 5000;
  /// Prints JSON instead of a table.
  bool Json = false;
};

/// @brief One line of the result.
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
  /// Extra attempts in percent of first ones.
  double ExtraLoadPercent = 0;
  /// Searches that ended without any shard, in percent.
  double RefusedPercent = 0;
  std::uint32_t MaxConnections = 0;
  std::uint32_t ConnectionCap = 0;
  std::uint32_t MaxBusySlots = 0;
  std::uint32_t Slots = 0;
  std::uint64_t LeafRefusals = 0;
  std::uint64_t LeafSheds = 0;
};

/// @brief Runs the chosen cases; the same options give the same rows.
/// @param options what to run
/// @return two rows a case and service, the baseline's first; empty when
/// nothing matches
std::vector<BenchRow> measure(const BenchOptions &options);

/// @brief Runs the chosen cases and prints the rows with seed and settings.
/// @param options what to run
/// @param out where to print
/// @return exit status: 0, or 2 when nothing matches
int runBench(const BenchOptions &options, std::ostream &out);

/// @brief @ref runBench on standard output.
/// @param options what to run
/// @return exit status: 0, or 2 when nothing matches
int runBench(const BenchOptions &options);

} // namespace savorytrestle::bench

#endif
