#include <cmath>

#include <gtest/gtest.h>

#include "RateFleet.h"

using namespace savorytrestle;
using namespace savorytrestle::core;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;

namespace {

/// Workspaces of very different sizes.
void addWorkspaces(RateFleet &fleet) {
  for (const double rate : {0.6, 4.0, 20.0, 44.0, 150.0})
    fleet.setLimit("w" + std::to_string(rate), {rate, rate});
}

/// Most workspaces have the quota of 1.6 times their usual rate and one or two
/// hosts.
void addUsualDemand(RateFleet &fleet) {
  for (auto &[name, workspace] : fleet.Workspaces) {
    const double usual = workspace.Limit.Rate / 1.6;
    const std::size_t hosts = std::min<std::size_t>(2, fleet.Hosts.size());
    for (std::size_t i = 0; i < hosts; ++i)
      workspace.Demand[fleet.pick(fleet.Hosts.size())] =
          usual / static_cast<double>(hosts);
  }
}

void flood(RateFleet &fleet) {
  for (auto &[name, workspace] : fleet.Workspaces)
    for (std::size_t i = 0; i < fleet.Hosts.size(); ++i)
      workspace.Demand[i] =
          7.5 * workspace.Limit.Rate / static_cast<double>(fleet.Hosts.size());
}

double admittedShare(const RateFleet &fleet) {
  double offered = 0;
  double admitted = 0;
  for (const auto &[name, workspace] : fleet.Workspaces) {
    offered += static_cast<double>(workspace.Offered);
    admitted += static_cast<double>(workspace.Admitted);
  }
  return admitted / offered;
}

void expectBound(const RateFleet &fleet, const std::string &what) {
  for (const auto &[name, workspace] : fleet.Workspaces)
    EXPECT_LE(fleet.worst(workspace), 1.0) << name << " " << what;
}

void cut(RateFleet &fleet, double part) {
  for (auto &host : fleet.Hosts)
    host.Side = fleet.chance() < part ? 1 : 0;
}

/// One random fault.
void breakSomething(RateFleet &fleet) {
  const std::size_t i = fleet.pick(fleet.Hosts.size());
  auto &host = fleet.Hosts[i];
  switch (fleet.pick(6)) {
  case 0:
    return cut(fleet, fleet.chance() * 0.6);
  case 1:
    return cut(fleet, 0);
  case 2:
    host.PausedUntil = fleet.Now + milliseconds(500 + fleet.pick(9000));
    return;
  case 3:
    return fleet.kill(i);
  case 4:
    if (fleet.Now - host.ConfirmedAt < RateBook::MaxConfirmationAge)
      return fleet.restart(i, LenderStart::Restart);
    return fleet.restart(i, LenderStart::Join);
  default:
    fleet.add(LenderStart::Join);
    for (auto &[name, workspace] : fleet.Workspaces)
      workspace.Demand[fleet.Hosts.size() - 1] = workspace.Limit.Rate / 4;
  }
}

/// Guards against hosts that together send more than the bound when links,
/// processes and host lists fail in any order.
TEST(Rates, NoWindowExceedsTheBoundUnderFaults) {
  double worst = 0;
  for (const std::size_t hosts : {3, 7, 20, 60, 200})
    for (std::uint64_t seed = 1; seed <= (hosts < 60 ? 6U : 1U); ++seed) {
      RateFleet fleet(hosts, seed);
      fleet.MaxListDelay = 2000ms;
      addWorkspaces(fleet);
      flood(fleet);
      fleet.run(3s);
      for (int round = 0; round < 25; ++round) {
        breakSomething(fleet);
        fleet.run(milliseconds(200 + fleet.pick(4000)));
      }
      expectBound(fleet, std::to_string(hosts) + " hosts, seed " +
                             std::to_string(seed));
      for (const auto &[name, workspace] : fleet.Workspaces)
        worst = std::max(worst, fleet.worst(workspace));
    }
  std::printf("largest part of the bound: %.3f\n", worst);
}

/// Guards against refusals below the limit.
TEST(Rates, RequestsBelowTheLimitAreAdmitted) {
  for (const std::size_t hosts : {3, 7, 60, 200}) {
    RateFleet fleet(hosts, hosts);
    addWorkspaces(fleet);
    fleet.run(2s);
    addUsualDemand(fleet);
    const std::size_t before = fleet.Messages;
    fleet.run(60s);
    EXPECT_GE(admittedShare(fleet), 0.97) << hosts;
    for (const auto &[name, workspace] : fleet.Workspaces)
      EXPECT_GE(static_cast<double>(workspace.Admitted),
                0.9 * static_cast<double>(workspace.Offered) - 1)
          << name << " at " << hosts;
    std::printf("%zu hosts: admitted %.4f, messages/s %.1f\n", hosts,
                admittedShare(fleet),
                static_cast<double>(fleet.Messages - before) / 60);
  }
}

/// Guards against a partition that stops workspaces which stay below their
/// limit.
TEST(Rates, MostRequestsAreAdmittedWithAThirdOfTheHostsCutOff) {
  double sum = 0;
  int runs = 0;
  for (const std::size_t hosts : {20, 60, 200})
    for (std::uint64_t seed = 1; seed <= 4; ++seed, ++runs) {
      RateFleet fleet(hosts, seed);
      addWorkspaces(fleet);
      fleet.run(2s);
      addUsualDemand(fleet);
      fleet.run(15s);
      cut(fleet, 1.0 / 3);
      fleet.run(10s);
      cut(fleet, 0);
      fleet.run(15s);
      expectBound(fleet, std::to_string(hosts));
      sum += admittedShare(fleet);
    }
  EXPECT_GE(sum / runs, 0.9);
  std::printf("admitted with a cut: %.4f\n", sum / runs);
}

/// Guards against leases of an old limit that outlive a lower one.
TEST(Rates, ALowerLimitBindsAtOnce) {
  RateFleet fleet(7, 3);
  fleet.setLimit("w", {100, 100});
  flood(fleet);
  fleet.run(10s);
  fleet.setLimit("w", {5, 5});
  auto &workspace = fleet.Workspaces["w"];
  workspace.Sent.clear();
  fleet.run(10s);
  EXPECT_LE(fleet.worst(workspace), 1.0);
  EXPECT_GT(workspace.Sent.size(), 25U);
}

/// Guards against refunds that admit more than a full bucket.
TEST(Rates, CreditThatWouldHaveBeenLostIsNotRefunded) {
  const TimePoint start{1h};
  CreditBucket bucket;
  bucket.setRule(10, 10, start);
  bucket.add(10, start);
  for (int i = 0; i < 10; ++i)
    EXPECT_TRUE(bucket.trySpend(start));
  bucket.refund(start);
  EXPECT_DOUBLE_EQ(bucket.credit(start), 1);
  EXPECT_DOUBLE_EQ(bucket.credit(start + 2s), 10);
  for (int i = 0; i < 9; ++i)
    bucket.refund(start + 2s);
  EXPECT_TRUE(bucket.trySpend(start + 2s));
  bucket.settle();
  bucket.refund(start + 2s);
  EXPECT_DOUBLE_EQ(bucket.credit(start + 2s), 9);
}

/// Guards against a grant that is used after its lease, for example by a
/// process that was suspended, and against a message that arrives late.
TEST(Rates, ALoanEndsAndLateMessagesAreIgnored) {
  TimePoint now{1h};
  LentShare lent;
  lent.setQuota({100, 100}, now);
  lent.setOwned(0.5, 0s, now);
  const RateAsk ask{"w", 0, 0, 30, 30, 5, 0};
  BorrowedCredit borrower;
  borrower.setQuota({100, 100}, now);
  borrower.setLenders({"lender"});
  borrower.onArrival(now);
  ASSERT_EQ(borrower.takeDue(1, now).size(), 1U);
  now += 1s;
  const auto grant = lent.grant("h", 2, ask, true, now);
  EXPECT_DOUBLE_EQ(grant.Rate, 0.3);
  borrower.onGrant("lender", grant, now - 1s, now);
  EXPECT_EQ(borrower.trySpend(1, now), CreditSource::Grant);
  EXPECT_FALSE(lent.grant("h", 1, {"w", 0, 0, 1, 1, 0, 0}, true, now).Lends);
  EXPECT_DOUBLE_EQ(lent.lent(now), 0.3);
  EXPECT_EQ(borrower.trySpend(1, now + 3s), CreditSource::None);
  EXPECT_GT(lent.lent(now + RateLease), 0);
  EXPECT_EQ(lent.lent(now + RateLease + RateLeaseMargin), 0);
}

/// Guards against a share that is lent before its earlier owner's loans end.
TEST(Rates, ALargerShareIsUsedOnlyAfterTheWait) {
  const TimePoint now{1h};
  OwnedShare share;
  share.set(0.3, 4s, now);
  EXPECT_EQ(share.usable(now + 3s), 0);
  EXPECT_EQ(share.usable(now + 4s), 0.3);
  share.set(0.5, 4s, now + 5s);
  share.set(0.2, 4s, now + 6s);
  EXPECT_EQ(share.usable(now + 6s), 0.2);
}

} // namespace
