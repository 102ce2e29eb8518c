#ifndef SAVORYTRESTLE_BACKEND_WRITE_SESSION_H
#define SAVORYTRESTLE_BACKEND_WRITE_SESSION_H

/// @file
/// @brief One keyed write: claim, dispatch at most once, record the outcome.

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "savorytrestle/core/ClaimDocument.h"

namespace savorytrestle::backend {

/// @brief Called when a dispatch has ended, with the backend server's result or
/// with an error whose run state is NotRun only if that is proven.
using DispatchDone = std::function<void(core::Result<std::string>)>;

/// @brief Sends the write to a backend server, once, and calls its argument
/// exactly once.
template <typename D>
concept WriteDispatcher = std::invocable<D, DispatchDone>;

/// @brief The answer of a write with an idempotency key.
struct KeyedWriteAnswer {
  /// The backend server's result; empty when it was not kept.
  std::string Result;
  /// Whether the result was recorded by an earlier request with the same key.
  bool Replayed = false;
  /// False when the result was too long to keep.
  bool ResultKept = true;
};

/// @brief Runs one keyed write; its callbacks own it until it is answered.
///
/// Claims is an instantiation of store::ClaimStore.
template <typename Claims, WriteDispatcher Dispatcher>
class WriteSession
    : public std::enable_shared_from_this<WriteSession<Claims, Dispatcher>> {
public:
  using Done = std::function<void(core::Result<KeyedWriteAnswer>)>;

  /// @brief Starts a write.
  /// @param claims stores claims and outcomes; must outlive the session
  /// @param request from Claims::makeRequest
  /// @param deadline when the answer is due
  /// @param dispatch sends the write
  /// @param done called once with the answer; an error's run state states
  ///   only what is proven
  static void start(Claims &claims, core::ClaimRequest request,
                    core::TimePoint deadline, Dispatcher dispatch, Done done) {
    const std::shared_ptr<WriteSession> session(
        new WriteSession(claims, std::move(request), deadline,
                         std::move(dispatch), std::move(done)));
    claims.submit(session->Request, deadline,
                  [session](core::Result<core::ClaimResult> claimResult) {
                    session->onClaimResult(std::move(claimResult));
                  });
  }

private:
  WriteSession(Claims &claims, core::ClaimRequest request,
               core::TimePoint deadline, Dispatcher dispatch, Done done)
      : KeyClaims(claims), Request(std::move(request)), Deadline(deadline),
        Dispatch(std::move(dispatch)), OnDone(std::move(done)) {}

  void onClaimResult(core::Result<core::ClaimResult> claimResult) {
    if (!claimResult)
      return OnDone(tl::unexpected(claimResult.error()));
    if (claimResult->Decision == core::ClaimDecision::Granted)
      return Dispatch([self = this->shared_from_this()](auto outcome) {
        self->onDispatchResult(std::move(outcome));
      });
    OnDone(core::resultWithoutDispatch(Request, *claimResult)
               .map([](const core::WriteOutcome &outcome) {
                 return KeyedWriteAnswer{outcome.Body, true, outcome.BodyKept};
               }));
  }

  void onDispatchResult(core::Result<std::string> result) {
    if (!result && result.error().Run == core::RunState::NotRun) {
      KeyClaims.release(Request);
      return OnDone(tl::unexpected(result.error()));
    }
    core::WriteOutcome outcome;
    if (result) {
      outcome.Run = core::RunState::Ran;
      outcome.Body = *result;
    }
    // The answer is sent after the attempt to record it, so that a resend gets
    // the same one. It is correct whether or not it could be recorded.
    KeyClaims.record(Request, std::move(outcome), Deadline,
                     [self = this->shared_from_this(),
                      result = std::move(result)](const core::Result<void> &) {
                       self->OnDone(result.map([](const std::string &text) {
                         return KeyedWriteAnswer{text, false, true};
                       }));
                     });
  }

  Claims &KeyClaims;
  const core::ClaimRequest Request;
  const core::TimePoint Deadline;
  Dispatcher Dispatch;
  Done OnDone;
};

} // namespace savorytrestle::backend

#endif
