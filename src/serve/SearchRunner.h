#ifndef SAVORYTRESTLE_SERVE_SEARCH_RUNNER_H
#define SAVORYTRESTLE_SERVE_SEARCH_RUNNER_H

/// @file
/// @brief Runs a search from the caller's thread: quarantine check, fair
/// admission, fan-out.

#include <memory>
#include <mutex>
#include <unordered_map>

#include "backend/LeafEngine.h"
#include "caller/CallerApi.h"
#include "savorytrestle/core/admission/FairAdmission.h"
#include "serve/PendingAnswer.h"

namespace savorytrestle::serve {

/// @brief Runs searches; thread-safe.
class SearchRunner {
public:
  /// @brief Creates the runner.
  /// @param engine runs admitted searches; must outlive the runner
  /// @param guard the host's crash quarantine
  /// @param capacity most searches that run at once on this host
  SearchRunner(backend::LeafEngine &engine,
               std::shared_ptr<backend::HostQuarantine> guard,
               std::uint32_t capacity);

  /// @brief Applies the workspaces' weights to the admission.
  /// @param routes settings in force
  void applyWeights(const core::RouteTable &routes);

  /// @brief Runs a search; blocks until it is answered.
  /// @param request the validated request
  /// @return the answer, or an error
  core::Result<core::SearchAnswer> run(const caller::CallerRequest &request);

private:
  core::Result<core::AdmissionTicket>
  admit(const caller::CallerRequest &request);
  void finish(core::AdmissionTicket ticket);
  void completeQueued(const std::vector<core::AdmissionDecision> &decisions);

  backend::LeafEngine &Engine;
  const std::shared_ptr<backend::HostQuarantine> Guard;
  std::mutex Lock;
  core::FairAdmission Admission;
  std::unordered_map<core::AdmissionTicket, std::promise<core::Result<void>>>
      Queued;
};

} // namespace savorytrestle::serve

#endif
