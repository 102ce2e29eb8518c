#ifndef SAVORYTRESTLE_BACKEND_SEARCH_SESSION_H
#define SAVORYTRESTLE_BACKEND_SEARCH_SESSION_H

/// @file
/// @brief Carries out the actions of a search policy on the fan-out loop.

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "backend/FanOutLoop.h"
#include "backend/LeafProtocol.h"
#include "savorytrestle/core/RouteSettings.h"

namespace savorytrestle::backend {

/// @brief The search that a session runs.
struct SearchContext {
  std::string RequestId;
  /// The caller's query as JSON text.
  std::string Query;
  std::shared_ptr<const core::ServiceSettings> Service;
  /// Returns the most connections that this host may have to a leaf now.
  std::function<std::uint32_t(core::LeafIndex)> ConnectionLimit;
};

/// @brief End of an attempt, as passed to the observer on the loop's thread.
struct AttemptEvent {
  core::LeafIndex Leaf = 0;
  /// Not set when the leaf answered.
  std::optional<core::AttemptFailure> Failure;
  core::Duration Latency{};
};

/// @brief One running search, owned by the callbacks of its calls and timers.
/// Loop thread only.
template <core::SearchPolicy P>
class SearchSession : public std::enable_shared_from_this<SearchSession<P>> {
public:
  using Done = std::function<void(core::SearchAnswer)>;
  using AttemptObserver = std::function<void(const AttemptEvent &)>;

  /// @brief Creates a session; call @ref start next.
  /// @param policy decides what is sent
  /// @param context the search
  /// @param loop runs the calls; must outlive the session
  /// @param onAttemptEnd called at the end of each attempt
  /// @param done called once with the answer
  SearchSession(P policy, SearchContext context, FanOutLoop &loop,
                AttemptObserver onAttemptEnd, Done done)
      : Policy(std::move(policy)), Context(std::move(context)), Loop(loop),
        OnAttemptEnd(std::move(onAttemptEnd)), OnDone(std::move(done)) {}

  /// @brief Sends the first attempts.
  void start() {
    const auto now = std::chrono::steady_clock::now();
    apply(Policy.start(now, Loop.rng()), now);
  }

private:
  struct Attempt {
    core::LeafIndex Leaf = 0;
    CallId Call = 0;
  };

  void apply(std::vector<core::SearchAction> actions, core::TimePoint now) {
    const auto isFinish = [](const core::SearchAction &action) {
      return std::holds_alternative<core::FinishSearch>(action);
    };
    // The answer goes before the cancels of what it does not need: searches
    // that start together are due together, and each cancel is a call.
    std::stable_partition(actions.begin(), actions.end(), isFinish);
    for (auto &action : actions)
      std::visit([&](auto &item) { execute(item, now); }, action);
    if (!Finished)
      armTimer();
  }

  void execute(const core::SendAttempt &attempt, core::TimePoint now) {
    SearchMessage message;
    message.RequestId = Context.RequestId;
    message.Attempt = attempt.Id;
    message.Version = attempt.Version;
    message.Shard = attempt.Shard;
    message.Query = Context.Query;
    message.Deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
        attempt.Deadline - now);
    LeafCall call;
    call.Url = leafUrl(attempt.Leaf, "/v1/search");
    call.Body = encode(message);
    call.Deadline = attempt.Deadline;
    call.MaxConnections = Context.ConnectionLimit(attempt.Leaf);
    auto self = this->shared_from_this();
    const auto id = attempt.Id;
    const CallId callId = Loop.transport().send(
        std::move(call), now, [self, id](LeafCallResult result) {
          self->onResult(id, std::move(result));
        });
    Attempts[id] = {attempt.Leaf, callId};
  }

  // A call that has started is not aborted: the leaf answers it as soon as it
  // has processed the cancel, and the connection, which is expensive to open,
  // can be reused.
  void execute(const core::CancelAttempt &cancel, core::TimePoint now) {
    const auto it = Attempts.find(cancel.Id);
    if (it == Attempts.end())
      return;
    if (Loop.transport().dropWaitingCall(it->second.Call)) {
      Attempts.erase(it);
      return;
    }
    const core::LeafIndex leaf = it->second.Leaf;
    Attempts.erase(it);
    if (!Finished)
      return sendCancel(leaf, cancel.Id, now);
    // Runs after the timers that are due now, and so after the answers of the
    // other searches.
    Loop.scheduleAt(std::chrono::steady_clock::now(),
                    [self = this->shared_from_this(), leaf, id = cancel.Id] {
                      self->sendCancel(leaf, id,
                                       std::chrono::steady_clock::now());
                    });
  }

  void sendCancel(core::LeafIndex leaf, core::AttemptId id,
                  core::TimePoint now) {
    LeafCall call;
    call.Url = leafUrl(leaf, "/v1/cancel");
    call.Body = encodeCancel(Context.RequestId, id);
    call.Deadline = now + CancelTimeout;
    call.IsControl = true;
    call.MaxConnections = Context.ConnectionLimit(leaf);
    Loop.transport().send(std::move(call), now, [](const LeafCallResult &) {});
  }

  void execute(const core::FinishSearch & /*finish*/, core::TimePoint /*now*/) {
    if (Finished)
      return;
    Finished = true;
    OnDone(Policy.takeAnswer());
  }

  void onResult(core::AttemptId id, LeafCallResult result) {
    const auto it = Attempts.find(id);
    if (it == Attempts.end())
      return; // The attempt was cancelled; its result is not needed.
    const core::LeafIndex leaf = it->second.Leaf;
    Attempts.erase(it);
    const auto now = std::chrono::steady_clock::now();
    SearchOutcome outcome =
        result.Failure
            ? SearchOutcome(tl::unexpected(toAttemptFailure(*result.Failure)))
            : decodeSearch(result.Status, result.Body, Context.RequestId);
    AttemptEvent event{leaf, {}, result.Latency};
    if (!outcome)
      event.Failure = outcome.error();
    OnAttemptEnd(event);
    if (Finished)
      return;
    // A reply with the id of another attempt is reported as a malformed reply
    // to the attempt that this call sent.
    if (outcome && outcome->Id == id)
      apply(Policy.onReply(std::move(*outcome), now, Loop.rng()), now);
    else
      apply(Policy.onFailure(
                id, outcome ? core::AttemptFailure::Malformed : outcome.error(),
                now, Loop.rng()),
            now);
  }

  void armTimer() {
    const auto when = Policy.nextTimer();
    if (!when || (ArmedTimer && *ArmedTimer <= *when))
      return;
    ArmedTimer = when;
    // The timer holds a strong reference: while no call runs, it is the only
    // owner of a search that has not been answered yet.
    auto self = this->shared_from_this();
    Loop.scheduleAt(*when, [self, when] { self->onTimer(*when); });
  }

  void onTimer(core::TimePoint when) {
    if (ArmedTimer == when)
      ArmedTimer.reset();
    if (Finished)
      return;
    const auto now = std::chrono::steady_clock::now();
    apply(Policy.onTimer(now, Loop.rng()), now);
  }

  std::string leafUrl(core::LeafIndex leaf, const char *path) const {
    return "http://" + Context.Service->Leaves[leaf].Address + path;
  }

  static constexpr std::chrono::milliseconds CancelTimeout{1000};

  P Policy;
  const SearchContext Context;
  FanOutLoop &Loop;
  AttemptObserver OnAttemptEnd;
  Done OnDone;
  std::unordered_map<core::AttemptId, Attempt> Attempts;
  std::optional<core::TimePoint> ArmedTimer;
  bool Finished = false;
};

} // namespace savorytrestle::backend

#endif
