#ifndef SAVORYTRESTLE_CORE_RATES_BORROWED_CREDIT_H
#define SAVORYTRESTLE_CORE_RATES_BORROWED_CREDIT_H

/// @file
/// @brief What one host may send of a workspace: its grants and its floor.

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "savorytrestle/core/rates/CreditBucket.h"
#include "savorytrestle/core/rates/LeafRateLimit.h"
#include "savorytrestle/core/rates/RateMessage.h"

namespace savorytrestle::core {

/// @brief Where the credit of an admitted request came from.
enum class CreditSource { None, Grant, Floor };

/// @brief The borrower's side of one workspace's limit on one host.
class BorrowedCredit {
public:
  /// @brief Sets the limit of all hosts together. Grants are parts of it, so
  /// they change with it at once.
  void setQuota(const RateQuota &quota, TimePoint now);

  /// @brief Sets the hosts to ask, the first lender first. Grants of other
  /// hosts run to their end.
  void setLenders(const std::vector<std::string> &lenders);

  /// @brief Sets the part of the limit that this host owns without a grant.
  void setFloor(double share, TimePoint now);

  /// @brief Counts a request of a caller, admitted or not.
  void onArrival(TimePoint now);

  /// @brief Charges a request if there is credit.
  /// @param draw random number in [0, 1)
  CreditSource trySpend(double draw, TimePoint now);

  /// @brief Returns the credit of a request that ran nowhere.
  void refund(CreditSource source, TimePoint now);

  /// @brief A charged request has run.
  void settle(CreditSource source);

  /// @brief Requests to lenders that are due. Each counts as in flight until
  /// @ref onGrant or @ref onNoReply.
  /// @param waiting requests that wait for a grant
  /// @return pairs of a lender and the request to it. O(1)
  std::vector<std::pair<std::string, RateAsk>> takeDue(std::size_t waiting,
                                                       TimePoint now);

  /// @brief Applies a reply.
  /// @param lender who granted
  /// @param grant the grant
  /// @param askedAt when the request was made
  void onGrant(const std::string &lender, const RateGrant &grant,
               TimePoint askedAt, TimePoint now);

  /// @brief A lender didn't reply, or refused; the next ones are asked.
  void onNoReply(const std::string &lender, TimePoint now);

  /// @brief Whether a reply may bring credit soon, so that a request may wait.
  bool expectsGrant() const;

  /// @brief Whether any grant holds.
  bool hasGrant(TimePoint now);

  /// @brief When credit for the next refused request is expected. Each call
  /// counts as one refused request. O(1)
  Duration retryAfter(TimePoint now);

  /// @brief Whether nothing is held and no request came for long.
  bool idle(TimePoint now);

  /// @brief Credit of the grants.
  double credit(TimePoint now);
  /// @brief Part of the rate that grants give.
  double heldRate() const;
  /// @brief Time since the newest grant; nothing if there was none.
  std::optional<Duration> grantAge(TimePoint now) const;

private:
  struct Slot {
    std::string Lender;
    bool Current = true;
    double Rate = 0;
    double Size = 0;
    TimePoint Until{};
    bool InFlight = false;
    /// When it was asked last, and when it may be asked again.
    TimePoint AskedAt{};
    TimePoint AskAfter{};
    /// Whether the last request to it had no reply.
    bool Unreachable = false;
  };

  void advance(TimePoint now);
  void applyGrants(TimePoint now);
  Slot *find(const std::string &lender);
  /// Counts arrivals into the averages.
  void average(double arrivals, TimePoint now);
  /// What this host needs in all, in requests.
  RateQuota wanted(std::size_t waiting, TimePoint now);
  /// Cuts what a slot holds to what is still needed of it, and asks for that.
  RateAsk makeAsk(Slot &slot, const RateQuota &need, double credit,
                  TimePoint now);
  static bool isDue(const Slot &slot, bool urgent, bool wanted, TimePoint now);

  RateQuota Quota;
  CreditBucket Bucket;
  LeafRateLimit Floor;
  std::vector<Slot> Slots;
  /// Requests a second, averaged over a short and a longer time.
  double FastRate = 0;
  double SlowRate = 0;
  TimePoint AveragedAt{};
  TimePoint LastArrival{};
  TimePoint LastGrant{};
  /// When all requests refused so far are expected to have got credit.
  TimePoint BookedUntil{};
};

} // namespace savorytrestle::core

#endif
