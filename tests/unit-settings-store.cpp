#include "SettingsFixture.h"

#include <random>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::operators;
using standins::InterruptedKvStore;
using standins::makeChange;
using standins::path;
using standins::setEdit;
using testing::HasSubstr;

namespace {

using Store = SettingsStore<InterruptedKvStore>;

core::SettingsTree treeOf(Store &store) {
  return fromBlob(store.read().value()).value();
}

std::string valueOf(Store &store, const std::string &where,
                    const std::string &key) {
  const auto tree = treeOf(store);
  const auto *found = tree.find(path(where), key);
  return found ? core::toJson(*found).dump() : "";
}

class SettingsStoreTest : public testing::Test {
protected:
  SettingsStoreTest() {
    First.commit(makeChange("base", setEdit("/a", "max_deadline", "5 s")));
  }

  InterruptedKvStore Kv;
  InterruptedKvStore OtherKv{Kv};
  Store First{Kv};
  Store Second{OtherKv};
};

TEST_F(SettingsStoreTest, AChangeIsReadBackWithItsRevision) {
  const auto result =
      First.commit(makeChange("1", setEdit("/a", "max_deadline", "4 s")));
  EXPECT_EQ(result.Outcome, CommitOutcome::Accepted);
  EXPECT_EQ(result.Revision, 2U);
  EXPECT_EQ(Second.read()->Revision, 2U);
  EXPECT_EQ(valueOf(Second, "/a", "max_deadline"), "\"4 s\"");
}

TEST_F(SettingsStoreTest, AnEmptyStoreReadsAsRevisionZero) {
  InterruptedKvStore empty;
  EXPECT_EQ(Store(empty).read()->Revision, 0U);
}

TEST_F(SettingsStoreTest, ConcurrentChangesOfDifferentKeysAreBothAccepted) {
  Kv.BeforeNextSwap = [&] {
    Second.commit(makeChange("o", setEdit("/b", "canary", "true")));
  };
  const auto result =
      First.commit(makeChange("1", setEdit("/a", "canary", "true")));
  EXPECT_EQ(result.Outcome, CommitOutcome::Accepted);
  EXPECT_EQ(valueOf(First, "/a", "canary"), "true");
  EXPECT_EQ(valueOf(First, "/b", "canary"), "true");
}

TEST_F(SettingsStoreTest, AConflictReportsTheConflictingChange) {
  auto mine = makeChange("1", setEdit("/a", "max_deadline", "3 s"));
  mine.BaseRevision = 1;
  Kv.BeforeNextSwap = [&] {
    auto theirs = makeChange("o", setEdit("/a", "max_deadline", "2 s"));
    theirs.Actor = "bela";
    Second.commit(theirs);
  };
  const auto result = First.commit(mine);
  EXPECT_EQ(result.Outcome, CommitOutcome::Conflict);
  ASSERT_EQ(result.ConflictingChanges.size(), 1U);
  EXPECT_EQ(result.ConflictingChanges[0].Actor, "bela");
  EXPECT_EQ(result.ConflictingChanges[0].Items[0].New, "2 s");
  EXPECT_EQ(valueOf(First, "/a", "max_deadline"), "\"2 s\"");
}

TEST_F(SettingsStoreTest, ARebasedChangeIsValidatedAgainstTheWholeTree) {
  auto mine = makeChange("1", setEdit("/a/s/r", "latency_target", "4 s"));
  mine.Edits.insert(
      mine.Edits.begin(),
      {setEdit("/a/s", "leaves",
               R"([{"name":"l","address":"10.0.0.1:1","failure_domain":"w"}])"),
       setEdit("/a/s/r", "kind", "search")});
  mine.BaseRevision = 1;
  Kv.BeforeNextSwap = [&] {
    Second.commit(makeChange("o", setEdit("/a", "max_deadline", "2 s")));
  };
  const auto result = First.commit(mine);
  EXPECT_EQ(result.Outcome, CommitOutcome::Invalid);
  EXPECT_THAT(result.Message, HasSubstr("/a/s/r latency_target: 4 s"));
}

TEST_F(SettingsStoreTest, RemovingAWorkspaceConflictsWithLaterChangesInIt) {
  core::SettingEdit removal{core::EditKind::RemoveNode, path("/a"), {}, {}};
  First.commit(makeChange("gone", removal));
  auto late = makeChange("1", setEdit("/a", "canary", "true"));
  late.BaseRevision = 1;
  EXPECT_EQ(First.commit(late).Outcome, CommitOutcome::Conflict);
}

TEST_F(SettingsStoreTest, ALostSwapReplyIsResolvedByReadingTheManifest) {
  Kv.SwapRepliesToLose = 1;
  const auto result =
      First.commit(makeChange("1", setEdit("/a", "canary", "true")));
  EXPECT_EQ(result.Outcome, CommitOutcome::Accepted);
  EXPECT_EQ(result.Revision, 2U);
  EXPECT_EQ(First.read()->Revision, 2U);
}

TEST_F(SettingsStoreTest, ALostSwapRequestIsRepeated) {
  Kv.SwapsToLose = 1;
  EXPECT_EQ(
      First.commit(makeChange("1", setEdit("/a", "canary", "true"))).Outcome,
      CommitOutcome::Accepted);
  EXPECT_EQ(First.read()->Revision, 2U);
}

TEST_F(SettingsStoreTest, ALostReplyBeforeAnOutageIsUnknownUntilResent) {
  const auto request = makeChange("1", setEdit("/a", "canary", "true"));
  Kv.SwapRepliesToLose = 1;
  Kv.OutageAfterNextSwap = true;
  EXPECT_EQ(First.commit(request).Outcome, CommitOutcome::Unknown);
  Kv.Faults->Outage = false;
  auto again = request;
  again.MayBeResend = true;
  const auto result = Second.commit(again);
  EXPECT_EQ(result.Outcome, CommitOutcome::Accepted);
  EXPECT_EQ(result.Revision, 2U);
  EXPECT_EQ(Second.read()->Revision, 2U);
}

TEST_F(SettingsStoreTest,
       DuringAnOutageAFirstAttemptIsNotMadeAndAResendUnknown) {
  Kv.Faults->Outage = true;
  auto request = makeChange("1", setEdit("/a", "canary", "true"));
  EXPECT_EQ(First.commit(request).Outcome, CommitOutcome::NotMade);
  // An earlier attempt of a resent change may have reached the store.
  request.MayBeResend = true;
  EXPECT_EQ(First.commit(request).Outcome, CommitOutcome::Unknown);
}

TEST_F(SettingsStoreTest, ResendingAChangeDoesNotRevertALaterOne) {
  const auto first = makeChange("1", setEdit("/a", "max_deadline", "3 s"));
  First.commit(first);
  First.commit(makeChange("2", setEdit("/a", "max_deadline", "2 s")));
  const auto again = First.commit(first);
  EXPECT_EQ(again.Outcome, CommitOutcome::Accepted);
  EXPECT_EQ(again.Revision, 2U);
  EXPECT_EQ(valueOf(First, "/a", "max_deadline"), "\"2 s\"");
}

TEST_F(SettingsStoreTest, ARefusedResendCannotTakeEffectLater) {
  First.commit(makeChange("2", setEdit("/a", "max_deadline", "2 s")));
  auto late = makeChange("1", setEdit("/a", "max_deadline", "3 s"));
  late.BaseRevision = 1;
  late.MayBeResend = true;
  const auto before = Kv.get(ManifestKey, {}).value()->ModRevision;
  EXPECT_EQ(Second.commit(late).Outcome, CommitOutcome::Conflict);
  // A swap of an earlier attempt expects the manifest as it was before.
  EXPECT_FALSE(Kv.compareAndSet(ManifestKey, "late", before, {}).value());
  late.BaseRevision.reset();
  EXPECT_EQ(First.commit(late).Outcome, CommitOutcome::Conflict);
}

TEST_F(SettingsStoreTest, AChangeIdCannotBeReusedForAnotherChange) {
  First.commit(makeChange("1", setEdit("/a", "canary", "true")));
  EXPECT_EQ(
      First.commit(makeChange("1", setEdit("/a", "canary", "false"))).Outcome,
      CommitOutcome::Invalid);
}

TEST_F(SettingsStoreTest, AStaleStoreIsNotReadOrChanged) {
  auto request = makeChange("1", setEdit("/a", "canary", "true"));
  request.NewestKnownRevision = 7;
  EXPECT_EQ(First.commit(request).Outcome, CommitOutcome::NotMade);
  EXPECT_FALSE(First.read());
}

TEST_F(SettingsStoreTest, TheAuditLogHasOneEntryForEachRevision) {
  // The values are large enough to fill several audit pages.
  const std::string leaf = R"([{"name":")" + std::string(1500, 'x') +
                           R"(","address":"10.0.0.1:1","failure_domain":"w"}])";
  constexpr std::uint64_t Changes = 150;
  for (std::uint64_t n = 2; n <= Changes; ++n)
    First.commit(
        makeChange(std::to_string(n), setEdit("/a/s", "leaves", leaf)));
  const auto all = Second.history(Changes + 1, 1000).value();
  ASSERT_EQ(all.size(), Changes);
  for (std::uint64_t n = 0; n < Changes; ++n)
    EXPECT_EQ(all[n].Revision, Changes - n);
  EXPECT_EQ(all[0].ChangeId, std::to_string(Changes));
  EXPECT_LT(Kv.get(ManifestKey, {}).value()->Value.size(), 200'000U);
  // Conflicts with an old base revision are found in the audit pages.
  auto late = makeChange("late", setEdit("/a/s", "leaves", leaf));
  late.BaseRevision = 1;
  EXPECT_EQ(First.commit(late).ConflictingChanges.size(), Changes - 1);
}

TEST_F(SettingsStoreTest, ReplacedPartsAreDeletedButNoneInUse) {
  // Values repeat every 5 revisions, so a part with the same nodes is in use
  // when the part that first held them is deleted, 65 revisions later.
  for (int n = 0; n < 200; ++n) {
    const auto value = std::to_string(n % 5 + 1) + " s";
    First.commit(
        makeChange(std::to_string(n), setEdit("/a", "max_deadline", value)));
    ASSERT_TRUE(Second.read()) << n;
  }
  EXPECT_LE(Kv.list("settings/node/", {}).value().size(),
            RetiredPartRevisions + 2);
  EXPECT_EQ(Second.read()->Revision, 201U);
}

// Two operators make 500 changes in total. The second commits before each swap
// of the first, and some swap requests and replies are lost.
TEST_F(SettingsStoreTest, ConcurrentOperatorsLoseNoAcceptedChange) {
  std::mt19937_64 rng(7);
  SettingsReplica replica;
  std::uint64_t accepted = 1;
  int conflicts = 0;
  std::map<std::string, std::string> last;
  const auto commit = [&](Store &store, int n) {
    const auto where = "/w" + std::to_string(rng() % 5);
    const auto value = std::to_string(n + 1) + " ms";
    auto request =
        makeChange(std::to_string(n), setEdit(where, "latency_target", value));
    request.BaseRevision = replica.revision();
    const auto result = store.commit(request);
    if (result.Outcome == CommitOutcome::Accepted) {
      ++accepted;
      last[where] = value;
    } else {
      EXPECT_EQ(result.Outcome, CommitOutcome::Conflict);
      ++conflicts;
    }
  };
  for (int n = 0; n < 500; n += 2) {
    replica.applyBlob(First.read().value());
    Kv.BeforeNextSwap = [&] { commit(Second, n + 1); };
    Kv.SwapRepliesToLose = rng() % 3 == 0 ? 1 : 0;
    Kv.SwapsToLose = rng() % 5 == 0 ? 1 : 0;
    commit(First, n);
    replica.applyBlob(Second.read().value());
    EXPECT_EQ(replica.revision(), accepted);
    for (const auto &[where, value] : last)
      ASSERT_EQ(valueOf(First, where, "latency_target"), "\"" + value + "\"");
  }
  EXPECT_GT(conflicts, 0);
  const auto trail = First.history(accepted + 1, 1000).value();
  ASSERT_EQ(trail.size(), accepted);
  for (std::uint64_t n = 0; n < accepted; ++n)
    EXPECT_EQ(trail[n].Revision, accepted - n);
}

TEST_F(SettingsStoreTest, ATreeOverOneMegabyteIsStoredInEntriesBelowTheLimit) {
  std::string leaves;
  for (int n = 0; n < 2500; ++n)
    leaves += (n ? "," : "") + std::string(R"({"name":"leaf-number-)") +
              std::to_string(n) + R"(","address":"10.0.)" +
              std::to_string(n / 250) + "." + std::to_string(n % 250) +
              R"(:9000","failure_domain":"wien","group":"group-number-)" +
              std::to_string(n / 3) + R"("})";
  for (const auto *workspace : {"/w1", "/w2", "/w3", "/w4", "/w5"}) {
    auto request = makeChange(workspace, {core::EditKind::AddNode,
                                          path(workspace), "", std::nullopt});
    request.Edits.push_back(
        setEdit(std::string(workspace) + "/s", "leaves", "[" + leaves + "]"));
    EXPECT_EQ(First.commit(request).Outcome, CommitOutcome::Accepted);
  }
  EXPECT_GT(Second.read()->Payload.size(), 1'000'000U);
  const auto entries = Kv.list("settings/", {}).value();
  for (const auto &entry : entries)
    EXPECT_LT(entry.Value.size(), 1'000'000U) << entry.Key;
}

/// The store comes back from a copy that is older than settings in force.
/// Without the restored manifest every later change is refused as stale.
TEST_F(SettingsStoreTest, SettingsThatTheStoreLostAreWrittenAgain) {
  Kv.State->takeCopy();
  First.commit(makeChange("1", setEdit("/a", "max_deadline", "4 s")));
  First.commit(makeChange("2", setEdit("/b", "canary", "true")));
  const auto inForce = First.read().value();
  Kv.State->restoreCopy();
  EXPECT_EQ(
      First.commit(makeChange("3", setEdit("/c", "canary", "true"))).Outcome,
      CommitOutcome::NotMade);
  const auto tree = fromBlob(inForce).value();
  EXPECT_TRUE(First.restoreLost(tree, inForce.Revision, {}).value());
  // A second host that knows the revision has nothing left to restore.
  EXPECT_FALSE(Second.restoreLost(tree, inForce.Revision, {}).value());
  EXPECT_EQ(Second.read()->Revision, inForce.Revision);
  EXPECT_EQ(valueOf(Second, "/a", "max_deadline"), "\"4 s\"");
  EXPECT_EQ(valueOf(Second, "/b", "canary"), "true");
  const auto next =
      First.commit(makeChange("3", setEdit("/c", "canary", "true")));
  EXPECT_EQ(next.Outcome, CommitOutcome::Accepted);
  EXPECT_EQ(next.Revision, inForce.Revision + 1);
  EXPECT_EQ(valueOf(Second, "/a", "max_deadline"), "\"4 s\"");
}

} // namespace
