#ifndef SAVORYTRESTLE_HOSTS_HOST_SLOT_MANAGER_H
#define SAVORYTRESTLE_HOSTS_HOST_SLOT_MANAGER_H

/// @file
/// @brief Claims a numbered host slot in the key-value store and renews its
/// lease.

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

#include "hosts/SlotKeys.h"
#include "savorytrestle/core/Membership.h"
#include "store/EraRecord.h"
#include "support/Log.h"

namespace savorytrestle::hosts {

/// @brief Identity, times and clock of a host slot manager.
struct HostSlotOptions {
  /// Published to other hosts as the value of the slot's entry.
  core::HostInfo Self;
  /// Number of slots: the maximum number of hosts plus spare slots.
  std::uint32_t SlotCount = 10;
  core::SlotTiming Timing;
  /// Time-out of each call to the store.
  std::chrono::milliseconds CallTimeout{1000};
  /// Whether a peer recently reported that the store is down; may be empty.
  std::function<bool()> PeerReportedOutage;
  /// Monotonic clock; replaced in tests.
  std::function<core::TimePoint()> Now = [] {
    return std::chrono::steady_clock::now();
  };
  /// Wall clock; replaced in tests.
  std::function<core::WallTime()> WallClock = [] {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  };
  /// Seed of the random order of equally good slots and of the delays.
  std::uint64_t Seed = 1;
};

/// @brief Holds a slot by a lease, which it renews on its own thread.
///
/// A slot entitles this host to one share of every leaf. The manager has its
/// own client of the store. Any thread may call slot and setDraining.
template <store::KvStore Store> class HostSlotManager {
public:
  /// @brief Creates a manager that holds no slot; makes no call.
  /// @param store client that only this manager uses
  /// @param options identity, times and clock
  HostSlotManager(Store store, HostSlotOptions options)
      : Client(std::move(store)), Options(std::move(options)),
        Lease(Options.Timing), Chooser(Options.Timing), Random(Options.Seed) {}
  HostSlotManager(const HostSlotManager &) = delete;
  HostSlotManager &operator=(const HostSlotManager &) = delete;
  ~HostSlotManager() { stop(); }

  /// @brief Starts the thread that claims the slot and renews its lease.
  void start() {
    Worker = std::thread([this] { run(); });
  }

  /// @brief Stops and joins the thread, then releases the slot.
  void stop() {
    {
      const std::lock_guard guard(Lock);
      Stopping = true;
    }
    Wake.notify_all();
    if (Worker.joinable()) {
      Worker.join();
      release();
    }
  }

  /// @brief The slot that this host may use now.
  /// @return the slot; nothing before the first claim, after the lease has
  ///   ended, and after release
  std::optional<core::SlotNumber> slot() const {
    const std::lock_guard guard(Lock);
    return Lease.slot(Options.Now());
  }

  /// @brief Marks this host as draining; the worker thread rewrites the slot's
  /// entry at once.
  void setDraining() {
    {
      const std::lock_guard guard(Lock);
      Options.Self.Draining = true;
      EntryOutdated = true;
    }
    Wake.notify_all();
  }

  /// @brief Renews the lease if one is held, otherwise tries to claim a slot;
  /// the worker thread calls it in a loop.
  /// @return how long to wait before the next call
  std::chrono::milliseconds renewOrClaim() {
    if (HeldLease == store::NoLease)
      return claim();
    return renew();
  }

  /// @brief Releases the slot, so that another host may claim it at once.
  void release() {
    {
      const std::lock_guard guard(Lock);
      Lease.onEnded();
    }
    if (HeldLease == store::NoLease)
      return;
    // Marked as released before the lease ends; otherwise the slot would stay
    // unused for the lapse grace.
    const auto record = Client.get(recordKey(HeldSlot), Options.CallTimeout);
    if (record && *record)
      Client.compareAndSet(recordKey(HeldSlot),
                           serializeRecord({selfNonce(), true}),
                           (*record)->ModRevision, Options.CallTimeout);
    Client.endLease(HeldLease, Options.CallTimeout);
    support::LogLine("slot_released").with("slot", HeldSlot);
    HeldLease = store::NoLease;
  }

private:
  using Millis = std::chrono::milliseconds;

  void run() {
    std::unique_lock guard(Lock);
    while (!Stopping) {
      guard.unlock();
      const auto delay = renewOrClaim();
      guard.lock();
      Wake.wait_for(guard, delay, [this] { return Stopping || EntryOutdated; });
    }
  }

  std::string selfNonce() const { return Options.Self.Nonce; }

  std::string serializeSelf() {
    const std::lock_guard guard(Lock);
    EntryOutdated = false;
    HeldEntry = core::serializeHost(Options.Self);
    return HeldEntry;
  }

  Millis renew() {
    const auto sentAt = Options.Now();
    const bool entryOutdated = [this] {
      const std::lock_guard guard(Lock);
      return EntryOutdated;
    }();
    if (entryOutdated)
      Client.acquire(slotKey(HeldSlot), serializeSelf(), HeldLease,
                     Options.CallTimeout);
    auto renewed = Client.renewLease(HeldLease, Options.CallTimeout);
    // A lease of an earlier era may be gone, and its id another host's.
    if (renewed && *renewed && Client.era() != LeaseEra)
      renewed = confirmSlot();
    if (!renewed)
      return onStoreUnreachable();
    const std::lock_guard guard(Lock);
    if (*renewed) {
      Lease.onConfirmed(HeldSlot, sentAt);
      return Options.Timing.renewalInterval();
    }
    support::LogLine("slot_lapsed").with("slot", HeldSlot);
    Lease.onEnded();
    HeldLease = store::NoLease;
    return randomClaimDelay();
  }

  // A slot's entry that is in the older copy with this host's lease proves that
  // the lease is, too: the copy was taken after both.
  core::Result<bool> confirmSlot() {
    const auto item = Client.get(slotKey(HeldSlot), Options.CallTimeout);
    if (!item)
      return tl::unexpected(item.error());
    const bool held =
        *item && (*item)->Lease == HeldLease && (*item)->Value == HeldEntry;
    if (held)
      LeaseEra = Client.era();
    return held;
  }

  // After an outage many leases have lapsed at the same time. The random delay
  // spreads the claims over the time in which the store can process them.
  Millis randomClaimDelay() {
    constexpr std::uint64_t ClaimsPerSecond = 50;
    return Millis(Random() %
                  (1 + 1000ULL * Options.SlotCount / ClaimsPerSecond));
  }

  Millis onStoreUnreachable() {
    const bool peerReportedOutage =
        Options.PeerReportedOutage && Options.PeerReportedOutage();
    const std::lock_guard guard(Lock);
    const auto now = Options.Now();
    Lease.onStoreUnreachable(now);
    if (peerReportedOutage)
      Lease.onPeerReportedOutage(now);
    return Options.Timing.renewalInterval();
  }

  Millis claim() {
    const auto recorded =
        store::confirmEra(Client, Options.WallClock(), Options.CallTimeout);
    if (!recorded)
      return retryDelay();
    auto entries = Client.list(HostsPrefix, Options.CallTimeout);
    if (!entries)
      return retryDelay();
    const auto sentAt = Options.Now();
    const auto lease =
        Client.openLease(Options.Timing.LeaseTime, Options.CallTimeout);
    if (!lease)
      return retryDelay();
    const SlotTable table = parseSlots(*entries, Options.SlotCount);
    for (const auto number : candidates(table, sentAt, *recorded)) {
      if (!tryClaim(table.Records[number], number, *lease))
        continue;
      // In an era that began meanwhile another host may use the slot.
      if (Client.era() != recorded->StoreEra)
        break;
      HeldLease = *lease;
      LeaseEra = recorded->StoreEra;
      HeldSlot = number;
      const std::lock_guard guard(Lock);
      Lease.onConfirmed(number, sentAt);
      support::LogLine("slot_claimed").with("slot", number);
      return Options.Timing.renewalInterval();
    }
    Client.endLease(*lease, Options.CallTimeout);
    return retryDelay();
  }

  Millis retryDelay() { return randomClaimDelay() + Millis(500); }

  std::vector<core::SlotNumber> candidates(const SlotTable &table,
                                           core::TimePoint now,
                                           const store::RecordedEra &era) {
    constexpr std::size_t MaxClaimAttempts = 8;
    auto slotNumbers = Chooser.candidates(table.Slots, now, Random);
    // The store may have lost the claims of hosts that still use their slots.
    if (era.NoticedAt != core::WallTime() &&
        Options.WallClock() - era.NoticedAt < Options.Timing.LapseGrace)
      slotNumbers.clear();
    // A free slot last claimed by this process needs no grace: any connection
    // still open under that slot belongs to this process.
    for (const auto &slotUse : table.Slots)
      if (!slotUse.Held &&
          table.Records[slotUse.Number].Record.Nonce == selfNonce())
        slotNumbers.insert(slotNumbers.begin(), slotUse.Number);
    if (slotNumbers.size() > MaxClaimAttempts)
      slotNumbers.resize(MaxClaimAttempts);
    return slotNumbers;
  }

  // The record is written before the slot is acquired. If the host crashes in
  // between, the slot counts as lapsed rather than as released.
  bool tryClaim(const StoredRecord &storedRecord, core::SlotNumber number,
                store::LeaseId lease) {
    const std::string record = serializeRecord({selfNonce(), false});
    if (!tookEffect(Client.compareAndSet(recordKey(number), record,
                                         storedRecord.Revision,
                                         Options.CallTimeout),
                    recordKey(number), record, store::NoLease))
      return false;
    const std::string text = serializeSelf();
    return tookEffect(
        Client.acquire(slotKey(number), text, lease, Options.CallTimeout),
        slotKey(number), text, lease);
  }

  // If the outcome of a write is unknown, reads the item back to determine it.
  bool tookEffect(const core::Result<bool> &result, const std::string &key,
                  const std::string &value, store::LeaseId lease) {
    if (result)
      return *result;
    if (result.error().Code != core::ErrorCode::OutcomeUnknown)
      return false;
    const auto item = Client.get(key, Options.CallTimeout);
    return item && *item && (*item)->Value == value && (*item)->Lease == lease;
  }

  Store Client;
  HostSlotOptions Options;
  mutable std::mutex Lock;
  std::condition_variable Wake;
  std::thread Worker;
  bool Stopping = false;
  bool EntryOutdated = false;
  core::SlotLease Lease;
  // Used by the worker thread only.
  core::SlotChooser Chooser;
  core::Rng Random;
  /// Lease of the held slot; NoLease while no slot is held.
  store::LeaseId HeldLease = store::NoLease;
  /// Era in which it was granted.
  std::optional<store::Era> LeaseEra{};
  core::SlotNumber HeldSlot = 0;
  /// Value of the slot's entry that was written last.
  std::string HeldEntry;
};

} // namespace savorytrestle::hosts

#endif
