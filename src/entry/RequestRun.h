#ifndef SAVORYTRESTLE_ENTRY_REQUEST_RUN_H
#define SAVORYTRESTLE_ENTRY_REQUEST_RUN_H

/// @file
/// @brief One request of a caller, from its route to its answer.

#include <utility>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "entry/CrashTracker.h"
#include "entry/RequestRecorder.h"
#include "leaf/ServiceCall.h"
#include "savorytrestle/core/HedgePolicy.h"

namespace savorytrestle::entry {

/// @brief Shards of a request that a host of another failure domain is asked
/// for; this host asks them itself when no such host takes them.
struct RelayPart {
  /// The request as it goes to a host.
  std::shared_ptr<const leaf::CallContext> Context;
  leaf::Service *Hosts = nullptr;
  std::vector<leaf::Service *> Shards{};
  /// The call to a host; null once this host asks itself.
  std::shared_ptr<leaf::ServiceCall> Call{};
  /// Signatures of the parts that the host has merged, once it has answered.
  std::vector<std::string> Signatures{};
};

/// @brief A request being worked on: one call for a plain route, one for each
/// shard of a sharded one. It keeps itself alive until it has answered.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
  /// @brief Makes a run.
  /// @param io runs its timer
  /// @param context the request as it goes to leaves
  /// @param recorder takes what became of it
  /// @param crashTracker told whether its content may crash leaves
  /// @param respond takes its answer
  RequestRun(boost::asio::io_context &io,
             std::shared_ptr<const leaf::CallContext> context,
             RequestRecorder &recorder, CrashTracker &crashTracker,
             AnswerHandler respond);

  /// @brief Sends it to the leaves of these services.
  /// @param services one for a plain route, the shards of a sharded one
  /// @param relays shards that other hosts are asked for
  void start(const std::vector<leaf::Service *> &services,
             std::vector<RelayPart> relays = {});

  /// @brief Its caller has left: leaves are told to stop.
  void cancel();

private:
  using ServiceCallPtr = std::shared_ptr<leaf::ServiceCall>;

  void advance();
  void startCall(leaf::Service &service);
  leaf::ServiceCall::EndHandler callEndHandler();
  leaf::ServiceCall::EndHandler relayEndHandler(std::size_t i);
  void reclaimRefusedRelays();
  void advancePlain(core::TimePoint now);
  void advanceSharded(core::TimePoint now);
  void answerPlain();
  void answerSharded();
  void finishIncomplete(core::TimePoint now);
  void finish(CallerAnswer answer, const char *outcome);
  void recordOutcome(unsigned status, const char *outcome);
  core::ShardTally shardTally() const;
  bool anyLeafMayHaveRun() const;
  void runDueActions(core::TimePoint now);
  void cancelCalls();
  void armTimer();

  std::shared_ptr<const leaf::CallContext> Context;
  RequestRecorder &Recorder;
  CrashTracker &Tracker;
  AnswerHandler OnAnswer;
  boost::asio::steady_timer Timer;
  std::vector<ServiceCallPtr> Calls;
  std::vector<RelayPart> Relays;
  core::TimePoint TimerExpiry = core::TimePoint::max();
  bool Started = false;
  bool Finished = false;
};

} // namespace savorytrestle::entry

#endif
