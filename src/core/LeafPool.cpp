#include "savorytrestle/core/LeafPool.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "savorytrestle/core/LeafWindow.h"

namespace savorytrestle::core {

namespace {

/// A connection share that takes effect after a delay when it grows.
///
/// While a settings change spreads, some hosts use the old shares and some the
/// new ones. If each host that has the change uses the smaller of the two, the
/// sum stays within the leaf's cap, whichever hosts have the change already.
class DelayedShare {
public:
  std::uint32_t at(TimePoint now) const {
    return now >= TargetFrom ? Target : Current;
  }

  void init(std::uint32_t share) { Current = Target = share; }

  void set(std::uint32_t share, Duration delay, TimePoint now) {
    if (share == Target)
      return;
    Current = at(now);
    Target = share;
    TargetFrom = share > Current ? now + delay : now;
  }

private:
  std::uint32_t Current = 0;
  std::uint32_t Target = 0;
  TimePoint TargetFrom{};
};

/// The values from which a share was computed.
struct ShareInputs {
  std::uint32_t Slot = 0;
  std::uint32_t Slots = 0;
  std::uint32_t LeafSlots = 0;
  std::uint32_t Connections = 0;

  bool operator==(const ShareInputs &) const = default;
};

/// Reservoir sample: two random items of a sequence of unknown length.
class PairReservoir {
public:
  void add(LeafIndex leaf, Rng &rng) {
    ++Added;
    if (Added <= 2) {
      Items[Added - 1] = leaf;
      return;
    }
    const auto position =
        std::uniform_int_distribution<std::size_t>(0, Added - 1)(rng);
    if (position < 2)
      Items[position] = leaf;
  }

  std::size_t size() const { return std::min<std::size_t>(Added, 2); }
  LeafIndex operator[](std::size_t n) const { return Items[n]; }

private:
  std::size_t Added = 0;
  LeafIndex Items[2] = {0, 0};
};

double randomFraction(Rng &rng) {
  return std::uniform_real_distribution<double>(0, 1)(rng);
}

} // namespace

struct PinnedLeaves::Leaf {
  LeafSettings Settings;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  DelayedShare Share;
  std::optional<ShareInputs> Inputs;
  LeafWindow Window;
  LeafHealth Health;
  bool Removed = false;
  std::uint32_t Outstanding = 0;
  std::uint64_t Sheds = 0;
  std::uint64_t Refusals = 0;

  Leaf(const LeafHealthSettings &health, bool cold, TimePoint now)
      : Window({}), Health(health, cold, now) {}

  bool hasFreeConnection(TimePoint now) const {
    return !Removed && Outstanding < Share.at(now);
  }

  bool admits(TimePoint now) const {
    return Health.condition() == LeafCondition::Serving &&
           Window.admits(Outstanding, Health.warmUpFraction(now), now);
  }

  void reserve(TimePoint now) {
    ++Outstanding;
    Window.onStart(now);
  }

  double expectedSeconds(TimePoint now) const {
    // A leaf without a latency sample counts as fast, so that it gets one.
    if (!Window.latency().floor())
      return 0;
    const std::chrono::duration<double> latency =
        Window.latency().expected(now);
    return latency.count() * (Outstanding + 1);
  }
};

struct PinnedLeaves::SharedState {
  LeafPoolSettings Settings;
  std::optional<HostSlot> HeldSlot;
  Rng Jitter;
};

PinnedLeaves::PinnedLeaves(std::shared_ptr<const LeafStates> leaves,
                           std::shared_ptr<SharedState> shared)
    : Leaves(std::move(leaves)), Shared(std::move(shared)) {}

std::optional<LeafIndex>
PinnedLeaves::acquire(std::span<const LeafIndex> candidates, TimePoint now,
                      Rng &rng) {
  if (!Shared->HeldSlot || now >= Shared->HeldSlot->ValidUntil)
    return std::nullopt;
  PairReservoir warm;
  PairReservoir cold;
  for (const LeafIndex index : candidates) {
    if (index >= Leaves->size() || !(*Leaves)[index]->hasFreeConnection(now))
      continue;
    Leaf &leaf = *(*Leaves)[index];
    if (leaf.Health.probeDue(now)) {
      leaf.Health.onProbeStart(now);
      leaf.reserve(now);
      return index;
    }
    if (!leaf.admits(now))
      continue;
    const double fraction = leaf.Health.warmUpFraction(now);
    (fraction >= 1 || randomFraction(rng) < fraction ? warm : cold)
        .add(index, rng);
  }
  // A cold leaf beyond its warm-up fraction is still better than none.
  const PairReservoir &choices = warm.size() > 0 ? warm : cold;
  if (choices.size() == 0)
    return std::nullopt;
  const LeafIndex best = choices.size() == 1
                             ? choices[0]
                             : preferred(choices[0], choices[1], now, rng);
  (*Leaves)[best]->reserve(now);
  return best;
}

LeafIndex PinnedLeaves::preferred(LeafIndex first, LeafIndex second,
                                  TimePoint now, Rng &rng) const {
  const Leaf &a = *(*Leaves)[first];
  const Leaf &b = *(*Leaves)[second];
  const double timeA = a.expectedSeconds(now);
  const double timeB = b.expectedSeconds(now);
  const auto &domain = Shared->Settings.FailureDomain;
  const bool ownA = a.Settings.FailureDomain == domain;
  const bool ownB = b.Settings.FailureDomain == domain;
  const double margin =
      Shared->Settings.OwnDomainMargin * std::max(timeA, timeB);
  if (ownA != ownB && std::abs(timeA - timeB) <= margin)
    return ownA ? first : second;
  if (timeA == timeB)
    return randomFraction(rng) < 0.5 ? first : second;
  return timeA < timeB ? first : second;
}

void PinnedLeaves::release(LeafIndex leaf, const AttemptResult &result,
                           TimePoint now) {
  if (leaf >= Leaves->size())
    return;
  Leaf &state = *(*Leaves)[leaf];
  state.Window.onResult(result, state.Outstanding, now);
  state.Health.onResult(result, randomFraction(Shared->Jitter), now);
  state.Sheds += result.Failure == AttemptFailure::Shed ? 1 : 0;
  state.Refusals += result.Failure == AttemptFailure::ConnectionRefused ? 1 : 0;
  if (state.Outstanding > 0)
    --state.Outstanding;
}

std::uint32_t PinnedLeaves::connectionLimit(LeafIndex leaf,
                                            TimePoint now) const {
  const bool slotHeld = Shared->HeldSlot && now < Shared->HeldSlot->ValidUntil;
  return slotHeld && leaf < Leaves->size() ? (*Leaves)[leaf]->Share.at(now) : 0;
}

LeafPool::LeafPool(LeafPoolSettings settings)
    : Shared(std::make_shared<PinnedLeaves::SharedState>()),
      Leaves(std::make_shared<PinnedLeaves::LeafStates>()) {
  Shared->Jitter.seed(settings.Seed);
  Shared->Settings = std::move(settings);
}

void LeafPool::setLeaves(const ServiceSettings &service, TimePoint now) {
  std::unordered_map<std::string, std::shared_ptr<Leaf>> previous;
  for (const auto &leaf : *Leaves) {
    // Searches with the old list must not send to leaves that were removed.
    leaf->Removed = true;
    previous.emplace(leaf->Settings.Name, leaf);
  }
  auto leaves = std::make_shared<PinnedLeaves::LeafStates>();
  for (const auto &settings : service.Leaves) {
    const auto it = previous.find(settings.Name);
    auto leaf =
        it != previous.end() && it->second->Settings.Address == settings.Address
            ? it->second
            : std::make_shared<Leaf>(Shared->Settings.Health, HasLeafList, now);
    leaf->Settings = settings;
    leaf->Slots = service.LeafSlots;
    leaf->Connections = service.LeafConnections;
    leaf->Removed = false;
    updateShare(*leaf, now);
    leaves->push_back(std::move(leaf));
  }
  Leaves = std::move(leaves);
  HasLeafList = true;
}

void LeafPool::setHostSlot(const HostSlot &slot, TimePoint now) {
  if (now >= slot.ValidUntil) {
    // The shares of the expired slot are kept: those of the next slot are
    // compared with them, and only larger ones are delayed.
    if (Shared->HeldSlot)
      Shared->HeldSlot->ValidUntil = slot.ValidUntil;
    return;
  }
  const bool sameSlot = Shared->HeldSlot &&
                        Shared->HeldSlot->Number == slot.Number &&
                        Shared->HeldSlot->SlotCount == slot.SlotCount;
  Shared->HeldSlot = slot;
  if (sameSlot)
    return;
  for (const auto &leaf : *Leaves)
    updateShare(*leaf, now);
}

PinnedLeaves LeafPool::pin() const { return {Leaves, Shared}; }

std::optional<LeafIndex>
LeafPool::acquire(std::span<const LeafIndex> candidates, TimePoint now,
                  Rng &rng) {
  return pin().acquire(candidates, now, rng);
}

void LeafPool::release(LeafIndex leaf, const AttemptResult &result,
                       TimePoint now) {
  pin().release(leaf, result, now);
}

void LeafPool::onHealthReport(std::string_view leafName,
                              const LeafHealthReport &report, TimePoint now) {
  if (const auto leaf = find(leafName))
    leaf->Health.onHealthReport(report, now);
}

void LeafPool::onHostListState(std::string_view leafName, HostListState state,
                               TimePoint now) {
  if (const auto leaf = find(leafName))
    leaf->Health.onHostListState(state, now);
}

std::vector<LeafInfo> LeafPool::info(TimePoint now) const {
  const bool slotHeld = Shared->HeldSlot && now < Shared->HeldSlot->ValidUntil;
  std::vector<LeafInfo> infos;
  infos.reserve(Leaves->size());
  for (const auto &leaf : *Leaves)
    infos.push_back({leaf->Settings.Name, leaf->Health.condition(),
                     leaf->Outstanding, slotHeld ? leaf->Share.at(now) : 0,
                     leaf->Window.size(), leaf->Window.latency().expected(now),
                     leaf->Sheds, leaf->Refusals});
  return infos;
}

std::shared_ptr<PinnedLeaves::Leaf>
LeafPool::find(std::string_view leafName) const {
  const auto it =
      std::find_if(Leaves->begin(), Leaves->end(), [&](const auto &leaf) {
        return leaf->Settings.Name == leafName;
      });
  return it == Leaves->end() ? nullptr : *it;
}

void LeafPool::updateShare(Leaf &leaf, TimePoint now) const {
  if (!Shared->HeldSlot)
    return;
  const auto slot = Shared->HeldSlot->Number;
  const auto slots = Shared->HeldSlot->SlotCount;
  const ShareInputs inputs{slot, slots, leaf.Slots, leaf.Connections};
  if (leaf.Inputs == inputs)
    return;
  const auto share =
      connectionShare(leaf.Settings.Name, leaf.Connections, slot, slots);
  const double queue =
      std::max(1.0, Shared->Settings.QueuePerSlot * leaf.Slots);
  const double hosts = std::max(1U, std::min(slots, leaf.Connections));
  const LeafWindowLimits limits{static_cast<double>(leaf.Slots), queue,
                                (leaf.Slots + queue) / hosts,
                                static_cast<double>(share)};
  if (leaf.Inputs) {
    leaf.Share.set(share, Shared->Settings.ShareGrowthDelay, now);
    leaf.Window.setLimits(limits);
  } else {
    leaf.Share.init(share);
    leaf.Window = LeafWindow(limits);
  }
  leaf.Inputs = inputs;
}

} // namespace savorytrestle::core
