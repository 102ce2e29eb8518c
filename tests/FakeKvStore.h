#ifndef SAVORYTRESTLE_TESTS_FAKE_KV_STORE_H
#define SAVORYTRESTLE_TESTS_FAKE_KV_STORE_H

/// @file
/// @brief In-process key-value store with fault injection, for unit tests.

#include <atomic>
#include <memory>

#include "KvState.h"

namespace savorytrestle::standins {

/// @brief Faults to inject, and counts of calls.
struct KvFaults {
  /// Every call fails and has no effect.
  std::atomic<bool> Outage{false};
  /// Number of next writes that take effect but whose reply is lost.
  std::atomic<int> LoseWriteReplies{0};
  /// Number of next writes that are lost before they take effect; the caller
  /// gets the same error as for a lost reply.
  std::atomic<int> LoseWrites{0};
  std::atomic<int> Reads{0};
  std::atomic<int> Writes{0};
};

/// @brief Client of an in-process store; copies share its items and faults.
class FakeKvStore {
public:
  using Millis = std::chrono::milliseconds;
  template <typename T> using Result = core::Result<T>;

  Result<std::optional<store::StoredItem>> get(const std::string &key, Millis) {
    if (!tryRead())
      return down();
    return State->get(key);
  }
  Result<std::vector<store::StoredItem>> list(const std::string &prefix,
                                              Millis) {
    if (!tryRead())
      return down();
    return State->list(prefix);
  }
  Result<bool> compareAndSet(const std::string &key, const std::string &value,
                             store::Revision revision, Millis) {
    return write(
        [&] { return State->compareAndSet(key, value, revision, Guard); });
  }
  void guardWrites(std::optional<store::StoreTransaction::Expected> guard) {
    Guard = std::move(guard);
  }
  std::optional<store::Era> era() const { return SeenEra; }
  Result<bool> compareAndDelete(const std::string &key,
                                store::Revision revision, Millis) {
    return write([&] { return State->compareAndDelete(key, revision); });
  }
  Result<store::StorePage> watch(const std::string &prefix,
                                 store::Revision after, Millis wait) {
    if (!tryRead())
      return down();
    return State->watch(prefix, after, wait);
  }
  Result<store::LeaseId> openLease(Millis timeToLive, Millis) {
    if (!tryRead())
      return down();
    return State->openLease(timeToLive);
  }
  Result<bool> renewLease(store::LeaseId lease, Millis) {
    return write([&] { return State->renewLease(lease); });
  }
  Result<bool> endLease(store::LeaseId lease, Millis) {
    return write([&] {
      State->endLease(lease);
      return true;
    });
  }
  Result<bool> acquire(const std::string &key, const std::string &value,
                       store::LeaseId lease, Millis) {
    return write([&] { return State->acquire(key, value, lease); });
  }

  std::shared_ptr<KvState> State = std::make_shared<KvState>();
  std::shared_ptr<KvFaults> Faults = std::make_shared<KvFaults>();

private:
  std::optional<store::StoreTransaction::Expected> Guard;
  std::optional<store::Era> SeenEra;

  static tl::unexpected<core::Error> down() {
    return core::makeError(core::ErrorCode::StoreUnavailable, "outage");
  }
  static tl::unexpected<core::Error> lost() {
    return core::makeError(core::ErrorCode::OutcomeUnknown, "reply lost");
  }
  static bool consume(std::atomic<int> &count) {
    if (count.load() <= 0)
      return false;
    --count;
    return true;
  }
  bool tryRead() {
    ++Faults->Reads;
    if (!Faults->Outage)
      SeenEra = State->era();
    return !Faults->Outage;
  }
  template <typename F> Result<bool> write(F effect) {
    ++Faults->Writes;
    if (Faults->Outage)
      return down();
    if (consume(Faults->LoseWrites))
      return lost();
    const bool done = effect();
    SeenEra = State->era();
    if (consume(Faults->LoseWriteReplies))
      return lost();
    return done;
  }
};

static_assert(store::KvStore<FakeKvStore>);

} // namespace savorytrestle::standins

#endif
