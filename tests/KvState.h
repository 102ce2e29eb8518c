#ifndef SAVORYTRESTLE_TESTS_KV_STATE_H
#define SAVORYTRESTLE_TESTS_KV_STATE_H

/// @file
/// @brief Items and leases of the in-process store.

#include <condition_variable>
#include <map>
#include <mutex>

#include "savorytrestle/core/Time.h"
#include "store/KvStore.h"

namespace savorytrestle::standins {

/// @brief Items and leases behind one lock.
class KvState {
public:
  using Entry = store::StoredItem;

  std::optional<Entry> get(const std::string &key) {
    const std::lock_guard guard(Lock);
    expireLeases();
    const auto it = Entries.find(key);
    return it == Entries.end() ? std::nullopt : std::optional(it->second);
  }

  std::vector<Entry> list(const std::string &prefix) {
    const std::lock_guard guard(Lock);
    expireLeases();
    return itemsUnder(prefix);
  }

  using Expected = store::StoreTransaction::Expected;

  /// @param alsoExpected another item that must be at a revision
  bool compareAndSet(const std::string &key, const std::string &value,
                     store::Revision revision,
                     const std::optional<Expected> &alsoExpected = {}) {
    const std::lock_guard guard(Lock);
    expireLeases();
    if (revisionOf(key) != revision ||
        (alsoExpected &&
         revisionOf(alsoExpected->Key) != alsoExpected->ModRevision))
      return false;
    put({key, value, 0, store::NoLease, false});
    return true;
  }

  bool compareAndDelete(const std::string &key, store::Revision revision) {
    const std::lock_guard guard(Lock);
    const auto it = Entries.find(key);
    if (it == Entries.end() || it->second.ModRevision != revision)
      return false;
    Entries.erase(it);
    advanceRevision();
    return true;
  }

  store::StorePage watch(const std::string &prefix, store::Revision after,
                         std::chrono::milliseconds wait) {
    std::unique_lock guard(Lock);
    const auto until = std::chrono::steady_clock::now() + wait;
    expireLeases();
    while (after != 0 && lastChange(prefix) <= after) {
      // Leases expire without a notification, so they are checked every 50 ms.
      const auto nextCheck = std::min(until, std::chrono::steady_clock::now() +
                                                 std::chrono::milliseconds(50));
      RevisionAdvanced.wait_until(guard, nextCheck);
      expireLeases();
      if (std::chrono::steady_clock::now() >= until)
        break;
    }
    return {itemsUnder(prefix), std::max(LatestRevision, store::Revision(1)),
            false};
  }

  store::LeaseId openLease(std::chrono::milliseconds timeToLive) {
    const std::lock_guard guard(Lock);
    const store::LeaseId id = ++LastLease;
    Leases[id] = {timeToLive, std::chrono::steady_clock::now() + timeToLive};
    return id;
  }

  bool renewLease(store::LeaseId id) {
    const std::lock_guard guard(Lock);
    expireLeases();
    const auto it = Leases.find(id);
    if (it == Leases.end())
      return false;
    it->second.ExpiresAt =
        std::chrono::steady_clock::now() + it->second.TimeToLive;
    return true;
  }

  void endLease(store::LeaseId id) {
    const std::lock_guard guard(Lock);
    removeLease(id);
  }

  bool acquire(const std::string &key, const std::string &value,
               store::LeaseId id) {
    const std::lock_guard guard(Lock);
    expireLeases();
    if (Leases.count(id) == 0)
      return false;
    const auto it = Entries.find(key);
    if (it != Entries.end() && it->second.Lease != store::NoLease &&
        it->second.Lease != id)
      return false;
    put({key, value, 0, id, false});
    return true;
  }

  store::Era era() {
    const std::lock_guard guard(Lock);
    return CurrentEra;
  }

  /// Takes the copy from which @ref restoreCopy brings the store back.
  void takeCopy() {
    const std::lock_guard guard(Lock);
    Copy = Entries;
    CopyLeases = Leases;
    CopyLastLease = LastLease;
    CopyRevision = LatestRevision;
  }

  /// Comes back from the copy: what was written since is gone, leases too, and
  /// their ids are given out again.
  void restoreCopy() {
    const std::lock_guard guard(Lock);
    Entries = Copy;
    Leases = CopyLeases;
    LastLease = CopyLastLease;
    LatestRevision = CopyRevision;
    ++CurrentEra;
    RevisionAdvanced.notify_all();
  }

private:
  store::Revision revisionOf(const std::string &key) const {
    const auto it = Entries.find(key);
    return it == Entries.end() ? store::NoItem : it->second.ModRevision;
  }

  struct Lease {
    std::chrono::milliseconds TimeToLive;
    core::TimePoint ExpiresAt;
  };

  void advanceRevision() {
    ++LatestRevision;
    RevisionAdvanced.notify_all();
  }

  void put(Entry entry) {
    entry.ModRevision = LatestRevision + 1;
    Entries[entry.Key] = std::move(entry);
    advanceRevision();
  }

  void removeLease(store::LeaseId id) {
    Leases.erase(id);
    const auto gone = std::erase_if(
        Entries, [&](const auto &item) { return item.second.Lease == id; });
    if (gone > 0)
      advanceRevision();
  }

  void expireLeases() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<store::LeaseId> ended;
    for (const auto &[id, lease] : Leases)
      if (lease.ExpiresAt <= now)
        ended.push_back(id);
    for (const auto &id : ended)
      removeLease(id);
  }

  std::vector<Entry> itemsUnder(const std::string &prefix) const {
    std::vector<Entry> found;
    for (auto it = Entries.lower_bound(prefix);
         it != Entries.end() && it->first.rfind(prefix, 0) == 0; ++it)
      found.push_back(it->second);
    return found;
  }

  // Deleted items aren't kept, so any change ends the watches of all prefixes.
  store::Revision lastChange(const std::string & /*prefix*/) const {
    return LatestRevision;
  }

  std::mutex Lock;
  std::condition_variable RevisionAdvanced;
  std::map<std::string, Entry> Entries;
  std::map<store::LeaseId, Lease> Leases;
  store::Revision LatestRevision = 1;
  std::map<std::string, Entry> Copy;
  std::map<store::LeaseId, Lease> CopyLeases;
  store::LeaseId CopyLastLease = store::NoLease;
  store::Revision CopyRevision = 1;
  store::Era CurrentEra = 1;
  store::LeaseId LastLease = store::NoLease;
};

} // namespace savorytrestle::standins

#endif
