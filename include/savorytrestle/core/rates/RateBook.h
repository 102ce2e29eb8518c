#ifndef SAVORYTRESTLE_CORE_RATES_RATE_BOOK_H
#define SAVORYTRESTLE_CORE_RATES_RATE_BOOK_H

/// @file
/// @brief The limits of all workspaces on one host, as a follower and as a
/// controller.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/Time.h"
#include "savorytrestle/core/rates/RateController.h"
#include "savorytrestle/core/rates/RateFollower.h"
#include "savorytrestle/core/rates/RateMessage.h"

namespace savorytrestle::core {

/// @brief State of one workspace for operators.
struct RateState {
  std::string Workspace;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  /// Share that the controller lets this host admit.
  double AdmitShare = 1;
  /// Requests saved up, if this host is the controller.
  std::optional<double> Saved;
};

/// @brief Reports to one controller.
struct RateReports {
  std::string Controller;
  std::vector<RateReport> Reports;
};

/// @brief Everything that one host knows of workspaces' limits. Times are of a
/// clock that counts suspension.
class RateBook {
public:
  /// @param self id of this host
  /// @param bound bound that all hosts keep together
  RateBook(std::string self, const RateBound &bound);

  /// @brief Sets the limit of each limited workspace. O(workspaces * hosts)
  void setLimits(const std::map<std::string, RateQuota> &limits, TimePoint now);

  /// @brief Sets the live hosts. O(workspaces * hosts)
  /// @param hosts their ids
  /// @param isFleetStart whether no host can have admitted anything yet
  void setHosts(const std::vector<std::string> &hosts, bool isFleetStart,
                TimePoint now);

  /// @brief Whether requests of a workspace are limited. O(log workspaces)
  bool limited(std::string_view workspace) const;

  /// @brief Decides on a request of a caller; see @ref RateFollower::admit.
  /// Requires @ref limited.
  bool admit(std::string_view workspace, double draw, TimePoint now);

  /// @brief An admitted request ran nowhere.
  void refund(std::string_view workspace);

  /// @brief When credit is expected; see @ref RateFollower::retryAfter.
  Duration retryAfter(std::string_view workspace, double draw) const;

  /// @brief Takes the reports that are due. Those to this host are applied at
  /// once. O(workspaces)
  std::vector<RateReports> takeReports(TimePoint now);

  /// @brief Answers another host's reports.
  std::vector<RateVerdict> record(const std::vector<RateReport> &reports,
                                  TimePoint now);

  /// @brief Applies a controller's reply.
  /// @param sent the reports
  /// @param verdicts the reply; null if there was none
  void onReply(const RateReports &sent,
               const std::vector<RateVerdict> *verdicts, TimePoint now);

  /// @brief Takes the verdicts of this host that all hosts have to learn at
  /// once. O(workspaces)
  std::vector<RateVerdict> takeNotices(TimePoint now);

  /// @brief Applies verdicts that a controller sent unasked.
  void onNotices(const std::string &controller,
                 const std::vector<RateVerdict> &verdicts, TimePoint now);

  /// @brief The workspaces with most refusals and requests.
  std::vector<RateState> states(std::size_t most) const;

  /// @brief The state of one workspace. Requires @ref limited.
  RateState state(std::string_view workspace) const;

  /// @brief Time since the last verdict on a workspace, if there was one.
  std::optional<Duration> verdictAge(std::string_view workspace,
                                     TimePoint now) const;

private:
  struct Workspace {
    RateQuota Quota;
    RateController Controller;
    RateFollower Follower;
    bool Controls = false;
    std::uint64_t Admitted = 0;
    std::uint64_t Refused = 0;
  };

  void applyHosts(const std::string &name, Workspace &workspace, TimePoint now);

  std::string Self;
  RateBound Bound;
  std::vector<std::string> Hosts;
  bool FleetStart = false;
  std::map<std::string, Workspace, std::less<>> Workspaces;
};

} // namespace savorytrestle::core

#endif
