#ifndef SAVORYTRESTLE_LEAF_SERVICE_CALL_H
#define SAVORYTRESTLE_LEAF_SERVICE_CALL_H

/// @file
/// @brief One call to a service: attempts on its leaves until one answers or no
/// further attempt is allowed.

#include <utility>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "leaf/LeafDirectory.h"
#include "leaf/LeafEndings.h"
#include "leaf/RelayHeaders.h"
#include "savorytrestle/core/Fingerprint.h"
#include "savorytrestle/core/HedgePolicy.h"
#include "savorytrestle/core/placement/HomeRegions.h"
#include "support/HeaderNames.h"

namespace savorytrestle::leaf {

/// @brief Data that all attempts of one caller's request share.
struct CallContext {
  LeafDirectory &Leaves;
  const support::HeaderNames &Names;
  /// Owns the route, unless it is a derived one.
  std::shared_ptr<const core::ServingConfig> Config;
  const core::RouteRule &Route;
  /// Owns a route that was derived from one of the configuration, else null.
  std::shared_ptr<const core::RouteRule> DerivedRoute;
  /// The request as it is sent to leaves, without the headers of one attempt.
  LeafRequest Request;
  std::string RequestId;
  /// Fingerprint of the request's content.
  core::Fingerprint Fingerprint;
  /// Header that each valid successful answer has.
  std::string SignatureHeader;
  core::TimePoint Start;
  /// Deadline of the caller or end of the route's timeout, whichever is
  /// earlier.
  core::TimePoint Deadline;
  /// Whether the request came from another host.
  bool FromHost = false;
  /// Whether the call goes to another host, which sends it to leaves.
  bool ToHost = false;
  /// Uniform random number in [0, 1) against which first attempts are sent to
  /// leaves with a rate limit. All shards of a request share it: a part of them
  /// is of no use.
  double Draw = 0;
  /// Workspace of the caller, in Config; null if there is none.
  const core::WorkspaceRule *Workspace = nullptr;
  /// Regions in which the request may be served.
  core::HomeRegions Homes{};
};

/// @brief A connection to a leaf that broke while it carried a request.
struct LeafBreak {
  std::shared_ptr<const SuspectedLeaf> Leaf;
  /// Connections that had broken in the same call when the request was sent.
  std::uint32_t EarlierBreaks = 0;
};

/// @brief A leaf that may still run a request whose connection this host has
/// closed: its caller has left, its deadline has passed, or another leaf has
/// answered.
struct AbandonedRun {
  std::shared_ptr<Leaf> Target;
  std::shared_ptr<const SuspectedLeaf> Ending;
  /// Connections that had broken in the same call when the request was sent.
  std::uint32_t EarlierBreaks = 0;
};

/// @brief How a call to a service ended.
enum class CallEnd {
  Answered,       ///< a leaf answered, with any status
  Rejected,       ///< leaves answered that they did not execute it
  Unreachable,    ///< it could not be sent to any leaf
  OutcomeUnknown, ///< a leaf may have executed it without an answer
};

/// @brief One call to a service.
class ServiceCall : public std::enable_shared_from_this<ServiceCall> {
public:
  using EndHandler = std::function<void(ServiceCall &)>;

  /// @brief Creates a call; @ref start starts it.
  /// @param context data that the request's calls share
  /// @param service the service
  /// @param onEnd called once at the end, but not from within @ref start
  /// @param earlierArrivals leaves that an earlier call may have reached with
  /// the request; they count as this call's
  ServiceCall(std::shared_ptr<const CallContext> context, Service &service,
              EndHandler onEnd, int earlierArrivals = 0);

  /// @brief Sends the first attempt.
  /// @return false if no leaf accepts it; the call has ended then
  bool start();

  /// @brief Replaces attempts that connect for too long and sends a hedge if
  /// one is due.
  /// @param now the current time
  void runDueActions(core::TimePoint now);

  /// @brief When @ref runDueActions has to be called next; TimePoint::max() if
  /// never.
  core::TimePoint nextDueTime() const;

  /// @brief Abandons all attempts; the end handler is not called.
  void cancel();

  /// @brief Whether the call has ended.
  bool ended() const { return End.has_value(); }

  /// @brief How the call ended. Requires @ref ended.
  CallEnd end() const { return *End; }

  /// @brief Whether the call has ended with a successful answer of a leaf.
  bool succeeded() const {
    return End == CallEnd::Answered && isSuccess(Answer);
  }

  /// @brief The leaf's answer. Requires an @ref end of Answered.
  const LeafAnswer &answer() const { return Answer; }

  /// @brief Whether a leaf may be executing the request or have executed it.
  bool mayHaveRun() const { return possibleArrivals() > 0; }

  /// @brief Number of leaves that any byte of the request may have reached.
  int possibleArrivals() const;

  /// @brief Connections to leaves that broke while they carried the request.
  const std::vector<LeafBreak> &breaks() const { return Breaks; }

  /// @brief Leaves that may still run the request.
  const std::vector<AbandonedRun> &abandonedRuns() const { return Abandoned; }

  /// @brief Leaf whose attempt ended last, attempts, reason of a failure and
  /// service, for logs.
  const std::string &leafId() const { return LeafId; }
  int attempts() const { return AttemptCount; }
  const std::string &reason() const { return Reason; }
  const std::string &serviceName() const { return TargetService.Name; }
  Service &service() const { return TargetService; }

  /// @brief Spends a token of the service's retry budget, if there is one.
  bool trySpendRetry(core::TimePoint now) const {
    return TargetService.RetryBudget.trySpend(now);
  }

  /// @brief Runs of leaves whose answers said that they are leaving.
  const std::vector<core::LeafRun> &leavingLeaves() const { return Leaving; }

private:
  struct Attempt {
    std::shared_ptr<Leaf> Target;
    std::shared_ptr<LeafConnection> Connection;
    std::uint64_t ScoreHandle = 0;
    core::TimePoint StartedAt;
    /// Connections that had broken in this call when it was sent.
    std::uint32_t EarlierBreaks = 0;
    /// Whether it tests the leaf after a silence.
    bool IsTest = false;
    /// Whether its connection is opened for it.
    bool Connects = false;
    bool Ended = false;
  };

  /// Why an attempt is started.
  enum class Cause {
    First,   ///< the first attempt
    Replace, ///< the previous one could not be sent
    Resend,  ///< the previous one failed
    Hedge,   ///< the first one is late
  };

  bool startAttempt(Cause cause, core::TimePoint now);
  LeafRequest requestFor(const Leaf &to, core::TimePoint now) const;
  void onReply(std::size_t index, LeafReply reply);
  void onAnswer(Attempt &attempt, LeafReply reply, core::TimePoint now);
  /// Whether the answer belongs to this request and, if successful, is signed
  /// and not encoded.
  bool isValidAnswer(const LeafAnswer &answer) const;
  std::optional<core::ReportedLoad>
  recordLoad(Leaf &from, const LeafAnswer &answer, core::TimePoint now);
  /// Whether a hedge or resend may be sent by the load of the leaves.
  bool admitsExtra(core::TimePoint now) const;
  /// Handles what an answer says about its leaf: that it is leaving, wants no
  /// requests for a time, or only so many a second.
  void applyLeafNotices(const Attempt &attempt, const LeafAnswer &answer);
  /// Starts another attempt if there is a cause and it is allowed; else ends
  /// the call, once no attempt is pending.
  void retryOrFinish(CallEnd fallback, std::optional<Cause> cause,
                     core::TimePoint now);
  /// Resend if the route is idempotent, else nothing: for use after an attempt
  /// that a leaf may have executed.
  std::optional<Cause> resendCause() const;
  void finish(CallEnd end);
  void abandon(Attempt &attempt);
  /// The connection of an attempt could not be established.
  void onUnreachable(const Attempt &attempt, core::TimePoint now);
  /// Records what an unanswered attempt says about the links to the leaves.
  void recordSilence(core::TimePoint now);
  bool anyPending() const;
  /// Estimate for this route at this service.
  core::ExpectedLatency &latencyEstimate();

  std::shared_ptr<const CallContext> Context;
  Service &TargetService;
  EndHandler OnEnd;
  core::HedgePlan Plan;
  std::vector<Attempt> Attempts;
  std::vector<std::shared_ptr<Leaf>> Tried;
  std::vector<core::LeafRun> Leaving;
  std::vector<LeafBreak> Breaks;
  std::vector<AbandonedRun> Abandoned;
  std::optional<CallEnd> End;
  LeafAnswer Answer;
  std::string LeafId;
  std::string Reason;
  int AttemptCount = 0;
  /// Attempts whose connection was refused or cancelled before they were sent.
  int RefusedCount = 0;
  /// Attempts that a leaf may have executed.
  int PossibleExecutions;
  bool Hedged = false;
  bool SilenceRecorded = false;
};

} // namespace savorytrestle::leaf

#endif
