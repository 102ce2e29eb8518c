#ifndef SAVORYTRESTLE_ENTRY_REQUEST_RUN_H
#define SAVORYTRESTLE_ENTRY_REQUEST_RUN_H

/// @file
/// @brief Execution of one caller's request, from its route to its answer.

#include <utility>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "entry/CrashTracker.h"
#include "entry/QuotaGate.h"
#include "entry/RequestRecorder.h"
#include "leaf/ServiceCall.h"
#include "savorytrestle/core/HedgePolicy.h"

namespace savorytrestle::entry {

/// @brief One relay: services that another host calls. If no host does, this
/// host sends the request to the services itself.
struct Relay {
  /// The request as it is sent to the other host.
  std::shared_ptr<const leaf::CallContext> Context;
  /// Hosts of one failure domain, held as leaves of a service.
  leaf::Service *Hosts = nullptr;
  std::vector<leaf::Service *> Services{};
  /// Whether it is made since this host reaches no leaf; other hosts are tried
  /// then before this host calls the services.
  bool IsForward = false;
  /// Leaves of each service that a forward may still be sent to.
  int LeavesLeft = 0;
  /// Hosts of the failure domains that it was sent to, one entry a try.
  std::vector<const leaf::Service *> Tried{};
  /// The call to a host; null once this host calls the shards itself.
  std::shared_ptr<leaf::ServiceCall> Call{};
  /// Signatures of the answers that the other host has merged into its own.
  std::vector<std::string> Signatures{};
};

/// @brief A request in progress: one call for a plain route, one call for each
/// shard of a sharded route. Its handlers hold a reference to it until it ends.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
  /// @brief Makes a forward of a request's calls to services; nothing if no
  /// host can be sent one.
  using ForwardFactory = std::function<std::optional<Relay>(
      const leaf::CallContext &, const std::vector<leaf::Service *> &services,
      int leavesLeft, std::vector<const leaf::Service *> tried)>;

  /// @brief Creates a run; @ref start starts it.
  /// @param io runs its timer
  /// @param context the request as it is sent to leaves
  /// @param recorder receives the outcome for logs and metrics
  /// @param crashTracker receives the outcome for the quarantine
  /// @param respond called once with the answer, unless the run is cancelled
  RequestRun(boost::asio::io_context &io,
             std::shared_ptr<const leaf::CallContext> context,
             RequestRecorder &recorder, CrashTracker &crashTracker,
             AnswerHandler respond);

  /// @brief Sends the request to leaves and other hosts.
  /// @param services the service of a plain route, or the shards of a sharded
  /// route that this host calls itself
  /// @param relays shards that other hosts execute
  void start(const std::vector<leaf::Service *> &services,
             std::vector<Relay> relays = {});

  /// @brief Allows the run to forward calls to another host.
  void setForwardFactory(ForwardFactory factory) {
    MakeForward = std::move(factory);
  }

  /// @brief Holds the request's credit until its end.
  void setCharge(QuotaGate::ChargePtr charge) { Charge = std::move(charge); }

  /// @brief Holds the permission to run a request on probation until its end.
  void setPermit(CrashTracker::PermitPtr permit) { Permit = std::move(permit); }

  /// @brief This host has no links to leaves: forwards the calls that are still
  /// unanswered, if they may be sent again. May be called repeatedly.
  void onLeavesLost();

  /// @brief Answers with what there is, for use when this host's process ends.
  void endNow();

  /// @brief Cancels the calls to leaves, for use when the caller disconnects.
  void cancel();

  /// @brief Answers a request that has not been started.
  void refuse(CallerAnswer answer) { finish(std::move(answer), "refused"); }

  /// @brief Whether it has been answered or cancelled.
  bool finished() const { return Finished; }

private:
  using ServiceCallPtr = std::shared_ptr<leaf::ServiceCall>;

  /// Answers if the calls that have ended allow it, else arms the timer.
  void advance();
  void startCall(leaf::Service &service, int earlierArrivals = 0);
  leaf::ServiceCall::EndHandler callEndHandler();
  leaf::ServiceCall::EndHandler relayEndHandler(std::size_t i);
  void reclaimRefusedRelays();
  /// Handles a relay that the other host did not execute: sends a forward to
  /// another one, or calls the services.
  /// @return whether it was sent to another host
  bool reclaimRelay(std::size_t i);
  void startRelay(std::size_t i);
  bool sentToNextHost(std::size_t i);
  /// Leaves to which a call may be sent again, through another host; 0 if it
  /// may not.
  int leavesLeft(const leaf::ServiceCall &call, core::TimePoint now) const;
  /// The call whose answer is that of a plain route.
  const leaf::ServiceCall &plainCall() const;
  void advancePlain(core::TimePoint now);
  void advanceSharded(core::TimePoint now);
  void answerPlain();
  /// Whether the status of a plain route's answer states that the request has
  /// not run, though a leaf may have run it.
  bool wronglyPromisesNotRun() const;
  void answerSharded();
  /// Answers with the parts received if they suffice, else with an error.
  void finishIncomplete(core::TimePoint now);
  void finish(CallerAnswer answer, const char *outcome);
  void recordOutcome(unsigned status, const char *outcome);
  /// Whether the hosts of all relays have answered. Requires their end.
  bool allRelaysAnswered() const;
  /// Adds what the leaves of a call have done to the outcome.
  void addOutcome(const leaf::ServiceCall &call, RunOutcome &run) const;
  core::ShardCounts shardTally() const;
  /// Wait that a refusal states.
  std::chrono::milliseconds retryAfter() const;
  /// Names the leaves that are leaving in the answer to another host.
  void addLeavingLeaves(CallerAnswer &answer) const;
  bool anyLeafMayHaveRun() const;
  /// Returns the request's credit if it ran nowhere.
  void endCharge();
  void runDueActions(core::TimePoint now);
  void cancelCalls();
  void armTimer();

  std::shared_ptr<const leaf::CallContext> Context;
  RequestRecorder &Recorder;
  CrashTracker &Tracker;
  AnswerHandler OnAnswer;
  ForwardFactory MakeForward;
  QuotaGate::ChargePtr Charge;
  CrashTracker::PermitPtr Permit;
  boost::asio::steady_timer Timer;
  std::vector<ServiceCallPtr> Calls;
  /// Calls that forwards have replaced.
  std::vector<ServiceCallPtr> ReplacedCalls;
  std::vector<Relay> Relays;
  core::TimePoint TimerExpiry = core::TimePoint::max();
  /// Round of its first attempts, see @ref core::CrashLedger.
  std::uint32_t Round = 1;
  /// Whether a leaf may have run the request in a call that has been replaced.
  bool MayHaveRunBefore = false;
  /// Whether all calls have been started; ends before that are handled after
  /// it.
  bool Started = false;
  bool Finished = false;
};

} // namespace savorytrestle::entry

#endif
