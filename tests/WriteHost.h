#ifndef SAVORYTRESTLE_TESTS_WRITE_HOST_H
#define SAVORYTRESTLE_TESTS_WRITE_HOST_H

/// @file
/// @brief Write path of a host over the in-process store, and a backend server
/// that counts executions per key.

#include <future>
#include <map>
#include <mutex>

#include "FakeKvStore.h"
#include "backend/WriteSession.h"
#include "store/ClaimStore.h"

namespace savorytrestle::testing {

/// @brief Backend server that executes writes and counts them per key.
class FakeWriteLeaf {
public:
  enum ReplyMode {
    Replied,   ///< executed, and the reply arrives
    ReplyLost, ///< executed, and the reply is lost
    Shed,      ///< refused without execution
  };

  core::Result<std::string> execute(std::uint64_t key,
                                    const std::string &host) {
    if (Mode == Shed)
      return core::makeError(core::ErrorCode::Overloaded, "shed");
    {
      const std::lock_guard guard(Lock);
      ExecutionsByKey[key].push_back(host);
    }
    if (BeforeReply)
      BeforeReply();
    if (Mode == ReplyLost)
      return tl::unexpected(core::Error{core::ErrorCode::OutcomeUnknown,
                                        "reply lost",
                                        core::RunState::Unknown,
                                        {}});
    return "filed by " + host;
  }

  std::size_t executions(std::uint64_t key) {
    const std::lock_guard guard(Lock);
    return ExecutionsByKey[key].size();
  }
  std::string firstExecutor(std::uint64_t key) {
    const std::lock_guard guard(Lock);
    return ExecutionsByKey[key].empty() ? "" : ExecutionsByKey[key].front();
  }
  std::size_t executedKeys() const { return ExecutionsByKey.size(); }
  std::size_t repeatedKeys() const {
    return static_cast<std::size_t>(
        std::count_if(ExecutionsByKey.begin(), ExecutionsByKey.end(),
                      [](const auto &it) { return it.second.size() > 1; }));
  }

  std::atomic<ReplyMode> Mode{Replied};
  std::function<void()> BeforeReply;

private:
  std::mutex Lock;
  std::map<std::uint64_t, std::vector<std::string>> ExecutionsByKey;
};

/// @brief Functions that are called once, before or after the next
/// compare-and-swap.
struct SwapHooks {
  std::mutex Lock;
  std::function<void()> Before;
  std::function<void()> After;

  void run(std::function<void()> SwapHooks::*hook) {
    std::unique_lock guard(Lock);
    const auto call = std::exchange(this->*hook, nullptr);
    guard.unlock();
    if (call)
      call();
  }
};

/// @brief The in-process store with hooks around its compare-and-swap.
struct HookedStore : standins::FakeKvStore {
  HookedStore(const standins::FakeKvStore &store,
              std::shared_ptr<SwapHooks> hooks)
      : standins::FakeKvStore(store), Hooks(std::move(hooks)) {}

  core::Result<bool> compareAndSet(const std::string &key,
                                   const std::string &value,
                                   store::Revision revision,
                                   std::chrono::milliseconds timeout) {
    Hooks->run(&SwapHooks::Before);
    auto result = FakeKvStore::compareAndSet(key, value, revision, timeout);
    Hooks->run(&SwapHooks::After);
    return result;
  }

  std::shared_ptr<SwapHooks> Hooks;
};

/// @brief Write path of one host.
class WriteHost {
public:
  using HookedClaimStore = store::ClaimStore<HookedStore>;
  using Answer = core::Result<backend::KeyedWriteAnswer>;

  WriteHost(const standins::FakeKvStore &store, std::string id,
            FakeWriteLeaf &leaf,
            store::ClaimStoreOptions options = fastOptions())
      : Id(std::move(id)), Leaf(leaf) {
    options.WallClock = [this] { return StartTime + WallClockOffset.load(); };
    Claims = std::make_unique<HookedClaimStore>(HookedStore(store, Hooks), Id,
                                                std::move(options));
  }

  static store::ClaimStoreOptions fastOptions() {
    store::ClaimStoreOptions options;
    options.WritesPerSecond = 5000;
    options.RetryPause = std::chrono::milliseconds(5);
    return options;
  }

  /// @brief Makes the key with a number; it is the same on every host.
  core::WriteKey key(std::uint64_t number) const {
    return core::parseWriteKey("meldestelle",
                               core::makeUuidV7(StartTime, 0, number))
        .value();
  }

  /// @brief Sends a write.
  std::future<Answer> send(const core::WriteKey &key,
                           core::SendNumber number = core::UnknownSend) {
    auto answer = std::make_shared<std::promise<Answer>>();
    auto request =
        Claims->makeRequest(key, core::requestDigest("file", "{}"), number);
    const auto id = std::stoull(key.Uuid.substr(24), nullptr, 16);
    auto dispatch = [this, id](const backend::DispatchDone &done) {
      done(Leaf.execute(id, Id));
    };
    backend::WriteSession<HookedClaimStore, decltype(dispatch)>::start(
        *Claims, std::move(request),
        std::chrono::steady_clock::now() + Deadline, dispatch,
        [answer](Answer got) { answer->set_value(std::move(got)); });
    return answer->get_future();
  }

  /// @brief Sends a write again, with increasing send numbers, until there is a
  /// result.
  /// @param number number of the key
  /// @param from first send number
  /// @return whether there was a result
  bool sendUntilAnswered(std::uint64_t number, core::SendNumber from) {
    constexpr core::SendNumber Tries = 400;
    for (auto i = from; i < from + Tries; ++i) {
      if (send(key(number), i).get())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  void beforeNextSwap(std::function<void()> call) {
    const std::lock_guard guard(Hooks->Lock);
    Hooks->Before = std::move(call);
  }
  void afterNextSwap(std::function<void()> call) {
    const std::lock_guard guard(Hooks->Lock);
    Hooks->After = std::move(call);
  }
  void advanceWallClock(std::chrono::milliseconds by) { WallClockOffset = by; }

  static constexpr core::WallTime StartTime{std::chrono::hours(500000)};
  std::chrono::milliseconds Deadline{20000};

private:
  const std::string Id;
  FakeWriteLeaf &Leaf;
  std::shared_ptr<SwapHooks> Hooks = std::make_shared<SwapHooks>();
  std::atomic<std::chrono::milliseconds> WallClockOffset{
      std::chrono::milliseconds(0)};

public:
  // Declared last, so that its thread ends before the members that it uses are
  // destroyed.
  std::unique_ptr<HookedClaimStore> Claims;
};

} // namespace savorytrestle::testing

#endif
