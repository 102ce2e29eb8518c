#ifndef SAVORYTRESTLE_CORE_RATES_RATE_FOLLOWER_H
#define SAVORYTRESTLE_CORE_RATES_RATE_FOLLOWER_H

/// @file
/// @brief What one host admits of a workspace by its controller's verdicts.

#include <optional>
#include <string>
#include <vector>

#include "savorytrestle/core/Time.h"
#include "savorytrestle/core/rates/RateMessage.h"

namespace savorytrestle::core {

/// @brief Admission of one workspace's requests on one host. Requests are
/// admitted at once and reported afterwards, so that they don't wait for
/// another host. A host that reaches no controller admits requests at the rate
/// of before, and after some seconds at a part of it.
class RateFollower {
public:
  /// @brief Sets the controllers, the preferred one first.
  void setControllers(std::vector<std::string> controllers);

  /// @brief Decides on a request of a caller. O(1).
  /// @param draw uniform random number in [0, 1)
  bool admit(double draw, TimePoint now);

  /// @brief An admitted request ran nowhere.
  void refund() { Unreported.Admitted -= 1; }

  /// @brief Takes what has to be reported.
  /// @return nothing if there is nothing or no controller to report to
  std::optional<RateReport> takeReport(TimePoint now);

  /// @brief The controller that reports go to; empty if none is known.
  const std::string &controller(TimePoint now) const;

  /// @brief Applies a controller's reply to a report.
  void onVerdict(const std::string &controller, const RateVerdict &verdict,
                 TimePoint now);

  /// @brief A controller didn't reply; what was reported goes to the next.
  void onNoReply(const std::string &controller, const RateReport &report,
                 TimePoint now);

  /// @brief When credit is expected for a request that is refused now. O(1).
  /// @param draw uniform random number in [0, 1), spreads the callers
  Duration retryAfter(double draw) const;

  /// @brief The share of the last verdict.
  double admitShare() const { return Share; }

  /// @brief Time since the last verdict; nothing if there was none.
  std::optional<Duration> verdictAge(TimePoint now) const;

private:
  struct Controller {
    std::string Id;
    TimePoint RetryAt{};
  };

  bool isolated(TimePoint now) const;
  double currentShare(TimePoint now) const;
  bool admitIsolated(TimePoint now);
  void average(TimePoint now);

  std::vector<Controller> Controllers;
  RateReport Unreported;
  double Share = 1;
  std::chrono::milliseconds Wait{0};
  TimePoint VerdictAt{};
  /// When the first report after the last verdict had no reply.
  TimePoint SilentSince{};
  /// Admitted requests a second, averaged over some seconds.
  double OwnRate = 0;
  TimePoint AveragedAt{};
  /// Credit while no controller replies.
  double Credit = 1;
  TimePoint CreditAt{};
};

} // namespace savorytrestle::core

#endif
