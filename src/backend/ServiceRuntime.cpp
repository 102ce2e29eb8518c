#include "backend/ServiceRuntime.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace savorytrestle::backend {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds PollInterval{1000};
constexpr milliseconds PollTimeout{800};
constexpr milliseconds RefreshInterval{100};
constexpr milliseconds CrashCheckInterval{10};
constexpr int StatusOk = 200;

core::LeafPoolSettings poolSettings(const std::string &failureDomain,
                                    std::uint64_t seed) {
  core::LeafPoolSettings settings;
  settings.FailureDomain = failureDomain;
  settings.Seed = seed;
  return settings;
}

// The pool's leaves must be set before they are pinned.
core::PinnedLeaves pinLeaves(SharedServiceState &sharedState,
                             const core::ServiceSettings &settings) {
  sharedState.Pool.setLeaves(settings, SteadyClock::now());
  return sharedState.Pool.pin();
}

} // namespace

SharedServiceState::SharedServiceState(const std::string &failureDomain,
                                       const core::ServiceSettings &settings,
                                       std::uint64_t seed)
    : Pool(poolSettings(failureDomain, seed)),
      Budget(settings.ExtraLoadFraction) {}

ServiceRuntime::ServiceRuntime(
    std::shared_ptr<const core::ServiceSettings> settings,
    std::shared_ptr<SharedServiceState> sharedState,
    std::shared_ptr<HostQuarantine> quarantine, FanOutLoop &loop)
    : Settings(std::move(settings)), SharedState(std::move(sharedState)),
      Loop(loop), Quarantine(std::move(quarantine)),
      Pinned(pinLeaves(*SharedState, *Settings)),
      AllLeaves(Settings->Leaves.size()),
      LastStatuses(Settings->Leaves.size()) {
  std::iota(AllLeaves.begin(), AllLeaves.end(), core::LeafIndex(0));
  SharedState->Budget.setFraction(Settings->ExtraLoadFraction);
}

ServiceRuntime::SearchState
ServiceRuntime::makeSearchState(const core::Fingerprint &fingerprint) {
  // A lost connection alone does not prove a crash, so the leaf's status is
  // requested at once.
  QuarantineLeafSelector leaves(
      Pinned, Settings, Quarantine, fingerprint,
      [self = shared_from_this()](core::LeafIndex leaf) {
        self->requestStatus(leaf);
      });
  return {std::move(leaves), Catalog, SharedState->Budget, Hedges};
}

std::vector<std::string> ServiceRuntime::groupsHolding(
    core::IndexVersion version,
    const std::vector<core::ShardIndex> &shards) const {
  const std::set<core::ShardIndex> shardSet(shards.begin(), shards.end());
  std::set<std::string> groups;
  for (const core::LeafIndex leaf : AllLeaves) {
    if (shardSet.empty() || !LastStatuses[leaf])
      continue;
    for (const auto &index : LastStatuses[leaf]->Indexes)
      if (index.Version == version && shardSet.count(index.Shard) > 0)
        groups.insert(Settings->Leaves[leaf].Group);
  }
  return {groups.begin(), groups.end()};
}

void ServiceRuntime::copyStateFrom(const ServiceRuntime &earlier) {
  const auto &currentLeaves = Settings->Leaves;
  const auto &previousLeaves = earlier.Settings->Leaves;
  const auto sameLeaf = [](const core::LeafSettings &a,
                           const core::LeafSettings &b) {
    return a.Name == b.Name && a.Address == b.Address;
  };
  if (std::equal(currentLeaves.begin(), currentLeaves.end(),
                 previousLeaves.begin(), previousLeaves.end(), sameLeaf))
    Hedges = earlier.Hedges;
  std::map<std::string, core::LeafIndex> positions;
  for (core::LeafIndex leaf = 0; leaf < currentLeaves.size(); ++leaf)
    positions.emplace(currentLeaves[leaf].Name, leaf);
  for (core::LeafIndex previous = 0; previous < previousLeaves.size();
       ++previous) {
    const auto it = positions.find(previousLeaves[previous].Name);
    if (it != positions.end() &&
        sameLeaf(currentLeaves[it->second], previousLeaves[previous]) &&
        earlier.LastStatuses[previous])
      applyStatus(it->second, *earlier.LastStatuses[previous]);
  }
}

void ServiceRuntime::startPolling() {
  for (const core::LeafIndex leaf : AllLeaves)
    pollAndReschedule(leaf);
}

void ServiceRuntime::requestAllStatuses() {
  for (const core::LeafIndex leaf : AllLeaves)
    requestStatus(leaf);
}

void ServiceRuntime::pollAndReschedule(core::LeafIndex leaf) {
  if (Stopped)
    return;
  requestStatus(leaf);
  // Jitter prevents all hosts from polling a leaf at the same time.
  std::uniform_int_distribution<int> jitter(-100, 100);
  Loop.scheduleAt(
      SteadyClock::now() + PollInterval + milliseconds(jitter(Loop.rng())),
      [self = shared_from_this(), leaf] { self->pollAndReschedule(leaf); });
}

void ServiceRuntime::refreshStatuses() {
  const auto now = SteadyClock::now();
  if (now < LastRefresh + RefreshInterval)
    return;
  LastRefresh = now;
  requestAllStatuses();
}

void ServiceRuntime::requestStatus(core::LeafIndex leaf) {
  const auto now = SteadyClock::now();
  LeafCall call;
  call.Url = "http://" + Settings->Leaves[leaf].Address + "/v1/status";
  call.Deadline = now + PollTimeout;
  call.IsControl = true;
  call.MaxConnections = Pinned.connectionLimit(leaf, now);
  Loop.transport().send(
      std::move(call), now,
      [self = shared_from_this(), leaf](const LeafCallResult &result) {
        self->onStatus(leaf, result);
      });
}

void ServiceRuntime::onStatus(core::LeafIndex leaf,
                              const LeafCallResult &result) {
  if (result.ExpiredBeforeStart)
    return;
  const auto status =
      result.Status == StatusOk ? decodeStatus(result.Body) : std::nullopt;
  reportToQuarantine(leaf, result, status);
  if (status) {
    applyStatus(leaf, *status);
    return;
  }
  // A refused connection proves that the leaf cannot be searched now. Its
  // shards stay in the catalog, so that the coverage denominator does not
  // shrink. After any other failure only the leaf's health in the pool changes.
  if (result.Failure == CallFailure::NotSent)
    Catalog.setState(leaf, core::LeafState::Down);
  core::LeafHealthReport report;
  report.Healthy = false;
  SharedState->Pool.onHealthReport(Settings->Leaves[leaf].Name, report,
                                   SteadyClock::now());
}

/// Reports to the quarantine whether the leaf is down, has restarted or still
/// runs.
void ServiceRuntime::reportToQuarantine(
    core::LeafIndex leaf, const LeafCallResult &result,
    const std::optional<LeafStatus> &status) {
  const std::string &name = Settings->Leaves[leaf].Name;
  // 0: the leaf has reported no incarnation.
  const std::uint64_t previousIncarnation =
      LastStatuses[leaf] ? LastStatuses[leaf]->Incarnation.value_or(0) : 0;
  const std::uint64_t currentIncarnation =
      status ? status->Incarnation.value_or(0) : 0;
  const bool restarted = status && previousIncarnation != 0 &&
                         currentIncarnation != previousIncarnation;
  if (restarted || result.Failure == CallFailure::NotSent)
    Quarantine->onLeafDownOrRestarted(name, previousIncarnation,
                                      LastStatuses[leaf] &&
                                          LastStatuses[leaf]->Draining);
  else if (status && previousIncarnation != 0)
    Quarantine->onLeafAlive(name);
  else if (result.Failure == CallFailure::ConnectionLost && !Stopped)
    // A process that is exiting may still accept connections; only a refused
    // one proves that it has ended. The status is therefore requested again.
    Loop.scheduleAt(
        SteadyClock::now() + CrashCheckInterval,
        [self = shared_from_this(), leaf] { self->requestStatus(leaf); });
}

void ServiceRuntime::applyStatus(core::LeafIndex leaf,
                                 const LeafStatus &status) {
  LastStatuses[leaf] = status;
  std::vector<core::ShardHolding> holdings;
  for (const auto &index : status.Indexes)
    holdings.push_back({index.Version, index.Shard, index.ShardCount});
  Catalog.update(leaf,
                 status.Draining ? core::LeafState::Draining
                                 : core::LeafState::Usable,
                 std::move(holdings));
  core::LeafHealthReport report;
  report.Draining = status.Draining;
  report.Incarnation = status.Incarnation;
  SharedState->Pool.onHealthReport(Settings->Leaves[leaf].Name, report,
                                   SteadyClock::now());
}

} // namespace savorytrestle::backend
