#ifndef SAVORYTRESTLE_CORE_RATES_RATE_MESSAGE_H
#define SAVORYTRESTLE_CORE_RATES_RATE_MESSAGE_H

/// @file
/// @brief What borrowers and lenders of a rate limit send each other.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorytrestle::core {

/// @brief Limit of one workspace over all hosts together.
struct RateQuota {
  /// Requests a second.
  double Rate = 0;
  /// Requests that may be saved up.
  double Size = 0;

  bool operator==(const RateQuota &) const = default;
};

/// @brief Bound that the limits of workspaces have to keep.
struct RateBound {
  std::chrono::milliseconds Window{5000};
  /// Part of the limit by which it may be exceeded.
  double Overage = 0;
  /// Requests in a window by which it may be exceeded in addition.
  double Slack = 0;
};

/// @brief Time for which a grant holds, measured by the borrower from when it
/// asked.
inline constexpr std::chrono::milliseconds RateLease{4000};
/// Time by which a lender lets a grant end later than the borrower, for clocks
/// that differ in speed.
inline constexpr std::chrono::milliseconds RateLeaseMargin{100};

/// @brief What a borrower asks of a lender for one workspace.
struct RateAsk {
  std::string Workspace;
  /// Parts of the rate and the size, 0 to 1, that the borrower holds of this
  /// lender from now on, whatever it was granted before.
  double HoldsRate = 0;
  double HoldsSize = 0;
  /// Rate and size that it needs of this lender, in requests.
  double Rate = 0;
  double Size = 0;
  /// Credit that it needs at once.
  double Credit = 0;
  /// Credit that it gives back.
  double Returned = 0;
};

/// @brief A lender's reply for one workspace.
struct RateGrant {
  std::string Workspace;
  /// Parts of the rate and the size, 0 to 1. They are parts so that a change
  /// of the limit takes effect at each host with its configuration.
  double Rate = 0;
  double Size = 0;
  /// Credit handed over, in requests.
  double Credit = 0;
  /// Whether the host may lend. If not, the last grant runs to its end.
  bool Lends = false;
};

/// @brief Everything that a borrower asks of one lender at a time.
struct RateAsks {
  std::string Borrower;
  /// Increases with each message of a borrower's process; a lender ignores
  /// messages that others have overtaken.
  std::uint64_t Sequence = 0;
  std::vector<RateAsk> Asks;
};

} // namespace savorytrestle::core

#endif
