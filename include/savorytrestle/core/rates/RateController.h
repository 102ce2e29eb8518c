#ifndef SAVORYTRESTLE_CORE_RATES_RATE_CONTROLLER_H
#define SAVORYTRESTLE_CORE_RATES_RATE_CONTROLLER_H

/// @file
/// @brief The host that keeps a workspace's limit for all hosts. It answers
/// load that comes through every host at once: most hosts see a workspace too
/// seldom to hold a part of its limit.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/Time.h"
#include "savorytrestle/core/rates/RateMessage.h"

namespace savorytrestle::core {

/// @brief Finds the controllers of a workspace by rendezvous hashing.
/// @param workspace its name
/// @param hosts ids of the live hosts
/// @return up to three ids, the preferred one first. O(hosts)
std::vector<std::string>
chooseControllers(std::string_view workspace,
                  const std::vector<std::string> &hosts);

/// @brief Token bucket over what all hosts report to have admitted. Hosts admit
/// first and report then, so it may be overdrawn; nothing is admitted until the
/// debt is repaid.
class RateController {
public:
  /// @brief Sets the limit; saved-up requests beyond it are dropped. O(1).
  /// @param quota the limit
  /// @param slack requests by which a window may exceed it
  void setQuota(const RateQuota &quota, double slack, TimePoint now);

  /// @brief Sets the part of the limit that this host may give out: less if it
  /// stands in for a controller that may still serve others.
  void setShare(double share, TimePoint now);

  /// @brief Fills the bucket, if nothing can have been admitted before. O(1).
  void fill() { Saved = capacity(); }

  /// @brief Records a host's report. O(1).
  /// @return the share of its requests that each host is to admit
  RateVerdict record(const RateReport &report, TimePoint now);

  /// @brief Takes a verdict that all hosts have to learn at once, since most of
  /// them report too seldom: one that lowers the share much, or whose wait has
  /// to be named again.
  /// @return nothing if the last one still says enough. O(1)
  std::optional<RateVerdict> takeNotice(TimePoint now);

  /// @brief Saved-up requests; negative if overdrawn.
  double saved() const { return Saved; }

private:
  double capacity() const { return Share * Quota.Burst + Slack; }
  void advance(TimePoint now);

  RateQuota Quota;
  double Slack = 0;
  double Share = 1;
  double Saved = 0;
  /// Requests a second of callers, a moving average.
  double Demand = 0;
  TimePoint At{};
  RateVerdict Last;
  /// The share that all hosts know, and since when.
  double NoticedShare = 1;
  TimePoint NoticedAt{};
};

} // namespace savorytrestle::core

#endif
