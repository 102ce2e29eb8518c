#ifndef SAVORYTRESTLE_CORE_EXTRA_LOAD_BUDGET_H
#define SAVORYTRESTLE_CORE_EXTRA_LOAD_BUDGET_H

/// @file
/// @brief Bounds hedges, retries and restarts to a fraction of first attempts.

#include <cstdint>

namespace savorytrestle::core {

/// @brief Token bucket of one service on one host, filled by first attempts.
///
/// Over any run, extra attempts stay within fraction * first attempts, or
/// within @ref InitialTokens while that is more.
class ExtraLoadBudget {
public:
  /// Tokens of a new budget, so that a host's first searches can retry.
  static constexpr double InitialTokens = 2;
  /// Tokens that can be saved up unless the constructor says otherwise.
  static constexpr double DefaultBurst = 64;

  /// @brief Makes a budget.
  /// @param fraction extra attempts for each first attempt, 0 to 1
  /// @param burst most tokens saved up; a restart needs one for each shard
  explicit ExtraLoadBudget(double fraction, double burst = DefaultBurst);

  /// @brief Earns a fraction of a token. O(1).
  void onFirstAttempt();

  /// @brief Gives up saved tokens because a leaf was overloaded; with sheds at
  /// or above the fraction the budget falls to zero and stays there. O(1).
  void onShed();

  /// @brief Whether this many extra attempts are allowed now.
  /// @param count number of attempts
  /// @return true when they are
  bool allows(std::uint32_t count) const;

  /// @brief Spends tokens if there are enough.
  /// @param count number of attempts
  /// @return true when the attempts may be sent; O(1)
  bool trySpend(std::uint32_t count);

  /// @brief Changes the fraction when the settings do; saved tokens stay.
  /// @param fraction extra attempts for each first attempt, 0 to 1
  void setFraction(double fraction);

  /// @brief Raises the burst so that a search over this many shards can
  /// restart.
  /// @param shards shard count of the service's index
  void raiseBurstFor(std::uint32_t shards);

private:
  double Fraction;
  double Burst;
  double Tokens;
  /// Initial tokens that first attempts have not yet made up for.
  double UnearnedTokens;
};

} // namespace savorytrestle::core

#endif
