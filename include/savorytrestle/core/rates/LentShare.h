#ifndef SAVORYTRESTLE_CORE_RATES_LENT_SHARE_H
#define SAVORYTRESTLE_CORE_RATES_LENT_SHARE_H

/// @file
/// @brief A lender's part of one workspace's limit and what it has lent of it.

#include <cstdint>
#include <map>
#include <string>

#include "savorytrestle/core/rates/CreditBucket.h"
#include "savorytrestle/core/rates/RateLenders.h"
#include "savorytrestle/core/rates/RateMessage.h"

namespace savorytrestle::core {

/// @brief Ledger of one workspace at one lender. What is not lent gains credit
/// here, which is handed over with grants.
class LentShare {
public:
  /// @brief Sets the limit of all hosts together.
  void setQuota(const RateQuota &quota, TimePoint now);

  /// @brief Sets the part that this host owns; see @ref OwnedShare::set.
  void setOwned(double share, Duration wait, TimePoint now);

  /// @brief Lets the credit be full when the share may be lent first, for a
  /// limit under which nothing can have been sent yet.
  void fillOnFirstUse() { FillPending = true; }

  /// @brief Decides on a borrower's request.
  /// @param borrower id of the host that asks
  /// @param sequence number of its message
  /// @param ask its request
  /// @param mayLend whether this host may lend; if not, the borrower keeps
  /// nothing beyond its present lease
  /// @param now current time
  /// @return the grant, which holds for @ref RateLease; nothing is granted if
  /// the message has been overtaken. O(borrowers)
  RateGrant grant(const std::string &borrower, std::uint64_t sequence,
                  const RateAsk &ask, bool mayLend, TimePoint now);

  /// @brief Part of the rate that is lent. O(borrowers)
  double lent(TimePoint now);

  /// @brief Part of the rate that may be lent.
  double owned(TimePoint now) { return Owned.usable(now); }

private:
  struct Loan {
    /// Parts that the borrower may hold until the end.
    double Rate = 0;
    double Size = 0;
    TimePoint Until{};
    std::uint64_t Sequence = 0;
    /// Parts that it asked for.
    double WantedRate = 0;
    double WantedSize = 0;
  };
  struct Totals {
    double Rate = 0;
    double Size = 0;
    double WantedRate = 0;
    double WantedSize = 0;
  };

  void dropExpired(TimePoint now);
  /// Adds up all loans.
  Totals totals() const;
  /// Gives what is not lent to the credit that gathers here.
  void updateUnlent(TimePoint now);

  bool FillPending = false;
  RateQuota Quota;
  OwnedShare Owned;
  CreditBucket Unlent;
  std::map<std::string, Loan> Loans;
};

} // namespace savorytrestle::core

#endif
