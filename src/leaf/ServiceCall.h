#ifndef SAVORYTRESTLE_LEAF_SERVICE_CALL_H
#define SAVORYTRESTLE_LEAF_SERVICE_CALL_H

/// @file
/// @brief One request at one service: attempts on its leaves until one answers
/// or nothing more may be tried.

#include <utility>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/Fingerprint.h"
#include "savorytrestle/core/HedgePolicy.h"
#include "support/HeaderNames.h"

namespace savorytrestle::leaf {

/// @brief What all attempts of one caller's request have in common.
struct CallContext {
  LeafDirectory &Leaves;
  const support::HeaderNames &Names;
  /// Keeps the route alive.
  std::shared_ptr<const core::ServingConfig> Config;
  const core::RouteRule &Route;
  /// Keeps a route alive that isn't the configuration's own.
  std::shared_ptr<const core::RouteRule> DerivedRoute;
  /// The request as it goes to a leaf, without the fields of one attempt.
  LeafRequest Request;
  std::string RequestId;
  /// Identity of its content.
  core::Fingerprint Fingerprint;
  /// Header that a genuine success bears.
  std::string SignatureHeader;
  core::TimePoint Start;
  /// When the caller or the route's timeout gives the request up.
  core::TimePoint Deadline;
};

/// @brief How a request at one service ended.
enum class CallEnd {
  Answered,       ///< a leaf answered, with success or not
  Rejected,       ///< leaves said that they did not run it
  Unreachable,    ///< it was sent to no leaf
  OutcomeUnknown, ///< a leaf may have run it, and no answer came
};

/// @brief One request at one service.
class ServiceCall : public std::enable_shared_from_this<ServiceCall> {
public:
  using EndHandler = std::function<void(ServiceCall &)>;

  /// @brief Makes a call that hasn't begun.
  /// @param context what the request's calls have in common
  /// @param service where it goes
  /// @param onEnd called once at its end, never within @ref start
  ServiceCall(std::shared_ptr<const CallContext> context, Service &service,
              EndHandler onEnd);

  /// @brief Sends the first attempt.
  /// @return false when no leaf takes it; the call has then ended
  bool start();

  /// @brief Does what is due: hedges, and gives up connecting.
  /// @param now the time
  void runDueActions(core::TimePoint now);

  /// @brief When @ref runDueActions is wanted next; the far future for never.
  core::TimePoint nextDueTime() const;

  /// @brief Breaks off all attempts; the handler is no longer called.
  void cancel();

  /// @brief Whether the call has ended.
  bool ended() const { return End.has_value(); }

  /// @brief How it ended; only when it has.
  CallEnd end() const { return *End; }

  /// @brief Whether it has ended with a leaf's success.
  bool succeeded() const {
    return End == CallEnd::Answered && isSuccess(Answer);
  }

  /// @brief The leaf's answer; only when it has answered.
  const LeafAnswer &answer() const { return Answer; }

  /// @brief Whether a leaf may be executing it, or has executed it.
  bool mayHaveRun() const { return MayHaveRun; }

  /// @brief Whether a leaf's connection broke while it had the request.
  bool connectionBroke() const { return ConnectionBroke; }

  /// @brief Leaf that answered last, and attempts sent, for logs.
  const std::string &leafId() const { return LeafId; }
  int attempts() const { return AttemptCount; }
  const std::string &reason() const { return Reason; }
  const std::string &serviceName() const { return TargetService.Name; }

private:
  struct Attempt {
    std::shared_ptr<Leaf> Target;
    std::shared_ptr<LeafConnection> Connection;
    std::uint64_t ScoreHandle = 0;
    core::TimePoint SentAt;
    bool Ended = false;
  };

  /// Why an attempt is made.
  enum class Cause {
    First,   ///< the first attempt
    Replace, ///< the one before reached no leaf
    Resend,  ///< the one before failed
    Hedge,   ///< the one before is late
  };

  bool startAttempt(Cause cause, core::TimePoint now);
  LeafRequest requestFor(const Leaf &to, core::TimePoint now) const;
  void onReply(std::size_t index, LeafReply reply);
  void onAnswer(Attempt &attempt, LeafReply reply, core::TimePoint now);
  bool isValidAnswer(const LeafAnswer &answer) const;
  void recordLoad(Leaf &from, const LeafAnswer &answer, core::TimePoint now);
  /// Sends it once more for the cause given, or ends the call.
  void retryOrFinish(CallEnd fallback, std::optional<Cause> cause,
                     core::TimePoint now);
  /// Cause of an attempt after one that a leaf may have executed.
  std::optional<Cause> resendCause() const;
  void finish(CallEnd end);
  void abandon(Attempt &attempt);
  bool anyPending() const;
  core::ExpectedLatency &latencyEstimate();

  std::shared_ptr<const CallContext> Context;
  Service &TargetService;
  EndHandler OnEnd;
  core::HedgePlan Plan;
  std::vector<Attempt> Attempts;
  std::vector<std::shared_ptr<Leaf>> Tried;
  std::optional<CallEnd> End;
  LeafAnswer Answer;
  std::string LeafId;
  std::string Reason;
  int AttemptCount = 0;
  /// Attempts that a leaf may have executed.
  int PossibleExecutions = 0;
  bool Hedged = false;
  bool MayHaveRun = false;
  bool ConnectionBroke = false;
};

} // namespace savorytrestle::leaf

#endif
