#include "savorytrestle/core/FeedPolicy.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

using namespace savorytrestle::core;

namespace {

const std::map<std::string, std::string> Regions = {
    {"w-a", "w"}, {"w-b", "w"}, {"g-a", "g"}, {"g-b", "g"}};

std::vector<FeedHost> hostsOf(const std::string &domain, std::size_t n) {
  std::vector<FeedHost> hosts;
  for (std::size_t i = 0; i < n; ++i)
    hosts.push_back({domain + "-" + std::to_string(i), domain});
  return hosts;
}

TEST(FeedPlan, InASmallDomainEachHostReadsTheStore) {
  const auto hosts = hostsOf("w-a", 4);
  for (const FeedHost &host : hosts) {
    const auto plan = planFeed(host, Regions, hosts);
    EXPECT_TRUE(plan.PreferredSources.empty());
    EXPECT_FALSE(plan.ServesOthers);
  }
}

TEST(FeedPlan, InALargeDomainOneHostReadsTheStoreForAll) {
  const auto hosts = hostsOf("w-a", 12);
  EXPECT_TRUE(planFeed(hosts[0], Regions, hosts).ServesOthers);
  EXPECT_TRUE(planFeed(hosts[0], Regions, hosts).PreferredSources.empty());
  for (std::size_t i = 1; i < hosts.size(); ++i) {
    const auto plan = planFeed(hosts[i], Regions, hosts);
    EXPECT_EQ(plan.PreferredSources, std::vector<std::string>{hosts[0].Id});
    EXPECT_FALSE(plan.ServesOthers);
  }
}

/// No host sends changes to more hosts than its link can carry.
TEST(FeedPlan, AVeryLargeDomainHasSeveralReaders) {
  constexpr std::size_t MaxFollowers = 24;
  const auto hosts = hostsOf("w-a", 139);
  std::map<std::string, std::size_t> followers;
  std::size_t readers = 0;
  for (const FeedHost &host : hosts) {
    const auto plan = planFeed(host, Regions, hosts);
    readers += plan.ServesOthers ? 1 : 0;
    for (const std::string &used : plan.PreferredSources)
      ++followers[used];
  }
  EXPECT_EQ(followers.size(), readers);
  EXPECT_LE(readers, hosts.size() / 20);
  for (const auto &[id, n] : followers)
    EXPECT_LE(n, MaxFollowers) << id;
}

TEST(FeedPlan, FallbackSourcesOfTheOwnRegionComeFirst) {
  auto hosts = hostsOf("w-a", 6);
  for (const char *domain : {"g-a", "g-b", "w-b"})
    for (const FeedHost &host : hostsOf(domain, 6))
      hosts.push_back(host);
  const auto plan = planFeed(hosts[3], Regions, hosts);
  ASSERT_EQ(plan.FallbackSources.size(), 3U);
  EXPECT_EQ(plan.FallbackSources[0], "w-b-0");
}

/// In any fleet, a host that others use in place of the store reads the store
/// itself and serves others.
TEST(FeedPlan, PlansOfAllHostsAreConsistent) {
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    std::vector<FeedHost> hosts;
    for (const auto &[domain, region] : Regions)
      for (const FeedHost &host : hostsOf(domain, random() % 9))
        hosts.push_back(host);
    std::map<std::string, FeedPlan> plans;
    for (const FeedHost &host : hosts)
      plans[host.Id] = planFeed(host, Regions, hosts);
    for (const auto &[id, plan] : plans)
      for (const std::string &used : plan.PreferredSources) {
        EXPECT_TRUE(plans[used].ServesOthers) << id << " uses " << used;
        EXPECT_TRUE(plans[used].PreferredSources.empty());
      }
  }
}

} // namespace
