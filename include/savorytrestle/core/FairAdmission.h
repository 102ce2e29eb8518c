#ifndef SAVORYTRESTLE_CORE_FAIR_ADMISSION_H
#define SAVORYTRESTLE_CORE_FAIR_ADMISSION_H

/// @file
/// @brief Shares a host's capacity for concurrent searches between workspaces.
///
/// Each workspace has a share by its weight and may borrow what is idle, except
/// a reserve that is kept for workspaces below their share. Freed capacity goes
/// to the queued workspace that runs least for its weight. So a request of a
/// workspace below its share waits, at worst, for as many searches to end as
/// requests of workspaces below their share came before it, however many
/// requests another workspace sends.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "savorytrestle/core/Error.h"
#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Bounds of the admission.
struct AdmissionSettings {
  /// Searches that run at once.
  std::uint32_t Capacity = 64;
  /// Fraction of the capacity that is not lent out.
  double ReserveFraction = 0.1;
  /// Longest wait for capacity.
  Duration MaxQueueWait = std::chrono::milliseconds(20);
  /// Latest time to come back that a refusal names.
  std::chrono::milliseconds MaxRetryAfter = std::chrono::seconds(10);
};

/// @brief Number of an accepted request; never reused.
using AdmissionTicket = std::uint64_t;

/// @brief An accepted request.
struct Admission {
  AdmissionTicket Ticket = 0;
  /// Whether it waits; an @ref AdmissionDecision follows.
  bool Queued = false;
};

/// @brief What became of a queued request.
struct AdmissionDecision {
  AdmissionTicket Ticket = 0;
  /// Nothing when it may run now; its ticket has ended otherwise.
  std::optional<Error> Refusal;
};

/// @brief Weighted fair admission of one host; the caller locks it.
class FairAdmission {
public:
  /// @brief An idle admission without workspaces.
  /// @param settings its bounds
  explicit FairAdmission(AdmissionSettings settings);

  /// @brief Sets the weights; a workspace that is not named weighs 1 and counts
  /// for no share of the others.
  /// @param weights weight by workspace, above 0
  void setWeights(const std::map<std::string, double> &weights);

  /// @brief Changes the capacity; what runs goes on.
  /// @param capacity searches that run at once
  void setCapacity(std::uint32_t capacity);

  /// @brief Asks for capacity.
  /// @param workspace the workspace
  /// @param deadline when the answer is due
  /// @param now current time
  /// @return admitted or queued; Overloaded with RetryAfter and RunState NotRun
  /// when it would wait too long; O(1)
  Result<Admission> request(const std::string &workspace, TimePoint deadline,
                            TimePoint now);

  /// @brief Ends a request, whether it ran or was still queued.
  /// @param ticket its ticket; an ended one is ignored
  /// @param now current time
  /// @return decisions on queued requests; O(workspaces) for each
  std::vector<AdmissionDecision> finish(AdmissionTicket ticket, TimePoint now);

  /// @brief Refuses the queued requests that waited too long.
  /// @param now current time
  /// @return their decisions; O(queued)
  std::vector<AdmissionDecision> onTimer(TimePoint now);

  /// @brief When @ref onTimer wants to be called.
  /// @return the time, or nothing while nothing is queued; O(queued)
  std::optional<TimePoint> nextTimer() const;

  /// @brief Searches that run now.
  /// @return the number
  std::uint32_t running() const { return Running; }

private:
  struct QueuedRequest {
    AdmissionTicket Ticket = 0;
    TimePoint QueueDeadline;
  };
  struct Workspace {
    std::string Name;
    double Weight = 1;
    std::uint32_t Running = 0;
    std::deque<QueuedRequest> Queue;
    /// When the callers refused so far are all back and served.
    TimePoint BacklogEnd{};
  };
  struct AcceptedRequest {
    Workspace *Owner = nullptr;
    std::optional<TimePoint> AdmittedAt;
  };

  Workspace &workspace(const std::string &name);
  double share(const Workspace &owner) const;
  bool mayRun(const Workspace &owner) const;
  void admit(Workspace &owner, AdmissionTicket ticket, TimePoint now);
  Duration estimatedServiceTime(const Workspace &owner,
                                std::size_t requests) const;
  Error makeRefusal(Workspace &owner, TimePoint now);
  std::vector<AdmissionDecision> admitQueued(TimePoint now);

  AdmissionSettings Settings;
  /// Node-based, so that Active may point into it.
  std::unordered_map<std::string, Workspace> Workspaces;
  std::unordered_map<AdmissionTicket, AcceptedRequest> Tickets;
  double TotalWeight = 0;
  std::uint32_t Running = 0;
  AdmissionTicket NextTicket = 1;
  double MeanHoldSeconds;
};

} // namespace savorytrestle::core

#endif
