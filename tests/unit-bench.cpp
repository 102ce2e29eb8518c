#include "bench/Bench.h"

#include <sstream>

#include <gtest/gtest.h>

using namespace savorytrestle::bench;

namespace {

constexpr std::uint64_t Seed = 1;
/// Goal for the p99 with 1% stragglers as a multiple of the calm p99.
constexpr double MaxStragglerRatio = 1.25;
constexpr double MaxExtraLoadPercent = 5;

struct PolicyRows {
  BenchRow Baseline;
  BenchRow TailAware;
};

PolicyRows runPolicies(const std::string &scenario, const std::string &service,
                       std::uint64_t searches = 4000) {
  BenchOptions options;
  options.Case = scenario;
  options.Service = service;
  options.Seed = Seed;
  options.Searches = searches;
  const auto rows = measure(options);
  return {rows.at(0), rows.at(1)};
}

class BenchGoals : public testing::TestWithParam<const char *> {};

TEST_P(BenchGoals, KeepsP99WithinGoalUnderStragglers) {
  const auto calm = runPolicies("calm", GetParam());
  const auto slow = runPolicies("stragglers-1", GetParam());
  EXPECT_LE(slow.TailAware.P99Ms, MaxStragglerRatio * calm.TailAware.P99Ms);
  EXPECT_LT(slow.TailAware.P99Ms, slow.Baseline.P99Ms);
}

TEST_P(BenchGoals, KeepsFullCoverageAfterReplicaLoss) {
  const auto row = runPolicies("replicas-lost", GetParam()).TailAware;
  EXPECT_EQ(row.CoveragePercent, 100);
  EXPECT_EQ(row.RefusedPercent, 0);
}

TEST_P(BenchGoals, KeepsExtraLoadWithinBudget) {
  for (const char *scenario :
       {"calm", "stragglers-1", "stragglers-5", "replicas-lost", "domain-lost",
        "repartition", "overload", "hosts-replaced"})
    EXPECT_LE(
        runPolicies(scenario, GetParam(), 2000).TailAware.ExtraLoadPercent,
        MaxExtraLoadPercent)
        << scenario;
}

TEST_P(BenchGoals, KeepsLeafConnectionsWithinCap) {
  for (const char *scenario :
       {"calm", "stragglers-5", "domain-lost", "overload", "hosts-replaced"}) {
    const auto row = runPolicies(scenario, GetParam(), 2000).TailAware;
    EXPECT_LE(row.MaxConnections, row.ConnectionCap) << scenario;
  }
}

INSTANTIATE_TEST_SUITE_P(Services, BenchGoals,
                         testing::Values("preisportal", "counter-desk"));

TEST(Bench, PrintsSameResultsForSameSeed) {
  BenchOptions options;
  options.Case = "stragglers-5";
  options.Service = "counter-desk";
  options.Searches = 300;
  std::ostringstream first;
  std::ostringstream second;
  std::ostringstream other;
  EXPECT_EQ(runBench(options, first), 0);
  EXPECT_EQ(runBench(options, second), 0);
  options.Seed = 2;
  EXPECT_EQ(runBench(options, other), 0);
  EXPECT_EQ(first.str(), second.str());
  EXPECT_NE(first.str(), other.str());
}

TEST(Bench, ReturnsErrorForUnknownCase) {
  BenchOptions options;
  options.Case = "no-such-case";
  std::ostringstream out;
  EXPECT_EQ(runBench(options, out), 2);
}

} // namespace
