#ifndef SAVORYTRESTLE_ENTRY_REQUEST_ADMISSION_H
#define SAVORYTRESTLE_ENTRY_REQUEST_ADMISSION_H

/// @file
/// @brief Starts, holds or refuses requests by the load of the leaves.

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "entry/RequestRun.h"
#include "savorytrestle/core/admission/LoadAdmission.h"
#include "support/LogRateLimiter.h"
#include "support/Metrics.h"

namespace savorytrestle::entry {

/// @brief Admission of the callers' requests of one host. It must outlive the
/// requests that it holds.
class RequestAdmission {
public:
  /// @brief Creates an admission without requests.
  /// @param io runs its timers
  /// @param leaves all services and their leaves
  /// @param metrics receives the counts of held and refused requests
  RequestAdmission(boost::asio::io_context &io, leaf::LeafDirectory &leaves,
                   support::Metrics &metrics)
      : Io(io), Leaves(leaves), HostMetrics(metrics) {}

  /// @brief Decides about a request that has not been started.
  /// @param run the request; is answered with 503 if it is refused
  /// @param context its data
  /// @param services its service, or those of its shards
  /// @param start starts the request; called before the return or later
  void admit(const std::shared_ptr<RequestRun> &run,
             const std::shared_ptr<const leaf::CallContext> &context,
             const std::vector<leaf::Service *> &services,
             std::function<void()> start);

private:
  struct Candidate {
    std::shared_ptr<RequestRun> Run;
    std::shared_ptr<const leaf::CallContext> Context;
    std::vector<leaf::Service *> Services;
    std::function<void()> Start;
    core::TimePoint Since;
    double Draw = 0;
    bool Held = false;
  };

  static core::RequestKind kindOf(const Candidate &request);
  void decide(const std::shared_ptr<Candidate> &request);
  void hold(const std::shared_ptr<Candidate> &request, core::Duration time);
  void refuse(const Candidate &request, const core::RequestKind &kind,
              const core::Room &room, const core::AdmissionVerdict &verdict);

  boost::asio::io_context &Io;
  leaf::LeafDirectory &Leaves;
  support::Metrics &HostMetrics;
  core::LoadAdmission Policy;
  support::LogRateLimiter RefusalLog;
};

} // namespace savorytrestle::entry

#endif
