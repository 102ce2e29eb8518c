#ifndef SAVORYTRESTLE_CORE_RATES_RATE_LENDERS_H
#define SAVORYTRESTLE_CORE_RATES_RATE_LENDERS_H

/// @file
/// @brief Choice of the hosts that lend a workspace's rate, and the part that
/// each of them owns.

#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/Time.h"

namespace savorytrestle::core {

/// @brief Finds the lenders of a workspace by rendezvous hashing.
/// @param workspace its name
/// @param hosts ids of the live hosts
/// @return up to three ids, the first lender first. O(hosts)
std::vector<std::string> chooseLenders(std::string_view workspace,
                                       const std::vector<std::string> &hosts);

/// @brief Part of the limit that a lender owns.
/// @param rank its place among the lenders, from 0
/// @param lenders number of the lenders
/// @return 0 to 1; the parts of all lenders add up to 1
double lenderShare(std::size_t rank, std::size_t lenders);

/// @brief The part of a limit that this host may lend, across changes of the
/// host list.
///
/// A smaller part takes effect at once, a larger one once whoever owned the
/// difference can have no grant left.
class OwnedShare {
public:
  /// @brief Sets the part that the newest host list gives to this host.
  /// @param share the part, 0 to 1
  /// @param wait time until no grant by an earlier owner can be left
  /// @param now current time. O(1)
  void set(double share, Duration wait, TimePoint now);

  /// @brief The part that may be lent now. O(1).
  double usable(TimePoint now);

private:
  double Usable = 0;
  double Target = 0;
  TimePoint RaiseAt{};
};

} // namespace savorytrestle::core

#endif
