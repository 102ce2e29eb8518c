#ifndef SAVORYTRESTLE_CORE_ADMISSION_FAIR_ADMISSION_H
#define SAVORYTRESTLE_CORE_ADMISSION_FAIR_ADMISSION_H

/// @file
/// @brief Shares a host's capacity for concurrent searches between workspaces.
///
/// Each workspace has a share of the capacity in proportion to its weight. It
/// may borrow idle capacity, except a reserve that is kept for workspaces below
/// their share. Freed capacity goes to the queued workspace with the fewest
/// running searches relative to its weight. A request of a
/// workspace below its share therefore waits for at most as many searches to
/// end as there are earlier requests of workspaces below their share, however
/// many requests another workspace sends.

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

/// @brief Limits of the admission control.
struct AdmissionSettings {
  /// Most searches that run at once.
  std::uint32_t Capacity = 64;
  /// Fraction of the capacity that is reserved for workspaces below their
  /// share.
  double ReserveFraction = 0.1;
  /// Longest wait for capacity.
  Duration MaxQueueWait = std::chrono::milliseconds(20);
  /// Longest RetryAfter of a refusal.
  std::chrono::milliseconds MaxRetryAfter = std::chrono::seconds(10);
};

/// @brief Identifies an accepted request; never reused.
using AdmissionTicket = std::uint64_t;

/// @brief An accepted request.
struct Admission {
  AdmissionTicket Ticket = 0;
  /// Whether it is queued; an @ref AdmissionDecision follows.
  bool Queued = false;
};

/// @brief Decision on a queued request.
struct AdmissionDecision {
  AdmissionTicket Ticket = 0;
  /// Empty if the request may run now; otherwise its ticket has ended.
  std::optional<Error> Refusal;
};

/// @brief Weighted fair admission control of one host; not thread-safe.
class FairAdmission {
public:
  /// @brief Creates an idle admission control without workspaces.
  /// @param settings its limits
  explicit FairAdmission(AdmissionSettings settings);

  /// @brief Sets the weights. A workspace that is not listed has weight 1 and
  /// does not reduce the shares of the others.
  /// @param weights weight by workspace, above 0
  void setWeights(const std::map<std::string, double> &weights);

  /// @brief Changes the capacity; running searches continue.
  /// @param capacity most searches that run at once
  void setCapacity(std::uint32_t capacity);

  /// @brief Requests capacity for a search.
  /// @param workspace the workspace
  /// @param deadline when the answer is due
  /// @param now current time
  /// @return admitted or queued; Overloaded with RetryAfter and RunState NotRun
  /// if the estimated wait is too long; O(1)
  Result<Admission> request(const std::string &workspace, TimePoint deadline,
                            TimePoint now);

  /// @brief Ends a request, whether it ran or was still queued.
  /// @param ticket its ticket; ignored if it has ended already
  /// @param now current time
  /// @return decisions on queued requests; O(workspaces) for each
  std::vector<AdmissionDecision> finish(AdmissionTicket ticket, TimePoint now);

  /// @brief Refuses the queued requests that have reached their queue deadline.
  /// @param now current time
  /// @return their decisions; O(queued)
  std::vector<AdmissionDecision> onTimer(TimePoint now);

  /// @brief When @ref onTimer has to be called next.
  /// @return the time, or nothing while the queue is empty; O(queued)
  std::optional<TimePoint> nextTimer() const;

  /// @brief Number of running searches.
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
    /// When all callers refused so far are expected to have returned and been
    /// served.
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
  /// AcceptedRequest points to its elements, which unordered_map never moves.
  std::unordered_map<std::string, Workspace> Workspaces;
  std::unordered_map<AdmissionTicket, AcceptedRequest> Tickets;
  double TotalWeight = 0;
  std::uint32_t Running = 0;
  AdmissionTicket NextTicket = 1;
  double MeanHoldSeconds;
};

} // namespace savorytrestle::core

#endif
