#ifndef SAVORYTRESTLE_CORE_EXTRA_LOAD_BUDGET_H
#define SAVORYTRESTLE_CORE_EXTRA_LOAD_BUDGET_H

/// @file
/// @brief Limits hedges, retries and restarts to a fraction of first attempts.

#include <cstdint>

namespace savorytrestle::core {

/// @brief Token bucket of one service on one host. Each first attempt adds a
/// fraction of a token, each extra attempt takes one.
///
/// In total, extra attempts stay within fraction * first attempts, or within
/// @ref InitialTokens while that is more.
class ExtraLoadBudget {
public:
  /// Tokens of a new budget, so that a host's first searches can retry.
  static constexpr double InitialTokens = 2;
  /// Capacity of the bucket unless the constructor sets another one.
  static constexpr double DefaultBurst = 64;

  /// @brief Creates a budget.
  /// @param fraction extra attempts for each first attempt, 0 to 1
  /// @param burst capacity of the bucket; a restart needs one token per shard
  explicit ExtraLoadBudget(double fraction, double burst = DefaultBurst);

  /// @brief Adds a fraction of a token. O(1).
  void onFirstAttempt();

  /// @brief Removes saved tokens because an overloaded leaf shed an attempt. If
  /// sheds per first attempt reach the fraction, the budget falls to zero and
  /// stays there. O(1).
  void onShed();

  /// @brief Whether there are enough tokens for extra attempts.
  /// @param count number of attempts
  /// @return true if there are
  bool allows(std::uint32_t count) const;

  /// @brief Spends tokens if there are enough.
  /// @param count number of attempts
  /// @return true if they were spent and the attempts may be sent; O(1)
  bool trySpend(std::uint32_t count);

  /// @brief Changes the fraction; saved tokens stay.
  /// @param fraction extra attempts for each first attempt, 0 to 1
  void setFraction(double fraction);

  /// @brief Raises the capacity of the bucket so that a search over this many
  /// shards can restart.
  /// @param shards shard count of the service's index
  void raiseBurstFor(std::uint32_t shards);

private:
  double Fraction;
  double Burst;
  double Tokens;
  /// Initial tokens that first attempts have not earned back yet.
  double UnearnedTokens;
};

} // namespace savorytrestle::core

#endif
