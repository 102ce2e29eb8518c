#include "backend/ServiceRuntime.h"

#include <map>

namespace savorytrestle::backend {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds PollInterval{1000};
constexpr milliseconds PollTimeout{800};
constexpr int StatusOk = 200;

std::size_t coveredShards(const core::Snapshot &snapshot) {
  std::size_t n = 0;
  for (const auto &replicas : snapshot.Replicas)
    n += replicas.empty() ? 0 : 1;
  return n;
}

} // namespace

ServiceRuntime::ServiceRuntime(
    std::shared_ptr<const core::ServiceSettings> settings, FanOutLoop &loop)
    : Settings(std::move(settings)), Loop(loop),
      Status(Settings->Leaves.size()) {}

void ServiceRuntime::startPolling() {
  for (core::LeafIndex leaf = 0; leaf < Status.size(); ++leaf)
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
  Status[leaf] =
      result.Status == StatusOk ? decodeStatus(result.Body) : std::nullopt;
}

std::optional<core::Snapshot> ServiceRuntime::snapshot() const {
  std::map<core::IndexVersion, core::Snapshot> versions;
  for (core::LeafIndex leaf = 0; leaf < Status.size(); ++leaf) {
    if (!Status[leaf])
      continue;
    for (const auto &index : Status[leaf]->Indexes) {
      auto &snapshot = versions[index.Version];
      snapshot.Version = index.Version;
      snapshot.Replicas.resize(index.ShardCount);
      if (!Status[leaf]->Draining && index.Shard < index.ShardCount)
        snapshot.Replicas[index.Shard].push_back(leaf);
    }
  }
  std::optional<core::Snapshot> best;
  double bestCoverage = -1;
  for (auto it = versions.rbegin(); it != versions.rend(); ++it) {
    const double coverage = static_cast<double>(coveredShards(it->second)) /
                            static_cast<double>(it->second.Replicas.size());
    if (coverage > bestCoverage) {
      bestCoverage = coverage;
      best = it->second;
    }
  }
  return best;
}

std::vector<core::LeafIndex> ServiceRuntime::usableLeaves() const {
  std::vector<core::LeafIndex> leaves;
  for (core::LeafIndex leaf = 0; leaf < Status.size(); ++leaf)
    if (Status[leaf] && !Status[leaf]->Draining)
      leaves.push_back(leaf);
  return leaves;
}

} // namespace savorytrestle::backend
