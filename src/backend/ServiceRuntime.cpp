#include "backend/ServiceRuntime.h"

#include <numeric>

namespace savorytrestle::backend {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds PollInterval{1000};
constexpr milliseconds PollTimeout{800};
constexpr int StatusOk = 200;
/// Attempts slower than this quantile of the service's latency are hedged.
constexpr double HedgeQuantile = 0.95;

core::LeafPoolSettings poolSettings(const std::string &failureDomain,
                                    std::uint64_t seed) {
  core::LeafPoolSettings settings;
  settings.FailureDomain = failureDomain;
  settings.Seed = seed;
  return settings;
}

// The pool must know the leaves before it can hand them out.
core::PinnedLeaves pinLeaves(ServiceMemory &memory,
                             const core::ServiceSettings &settings) {
  memory.Pool.setLeaves(settings, SteadyClock::now());
  return memory.Pool.pin();
}

} // namespace

ServiceMemory::ServiceMemory(const std::string &failureDomain,
                             const core::ServiceSettings &settings,
                             std::uint64_t seed)
    : Pool(poolSettings(failureDomain, seed)),
      Budget(settings.ExtraLoadFraction), Latency(HedgeQuantile) {}

ServiceRuntime::ServiceRuntime(
    std::shared_ptr<const core::ServiceSettings> settings,
    std::shared_ptr<ServiceMemory> memory, FanOutLoop &loop)
    : Settings(std::move(settings)), Memory(std::move(memory)), Loop(loop),
      Pinned(pinLeaves(*Memory, *Settings)), All(Settings->Leaves.size()),
      Status(Settings->Leaves.size()) {
  std::iota(All.begin(), All.end(), core::LeafIndex(0));
  Memory->Budget.setFraction(Settings->ExtraLoadFraction);
}

ServiceRuntime::State ServiceRuntime::state() {
  return {Pinned, Catalog, Memory->Budget, Memory->Latency};
}

void ServiceRuntime::adopt(const ServiceRuntime &earlier) {
  for (core::LeafIndex leaf = 0; leaf < Status.size(); ++leaf) {
    for (core::LeafIndex old = 0; old < earlier.Status.size(); ++old) {
      const auto &now = Settings->Leaves[leaf];
      const auto &before = earlier.Settings->Leaves[old];
      if (now.Name == before.Name && now.Address == before.Address &&
          earlier.Status[old])
        learn(leaf, *earlier.Status[old]);
    }
  }
}

void ServiceRuntime::startPolling() {
  for (const core::LeafIndex leaf : All)
    poll(leaf);
}

void ServiceRuntime::poll(core::LeafIndex leaf) {
  if (Stopped)
    return;
  const auto now = SteadyClock::now();
  LeafCall call;
  call.Url = "http://" + Settings->Leaves[leaf].Address + "/v1/status";
  call.Deadline = now + PollTimeout;
  auto self = shared_from_this();
  Loop.transport().send(std::move(call), now,
                        [self, leaf](const LeafCallResult &result) {
                          self->onStatus(leaf, result);
                        });
  // Jitter keeps the hosts from polling a leaf all at the same moment.
  std::uniform_int_distribution<int> jitter(-100, 100);
  Loop.callAt(now + PollInterval + milliseconds(jitter(Loop.rng())),
              [self, leaf] { self->poll(leaf); });
}

void ServiceRuntime::onStatus(core::LeafIndex leaf,
                              const LeafCallResult &result) {
  if (const auto status = result.Status == StatusOk ? decodeStatus(result.Body)
                                                    : std::nullopt) {
    learn(leaf, *status);
    return;
  }
  // Its shards stay in the catalog: what the pool sees of the leaf decides
  // whether it gets work, and the coverage denominator must not shrink.
  core::LeafStatus report;
  report.Healthy = false;
  Memory->Pool.onStatus(Settings->Leaves[leaf].Name, report,
                        SteadyClock::now());
}

void ServiceRuntime::learn(core::LeafIndex leaf, const LeafStatus &status) {
  Status[leaf] = status;
  std::vector<core::ShardHolding> holdings;
  for (const auto &index : status.Indexes)
    holdings.push_back({index.Version, index.Shard, index.ShardCount});
  Catalog.update(leaf,
                 status.Draining ? core::LeafState::Draining
                                 : core::LeafState::Usable,
                 std::move(holdings));
  core::LeafStatus report;
  report.Draining = status.Draining;
  report.Incarnation = status.Incarnation;
  Memory->Pool.onStatus(Settings->Leaves[leaf].Name, report,
                        SteadyClock::now());
}

} // namespace savorytrestle::backend
