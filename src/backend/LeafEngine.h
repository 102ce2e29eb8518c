#ifndef SAVORYTRESTLE_BACKEND_LEAF_ENGINE_H
#define SAVORYTRESTLE_BACKEND_LEAF_ENGINE_H

/// @file
/// @brief Runs searches and writes against the leaves of all services.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "backend/HostQuarantine.h"
#include "backend/ServiceRuntime.h"
#include "savorytrestle/core/Error.h"
#include "support/Metrics.h"

namespace savorytrestle::backend {

/// @brief One search to run.
struct SearchJob {
  std::string RequestId;
  core::RouteSettings Route;
  /// The query as JSON text.
  std::string Query;
  /// When the answer is due.
  core::TimePoint Deadline;
  core::Fingerprint RequestFingerprint;
  /// Whether it runs on one leaf first, because it is not known to be good and
  /// may crash leaves.
  bool Canary = false;
};

/// @brief One write to send.
struct WriteJob {
  std::string RequestId;
  core::RouteSettings Route;
  /// Idempotency key; empty when the caller gave none.
  std::string Key;
  /// The body as JSON text.
  std::string Body;
  core::TimePoint Deadline;
};

/// @brief Settings of the engine that do not change while it runs.
struct LeafEngineOptions {
  /// Failure domain of this host.
  std::string FailureDomain;
  /// Whether searches use core::BaselineSearch instead of
  /// core::TailAwareSearch.
  bool UseBaseline = false;
};

/// @brief Runs searches and writes on the fan-out thread; thread-safe.
class LeafEngine {
public:
  using SearchDone = std::function<void(core::Result<core::SearchAnswer>)>;
  /// Called with the leaf's result as JSON text, or with an error whose run
  /// state states whether the write ran.
  using WriteDone = std::function<void(core::Result<std::string>)>;

  /// @brief Creates an engine without services.
  /// @param loop the fan-out thread; must outlive the engine
  /// @param metrics counts the attempts; must outlive the loop's thread
  /// @param quarantine the host's crash quarantine
  /// @param options the engine's settings
  LeafEngine(FanOutLoop &loop, support::Metrics &metrics,
             std::shared_ptr<HostQuarantine> quarantine,
             LeafEngineOptions options);

  /// @brief Applies new settings; running searches keep the old ones.
  /// @param routes settings in force
  void apply(const std::shared_ptr<const core::RouteTable> &routes);

  /// @brief Sets the host slot, which limits this host's connections to each
  /// leaf.
  /// @param slot the host slot; an expired one allows no connections
  void setHostSlot(const core::HostSlot &slot);

  /// @brief Runs a search.
  /// @param job the search
  /// @param done called once with the answer, on the fan-out thread
  /// @return Overloaded when the queue is full; done is not called then
  core::Result<void> search(SearchJob job, SearchDone done);

  /// @brief Sends a write to one leaf, once, over a connection of its own.
  /// @param job the write
  /// @param done called once with the outcome, on the fan-out thread
  /// @return Overloaded when the queue is full; nothing is sent and done is not
  ///   called then
  core::Result<void> write(WriteJob job, WriteDone done);

private:
  struct State;

  void postUntilAccepted(const FanOutLoop::Task &task);

  FanOutLoop &Loop;
  std::shared_ptr<State> SharedState;
};

} // namespace savorytrestle::backend

#endif
