#include "savorytrestle/core/SnapshotCatalog.h"

#include <gtest/gtest.h>

using namespace savorytrestle::core;

namespace {

/// Two groups of two leaves: leaves 0, 1 hold shard 0 and leaves 2, 3 shard 1.
SnapshotCatalog twoGroups(IndexVersion version) {
  SnapshotCatalog catalog;
  for (LeafIndex leaf = 0; leaf < 4; ++leaf)
    catalog.update(leaf, LeafState::Usable, {{version, leaf / 2, 2}});
  return catalog;
}

TEST(SnapshotCatalog, HasNoSnapshotWithoutLeaves) {
  EXPECT_EQ(SnapshotCatalog().current(), nullptr);
}

TEST(SnapshotCatalog, ListsTheReplicasOfEachShard) {
  const auto snapshot = twoGroups(7).current();
  EXPECT_EQ(snapshot->Version, 7U);
  EXPECT_EQ(snapshot->Replicas,
            (std::vector<std::vector<LeafIndex>>{{0, 1}, {2, 3}}));
}

TEST(SnapshotCatalog, KeepsTheShardCountWhenAWholeGroupIsLost) {
  auto catalog = twoGroups(7);
  catalog.removeLeaf(2);
  catalog.setState(3, LeafState::Down);
  EXPECT_EQ(catalog.current()->Replicas,
            (std::vector<std::vector<LeafIndex>>{{0, 1}, {}}));
  catalog.removeLeaf(3);
  EXPECT_EQ(catalog.current()->Replicas.size(), 2U);
  catalog.setState(0, LeafState::Down);
  catalog.setState(1, LeafState::Draining);
  EXPECT_EQ(catalog.current()->Replicas.size(), 2U);
}

TEST(SnapshotCatalog, MovesToARepartitionOnlyOnceItIsComplete) {
  auto catalog = twoGroups(7);
  catalog.update(0, LeafState::Usable, {{7, 0, 2}, {8, 0, 3}, {8, 1, 3}});
  EXPECT_EQ(catalog.current()->Version, 7U);
  catalog.update(2, LeafState::Usable, {{7, 1, 2}, {8, 2, 3}});
  EXPECT_EQ(catalog.current()->Version, 8U);
  EXPECT_EQ(catalog.current()->Replicas.size(), 3U);
}

TEST(SnapshotCatalog, SelectsTheHighestCoverageWhenNoVersionIsComplete) {
  auto catalog = twoGroups(7);
  catalog.update(0, LeafState::Usable, {{8, 0, 4}});
  catalog.update(1, LeafState::Down, {});
  EXPECT_EQ(catalog.current()->Version, 7U);
  catalog.update(2, LeafState::Usable, {{8, 1, 4}, {8, 2, 4}});
  catalog.update(3, LeafState::Down, {});
  EXPECT_EQ(catalog.current()->Version, 8U);
}

TEST(SnapshotCatalog, ExcludesDrainingLeavesAndDroppedVersions) {
  auto catalog = twoGroups(7);
  catalog.setState(0, LeafState::Draining);
  catalog.dropVersion(2, 7);
  EXPECT_EQ(catalog.current()->Replicas,
            (std::vector<std::vector<LeafIndex>>{{1}, {3}}));
}

TEST(SnapshotCatalog, OneLeafWithAWrongShardCountDoesNotChangeIt) {
  auto catalog = twoGroups(7);
  catalog.update(4, LeafState::Usable, {{7, 0, 1}});
  EXPECT_EQ(catalog.current()->Replicas.size(), 2U);
  catalog.update(4, LeafState::Usable, {{7, 0, 3}});
  catalog.update(5, LeafState::Usable, {{0, 0, 1}, {9, 5, 5}, {9, 0, ~0U}});
  EXPECT_EQ(catalog.current()->Version, 7U);
  EXPECT_EQ(catalog.current()->Replicas.size(), 2U);
}

} // namespace
