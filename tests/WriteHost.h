#ifndef SAVORYTRESTLE_TESTS_WRITE_HOST_H
#define SAVORYTRESTLE_TESTS_WRITE_HOST_H

/// @file
/// @brief A host's write path over the in-process store, and a backend server
/// that counts executions per key.

#include <future>
#include <map>
#include <mutex>

#include "FakeKvStore.h"
#include "backend/WriteSession.h"
#include "store/ClaimStore.h"

namespace savorytrestle::testing {

/// @brief Executions as the backend server sees them.
class WriteLedger {
public:
  enum Ends {
    Replied,   ///< executed, and the reply arrives
    ReplyLost, ///< executed, and the reply is lost
    Shed,      ///< refused without execution
  };

  core::Result<std::string> execute(std::uint64_t key,
                                    const std::string &host) {
    if (Ending == Shed)
      return core::makeError(core::ErrorCode::Overloaded, "shed");
    {
      const std::lock_guard guard(Lock);
      Runs[key].push_back(host);
    }
    if (BeforeReply)
      BeforeReply();
    if (Ending == ReplyLost)
      return tl::unexpected(core::Error{core::ErrorCode::OutcomeUnknown,
                                        "reply lost",
                                        core::RunState::Unknown,
                                        {}});
    return "filed by " + host;
  }

  std::size_t executions(std::uint64_t key) {
    const std::lock_guard guard(Lock);
    return Runs[key].size();
  }
  std::string ranBy(std::uint64_t key) {
    const std::lock_guard guard(Lock);
    return Runs[key].empty() ? "" : Runs[key].front();
  }
  std::size_t executedKeys() const { return Runs.size(); }
  std::size_t doubledKeys() const {
    return static_cast<std::size_t>(
        std::count_if(Runs.begin(), Runs.end(),
                      [](const auto &it) { return it.second.size() > 1; }));
  }

  std::atomic<Ends> Ending{Replied};
  std::function<void()> BeforeReply;

private:
  std::mutex Lock;
  std::map<std::uint64_t, std::vector<std::string>> Runs;
};

/// @brief Calls a function once, before or after the next compare-and-swap.
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

/// @brief One host's write path.
class WriteHost {
public:
  using Claimer = store::ClaimStore<HookedStore>;
  using Answer = core::Result<backend::KeyedWriteAnswer>;

  WriteHost(const standins::FakeKvStore &store, std::string id,
            WriteLedger &ledger,
            store::ClaimStoreOptions options = fastOptions())
      : Id(std::move(id)), Ledger(ledger) {
    options.Wall = [this] { return Noon + Ahead.load(); };
    Claims = std::make_unique<Claimer>(HookedStore(store, Hooks), Id,
                                       std::move(options));
  }

  static store::ClaimStoreOptions fastOptions() {
    store::ClaimStoreOptions options;
    options.WritesPerSecond = 5000;
    options.RetryPause = std::chrono::milliseconds(5);
    return options;
  }

  /// @brief The key of that number, the same on every host.
  core::WriteKey key(std::uint64_t number) const {
    return core::parseWriteKey("meldestelle", core::makeUuidV7(Noon, 0, number))
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
      done(Ledger.execute(id, Id));
    };
    backend::WriteSession<Claimer, decltype(dispatch)>::start(
        *Claims, std::move(request),
        std::chrono::steady_clock::now() + Deadline, dispatch,
        [answer](Answer got) { answer->set_value(std::move(got)); });
    return answer->get_future();
  }

  /// @brief Resends with rising numbers until there is a result.
  /// @return whether there was one
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
  void advanceWall(std::chrono::milliseconds by) { Ahead = by; }

  static constexpr core::WallTime Noon{std::chrono::hours(500000)};
  std::chrono::milliseconds Deadline{20000};

private:
  const std::string Id;
  WriteLedger &Ledger;
  std::shared_ptr<SwapHooks> Hooks = std::make_shared<SwapHooks>();
  std::atomic<std::chrono::milliseconds> Ahead{std::chrono::milliseconds(0)};

public:
  // Last, so that its thread ends before what the thread uses.
  std::unique_ptr<Claimer> Claims;
};

} // namespace savorytrestle::testing

#endif
