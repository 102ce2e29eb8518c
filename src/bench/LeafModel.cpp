#include "bench/LeafModel.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <utility>

namespace savorytrestle::bench {

namespace {

/// Parameters of the log-normal service time.
constexpr double MedianServiceMillis = 5;
constexpr double ServiceTimeSigma = 0.35;
constexpr double StragglerFactor = 20;
/// Queued requests per slot; the leaf sheds any beyond them.
constexpr std::uint32_t MaxQueuedPerSlot = 4;

core::Duration millis(double value) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(value));
}

} // namespace

core::Duration meanServiceTime() {
  return millis(MedianServiceMillis *
                std::exp(ServiceTimeSigma * ServiceTimeSigma / 2));
}

bool LeafModel::connect() {
  ++Open;
  MaxConnections = std::max(MaxConnections, Open);
  if (!Refusing && Open <= Traits.Connections)
    return true;
  --Open;
  ++Refusals;
  return false;
}

void LeafModel::submit(std::uint64_t key, LeafRequest request) {
  if (Silent)
    return;
  if (Refusing) {
    request.Reply(core::AttemptFailure::ConnectionLost);
  } else if (!holds(request)) {
    request.Reply(core::AttemptFailure::WrongVersion);
  } else if (Running.size() < Traits.Slots) {
    run(key, std::move(request));
  } else if (Queue.size() < std::size_t{MaxQueuedPerSlot} * Traits.Slots) {
    Queue.emplace_back(key, std::move(request));
  } else {
    ++Sheds;
    request.Reply(core::AttemptFailure::Shed);
  }
}

void LeafModel::cancel(std::uint64_t key) {
  if (Silent)
    return;
  const auto it =
      std::find_if(Queue.begin(), Queue.end(),
                   [key](const auto &item) { return item.first == key; });
  if (it == Queue.end()) {
    finish(key, core::AttemptFailure::Expired);
    return;
  }
  const auto reply = std::move(it->second.Reply);
  Queue.erase(it);
  reply(core::AttemptFailure::Expired);
}

void LeafModel::crash() {
  Refusing = true;
  for (const auto &[key, request] : std::exchange(Running, {}))
    request.Reply(core::AttemptFailure::ConnectionLost);
  for (const auto &[key, request] : std::exchange(Queue, {}))
    request.Reply(core::AttemptFailure::ConnectionLost);
}

core::LoadReport LeafModel::load() const {
  return {static_cast<std::uint32_t>(Running.size()),
          static_cast<std::uint32_t>(Queue.size()), false};
}

bool LeafModel::holds(const LeafRequest &request) const {
  return std::any_of(
      Holdings.begin(), Holdings.end(), [&](const core::ShardHolding &held) {
        return held.Version == request.Version && held.Shard == request.Shard;
      });
}

core::Duration LeafModel::serviceTime() {
  std::lognormal_distribution<double> time(std::log(MedianServiceMillis),
                                           ServiceTimeSigma);
  std::bernoulli_distribution isStraggler(Traits.StragglerRate);
  const double value = time(Random);
  return millis(isStraggler(Random) ? value * StragglerFactor : value);
}

void LeafModel::run(std::uint64_t key, LeafRequest request) {
  Running.emplace(key, std::move(request));
  MaxBusySlots =
      std::max(MaxBusySlots, static_cast<std::uint32_t>(Running.size()));
  Clock.scheduleAfter(serviceTime(),
                      [this, key] { finish(key, std::nullopt); });
}

void LeafModel::finish(std::uint64_t key, LeafOutcome outcome) {
  const auto it = Running.find(key);
  if (it == Running.end())
    return;
  const auto reply = std::move(it->second.Reply);
  Running.erase(it);
  startQueued();
  if (!Silent)
    reply(outcome);
}

void LeafModel::startQueued() {
  while (!Queue.empty() && Running.size() < Traits.Slots) {
    auto [key, request] = std::move(Queue.front());
    Queue.pop_front();
    // The host no longer waits for the answer.
    if (request.Deadline <= Clock.now())
      request.Reply(core::AttemptFailure::Expired);
    else
      run(key, std::move(request));
  }
}

} // namespace savorytrestle::bench
