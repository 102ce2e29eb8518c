#include "savorytrestle/core/SnapshotCatalog.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Largest accepted shard count. A larger one is treated as a corrupt status
/// and must not cause a large allocation.
constexpr std::uint32_t MaxShardCount = 65536;

bool isMalformed(const ShardHolding &holding) {
  return holding.Version == 0 || holding.Shard >= holding.ShardCount ||
         holding.ShardCount > MaxShardCount;
}

/// The shard count that is reported most often, so that one leaf with a wrong
/// count does not change the denominator of the coverage.
std::uint32_t
mostReportedCount(const std::map<std::uint32_t, std::uint32_t> &reports) {
  const auto it = std::max_element(
      reports.begin(), reports.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  return it->first;
}

std::size_t coveredShardCount(const Snapshot &snapshot) {
  return static_cast<std::size_t>(
      std::count_if(snapshot.Replicas.begin(), snapshot.Replicas.end(),
                    [](const auto &leaves) { return !leaves.empty(); }));
}

double coverage(const Snapshot &snapshot) {
  return static_cast<double>(coveredShardCount(snapshot)) /
         static_cast<double>(snapshot.Replicas.size());
}

} // namespace

/// Reports of all leaves on one version.
struct SnapshotCatalog::Candidate {
  struct Replica {
    LeafIndex Leaf;
    ShardHolding Holding;
  };

  std::map<std::uint32_t, std::uint32_t> ReportsByShardCount;
  std::vector<Replica> UsableReplicas;

  Snapshot snapshot(IndexVersion version) const {
    Snapshot result{version, {}};
    const std::uint32_t count = mostReportedCount(ReportsByShardCount);
    result.Replicas.resize(count);
    for (const auto &[leaf, holding] : UsableReplicas) {
      if (holding.ShardCount != count)
        continue;
      auto &leaves = result.Replicas[holding.Shard];
      // A leaf that reports a shard twice is added once: its reports are
      // adjacent.
      if (leaves.empty() || leaves.back() != leaf)
        leaves.push_back(leaf);
    }
    return result;
  }
};

void SnapshotCatalog::update(LeafIndex leaf, LeafState state,
                             std::vector<ShardHolding> holdings) {
  std::erase_if(holdings, isMalformed);
  Leaves[leaf] = {state, std::move(holdings)};
  CacheStale = true;
}

void SnapshotCatalog::setState(LeafIndex leaf, LeafState state) {
  const auto it = Leaves.find(leaf);
  if (it == Leaves.end() || it->second.State == state)
    return;
  it->second.State = state;
  CacheStale = true;
}

void SnapshotCatalog::dropVersion(LeafIndex leaf, IndexVersion version) {
  const auto it = Leaves.find(leaf);
  if (it == Leaves.end())
    return;
  const auto n =
      std::erase_if(it->second.Holdings, [version](const ShardHolding &held) {
        return held.Version == version;
      });
  CacheStale = CacheStale || n > 0;
}

void SnapshotCatalog::removeLeaf(LeafIndex leaf) {
  if (Leaves.erase(leaf) > 0)
    CacheStale = true;
}

std::map<IndexVersion, SnapshotCatalog::Candidate>
SnapshotCatalog::collectCandidates() const {
  std::map<IndexVersion, Candidate> versions;
  for (const auto &[leaf, known] : Leaves) {
    for (const ShardHolding &holding : known.Holdings) {
      Candidate &candidate = versions[holding.Version];
      // The reports of leaves that are down or draining count too, so that the
      // shard count stays when a whole group is lost.
      ++candidate.ReportsByShardCount[holding.ShardCount];
      if (known.State == LeafState::Usable)
        candidate.UsableReplicas.push_back({leaf, holding});
    }
  }
  return versions;
}

std::shared_ptr<const Snapshot> SnapshotCatalog::current() const {
  if (!CacheStale)
    return CachedSnapshot;
  std::shared_ptr<const Snapshot> best;
  const auto versions = collectCandidates();
  // In descending order, so that the newest of equal coverages is kept.
  for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
    auto next =
        std::make_shared<const Snapshot>(it->second.snapshot(it->first));
    const bool complete = coveredShardCount(*next) == next->Replicas.size();
    if (!best || coverage(*next) > coverage(*best))
      best = std::move(next);
    if (complete)
      break;
  }
  CachedSnapshot = std::move(best);
  CacheStale = false;
  return CachedSnapshot;
}

} // namespace savorytrestle::core
