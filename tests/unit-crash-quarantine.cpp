#include "savorytrestle/core/CrashQuarantine.h"

#include <algorithm>
#include <random>
#include <string>

#include <gtest/gtest.h>

using namespace savorytrestle::core;
using namespace std::chrono_literals;

namespace {

using Records = std::vector<QuarantineRecord>;

const WallTime Start{1h};
const Fingerprint Poison = makeFingerprint("Nagelpreis", "search", "poison");
const Fingerprint Harmless = makeFingerprint("Nagelpreis", "search", "fair");

/// Runs the fingerprint on a leaf, which crashes.
Records crash(CrashQuarantine &host, const Fingerprint &fingerprint, CrashId id,
              WallTime now) {
  const auto leaf = "leaf-" + std::to_string(id);
  host.onStart(leaf, fingerprint);
  host.onConnectionBroken(leaf, fingerprint, now);
  return host.onLeafDownOrRestarted(leaf, id, now + 100ms);
}

RunPermission permission(CrashQuarantine &host, const Fingerprint &fingerprint,
                         WallTime now) {
  return host.check(fingerprint, now).Permission;
}

TEST(Fingerprint, DependsOnEachPartAndOnTheirBoundaries) {
  const auto fingerprint = makeFingerprint("ab", "c", "d");
  EXPECT_EQ(fingerprint, makeFingerprint("ab", "c", "d"));
  EXPECT_NE(fingerprint, makeFingerprint("a", "bc", "d"));
  EXPECT_NE(fingerprint, makeFingerprint("ab", "cd", ""));
}

TEST(FingerprintLruSet, EvictsTheLeastRecentlyUsed) {
  FingerprintLruSet set(2);
  set.insert({0, 1});
  set.insert({0, 2});
  set.insert({0, 1});
  set.insert({0, 3});
  EXPECT_TRUE(set.contains({0, 1}));
  EXPECT_FALSE(set.contains({0, 2}));
  EXPECT_EQ(set.size(), 2U);
}

TEST(CrashQuarantine, ASecondCrashRefusesTheFingerprintUntilItExpires) {
  CrashQuarantine host({});
  EXPECT_EQ(permission(host, Poison, Start), RunPermission::Canary);
  crash(host, Poison, 1, Start);
  EXPECT_EQ(permission(host, Poison, Start + 1s), RunPermission::Suspect);
  crash(host, Poison, 2, Start + 1s);
  const auto verdict = host.check(Poison, Start + 2s);
  EXPECT_EQ(verdict.Permission, RunPermission::Refused);
  EXPECT_EQ(verdict.RetryAfter, 10min - 900ms);
  EXPECT_EQ(permission(host, Poison, Start + 2s + verdict.RetryAfter),
            RunPermission::Canary);
}

TEST(CrashQuarantine, ASuccessClearsEarlierCrashes) {
  CrashQuarantine host({});
  crash(host, Harmless, 1, Start);
  host.onStart("leaf-5", Harmless);
  EXPECT_EQ(host.onSuccess("leaf-5", Harmless, Start + 1s).size(), 1U);
  EXPECT_EQ(permission(host, Harmless, Start + 1s),
            RunPermission::Unrestricted);
  crash(host, Harmless, 2, Start + 2s);
  EXPECT_EQ(permission(host, Harmless, Start + 3s), RunPermission::Suspect);
}

/// Guards against a search that ends each leaf which runs it and is never
/// refused, since its deadline passes or another leaf answers before.
TEST(CrashQuarantine, AnAttemptThatItsHostGaveUpCountsIfItsLeafEnds) {
  CrashQuarantine host({});
  for (const CrashId id : {1U, 2U}) {
    const auto leaf = "leaf-" + std::to_string(id);
    host.onStart(leaf, Poison);
    host.onAbandoned(leaf, Poison, Start);
    EXPECT_NE(permission(host, Poison, Start), RunPermission::Refused);
    EXPECT_EQ(host.onLeafDownOrRestarted(leaf, id, Start + 1s).size(), 1U);
  }
  EXPECT_EQ(permission(host, Poison, Start + 1s), RunPermission::Refused);
}

/// Guards against searches that are refused since leaves ended later, or as
/// planned.
TEST(CrashQuarantine, AnAttemptThatItsHostGaveUpIsForgottenInTime) {
  CrashQuarantine host({});
  host.onAbandoned("leaf-1", Harmless, Start);
  EXPECT_TRUE(host.onLeafDownOrRestarted("leaf-1", 1, Start + 4s).empty());
  host.onAbandoned("leaf-2", Harmless, Start);
  EXPECT_TRUE(
      host.onLeafDownOrRestarted("leaf-2", 2, Start + 1s, true).empty());
  EXPECT_EQ(permission(host, Harmless, Start + 5s), RunPermission::Canary);
}

TEST(CrashQuarantine, ACrashIsRecordedOnceHoweverManyConnectionsBreak) {
  CrashQuarantine host({});
  for (int n = 0; n < 5; ++n)
    host.onConnectionBroken("leaf-1", Poison, Start);
  EXPECT_EQ(host.onLeafDownOrRestarted("leaf-1", 1, Start).size(), 1U);
  host.onConnectionBroken("leaf-1", Poison, Start);
  host.onLeafDownOrRestarted("leaf-1", 1, Start);
  EXPECT_EQ(permission(host, Poison, Start), RunPermission::Suspect);
}

TEST(CrashQuarantine, ABrokenConnectionWithoutACrashIsNotRecorded) {
  CrashQuarantine host({});
  host.onConnectionBroken("leaf-1", Harmless, Start);
  host.onLeafAlive("leaf-1");
  host.onConnectionBroken("leaf-2", Harmless, Start);
  EXPECT_TRUE(host.onLeafDownOrRestarted("leaf-1", 1, Start).empty());
  EXPECT_TRUE(host.onLeafDownOrRestarted("leaf-2", 2, Start + 3s).empty());
  EXPECT_EQ(permission(host, Harmless, Start + 3s), RunPermission::Canary);
}

TEST(CrashQuarantine, UnconfirmedBreaksRefuseARequestForTheConfirmationWindow) {
  CrashQuarantine host({});
  host.onConnectionBroken("leaf-1", Poison, Start);
  host.onConnectionBroken("leaf-2", Poison, Start);
  const auto verdict = host.check(Poison, Start);
  EXPECT_EQ(verdict.Permission, RunPermission::Refused);
  EXPECT_LE(verdict.RetryAfter, 2s);
  EXPECT_EQ(permission(host, Poison, Start + 3s), RunPermission::Canary);
}

TEST(CrashQuarantine,
     ACrashIsNotRecordedForKnownGoodRequestsBesideAnUnprovenOne) {
  CrashQuarantine host({});
  host.onSuccess("leaf-1", Harmless, Start);
  host.onConnectionBroken("leaf-1", Harmless, Start);
  host.onConnectionBroken("leaf-1", Poison, Start);
  host.onLeafDownOrRestarted("leaf-1", 1, Start);
  EXPECT_EQ(permission(host, Harmless, Start), RunPermission::Unrestricted);
  EXPECT_EQ(permission(host, Poison, Start), RunPermission::Suspect);
}

TEST(CrashQuarantine, ASuspectSharesNoLeafWithOtherUnprovenRequests) {
  CrashQuarantine host({});
  crash(host, Poison, 1, Start);
  host.onStart("leaf-7", Harmless);
  EXPECT_FALSE(host.mayRunOnLeaf("leaf-7", Poison, Start));
  EXPECT_TRUE(host.mayRunOnLeaf("leaf-8", Poison, Start));
  host.onStart("leaf-8", Poison);
  EXPECT_FALSE(host.mayRunOnLeaf("leaf-8", Harmless, Start));
}

TEST(CrashQuarantine, MergeIsIndependentOfOrderAndRepetition) {
  Records records = {{Poison, QuarantineEvent::Crash, 1, Start},
                     {Poison, QuarantineEvent::Crash, 2, Start + 1s},
                     {Harmless, QuarantineEvent::Crash, 1, Start},
                     {Harmless, QuarantineEvent::Success, 0, Start + 2s},
                     {Harmless, QuarantineEvent::Crash, 3, Start + 3s},
                     {Harmless, QuarantineEvent::Success, 0, Start + 1s}};
  CrashQuarantine first({});
  first.merge(records, Start + 4s);
  const auto expected = first.records(Start + 4s);
  EXPECT_EQ(expected.size(), 4U);
  std::mt19937_64 rng(3);
  for (int n = 0; n < 50; ++n) {
    std::shuffle(records.begin(), records.end(), rng);
    CrashQuarantine other({});
    other.merge(records, Start + 4s);
    other.merge(records, Start + 4s);
    EXPECT_EQ(other.records(Start + 4s), expected);
  }
}

TEST(CrashQuarantine, KeepsABoundedNumberOfFingerprints) {
  QuarantineSettings settings;
  settings.MaxFingerprints = 10;
  CrashQuarantine host(settings);
  for (std::uint64_t n = 0; n < 100; ++n) {
    const Records record = {{{n, n},
                             QuarantineEvent::Crash,
                             n,
                             Start + std::chrono::milliseconds(n)}};
    host.merge(record, Start + 1s);
  }
  const auto kept = host.records(Start + 1s);
  ASSERT_EQ(kept.size(), 10U);
  EXPECT_EQ(kept.front().RequestFingerprint.High, 90U);
}

/// Hosts that send canaries to leaves; the poison request crashes its leaf.
struct Deployment {
  static constexpr std::size_t Leaves = 30;
  std::mt19937_64 Random;
  std::vector<CrashQuarantine> Hosts;
  CrashId Crashes = 0;
  int HarmlessRefused = 0;

  explicit Deployment(std::uint64_t seed)
      : Random(seed), Hosts(3, CrashQuarantine({})) {}

  struct Attempt {
    std::size_t Host = 0;
    std::size_t Leaf = 0;
    Fingerprint RequestFingerprint;
  };

  std::optional<Attempt>
  tryStart(std::size_t host, const Fingerprint &fingerprint, WallTime now) {
    auto &quarantine = Hosts[host];
    const auto permitted = permission(quarantine, fingerprint, now);
    if (permitted == RunPermission::Refused) {
      HarmlessRefused += fingerprint != Poison ? 1 : 0;
      return std::nullopt;
    }
    const auto leaf = permitted == RunPermission::Suspect
                          ? quarantine.canaryLeafIndex(fingerprint, Leaves)
                          : Random() % Leaves;
    if (!quarantine.mayRunOnLeaf(std::to_string(leaf), fingerprint, now))
      return std::nullopt;
    quarantine.onStart(std::to_string(leaf), fingerprint);
    return Attempt{host, leaf, fingerprint};
  }

  void mergeEverywhere(const Records &records, WallTime now) {
    for (auto &host : Hosts)
      host.merge(records, now);
  }

  void finish(const std::vector<Attempt> &attempts, WallTime now) {
    std::optional<std::size_t> crashed;
    for (const auto &attempt : attempts)
      if (attempt.RequestFingerprint == Poison)
        crashed = attempt.Leaf;
    Crashes += crashed ? 1 : 0;
    for (const auto &[host, leaf, fingerprint] : attempts)
      if (leaf == crashed)
        Hosts[host].onConnectionBroken(std::to_string(leaf), fingerprint, now);
      else
        mergeEverywhere(
            Hosts[host].onSuccess(std::to_string(leaf), fingerprint, now), now);
    if (crashed)
      for (auto &host : Hosts)
        mergeEverywhere(
            host.onLeafDownOrRestarted(std::to_string(*crashed), Crashes, now),
            now);
  }
};

// Sixty harmless unproven requests run at once, some on the same leaf as the
// poison request. Each is resent, through any host, until it succeeds.
TEST(CrashQuarantine,
     ThePoisonRequestIsRefusedAfterTwoCrashesAndNoHarmlessOne) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Deployment deployment(seed);
    for (std::uint64_t round = 0; round < 10; ++round) {
      const auto now = Start + round * 300ms;
      std::vector<Deployment::Attempt> attempts;
      for (std::uint64_t n = 0; n <= 60; ++n) {
        // New harmless requests start in every third round; the others are
        // resends.
        const auto fingerprint = n == 0 ? Poison : Fingerprint{n, round / 3};
        const auto host = deployment.Random() % 3;
        if (const auto attempt = deployment.tryStart(host, fingerprint, now))
          attempts.push_back(*attempt);
      }
      deployment.finish(attempts, now);
    }
    EXPECT_EQ(deployment.Crashes, 2U) << "seed " << seed;
    EXPECT_EQ(deployment.HarmlessRefused, 0) << "seed " << seed;
    for (auto &host : deployment.Hosts)
      EXPECT_EQ(permission(host, Poison, Start + 1min), RunPermission::Refused);
  }
}

} // namespace
