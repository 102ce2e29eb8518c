#ifndef SAVORYTRESTLE_CORE_RATES_RATE_BOOK_H
#define SAVORYTRESTLE_CORE_RATES_RATE_BOOK_H

/// @file
/// @brief Everything that one host lends and borrows of workspaces' limits.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "savorytrestle/core/rates/BorrowedCredit.h"
#include "savorytrestle/core/rates/LentShare.h"

namespace savorytrestle::core {

/// @brief How a process starts, which sets when it may lend first.
enum class LenderStart {
  /// With all other hosts: nobody can have lent anything yet.
  Fleet,
  /// An earlier process of this host is still in the host list.
  Restart,
  /// The host is new to the host list.
  Join,
};

/// @brief State of one workspace for operators.
struct RateReport {
  std::string Workspace;
  std::uint64_t Admitted = 0;
  /// Refused since no grant held, or since the grants had no credit left.
  std::uint64_t RefusedNoGrant = 0;
  std::uint64_t RefusedNoCredit = 0;
  double Credit = 0;
  /// Parts of the rate, 0 to 1.
  double Held = 0;
  double Lent = 0;
};

/// @brief The lender's and the borrower's side of all workspaces on one host.
/// Times are of a clock that counts suspension.
class RateBook {
public:
  /// Longest time for which a host may lend after the store confirmed its
  /// entry, and so the longest time for which it may lend by an old host list.
  static constexpr std::chrono::milliseconds MaxConfirmationAge{15000};

  /// @brief Creates the book of a process that starts now.
  RateBook(std::string self, const RateBound &bound, TimePoint now);

  /// @brief Sets the limits of a configuration.
  /// @param limits rate and burst of each workspace that has a limit
  void setLimits(const std::map<std::string, RateQuota> &limits, TimePoint now);

  /// @brief Sets the hosts.
  /// @param hosts ids of the live hosts
  /// @param known number of all hosts that ever were in the list
  /// @param start how this process started, for the first call
  void setHosts(const std::vector<std::string> &hosts, std::size_t known,
                LenderStart start, TimePoint now);

  /// @brief Sets until when this host may lend.
  void setLendUntil(TimePoint until) { LendUntil = until; }

  /// @brief Whether requests of a workspace are limited. O(log workspaces)
  bool limited(std::string_view workspace) const;

  /// @brief Counts a request of a caller and charges it if there is credit.
  /// @param draw random number in [0, 1)
  CreditSource charge(const std::string &workspace, double draw, TimePoint now);

  /// @brief Charges a request that waited; see @ref charge.
  CreditSource chargeWaiting(const std::string &workspace, double draw,
                             TimePoint now);

  /// @brief Returns the credit of a request that ran nowhere.
  void refund(const std::string &workspace, CreditSource source, TimePoint now);

  /// @brief A charged request has run, or may have.
  void settle(const std::string &workspace, CreditSource source);

  /// @brief Whether a request may wait, as a grant may come soon.
  bool expectsGrant(const std::string &workspace) const;

  /// @brief Sets the number of requests that wait for credit.
  void setWaiting(const std::string &workspace, std::size_t waiting);

  /// @brief Records a refusal.
  /// @return time after which the request may come again
  Duration refuse(const std::string &workspace, TimePoint now);

  /// @brief Messages to other hosts that are due; requests to this host as a
  /// lender are served at once. There is one request in flight at most for each
  /// workspace and lender.
  std::map<std::string, RateAsks> takeDue(TimePoint now);

  /// @brief Applies the reply to a message, once.
  /// @param grants the grants; null if there was no reply
  void onReply(std::uint64_t sequence, const std::vector<RateGrant> *grants,
               TimePoint now);

  /// @brief Answers a message of another host. O(asks * borrowers)
  std::vector<RateGrant> lend(const RateAsks &asks, TimePoint now);

  /// @brief The state of one workspace; O(borrowers).
  RateReport report(const std::string &workspace, TimePoint now);

  /// @brief The largest workspaces by requests, those with refusals first.
  std::vector<RateReport> reports(std::size_t most, TimePoint now);

  /// @brief Time since the newest grant of a workspace, if there was one.
  std::optional<Duration> grantAge(const std::string &workspace,
                                   TimePoint now) const;

private:
  struct Workspace {
    RateQuota Quota;
    std::vector<std::string> Lenders;
    LentShare Lent;
    BorrowedCredit Borrowed;
    std::size_t Waiting = 0;
    std::uint64_t Admitted = 0;
    std::uint64_t RefusedNoGrant = 0;
    std::uint64_t RefusedNoCredit = 0;
  };
  struct Sent {
    std::string Lender;
    TimePoint At{};
    std::vector<std::string> Workspaces;
  };

  Workspace *find(std::string_view name);
  const Workspace *find(std::string_view name) const;
  void applyHosts(const std::string &name, Workspace &it, Duration wait,
                  TimePoint now);
  void updateFloor(Workspace &it, TimePoint now);
  CreditSource spend(Workspace &it, double draw, TimePoint now);

  std::string Self;
  RateBound Bound;
  TimePoint StartedAt;
  std::vector<std::string> Hosts;
  std::size_t KnownHosts = 0;
  bool HostsKnown = false;
  bool HasLimits = false;
  bool StartedWithFleet = false;
  bool FloorInUse = false;
  /// When all shares that follow from the host list may be lent.
  TimePoint ListSettledAt{};
  TimePoint LendUntil = TimePoint::max();
  std::uint64_t LastSequence = 0;
  std::map<std::string, Workspace, std::less<>> Workspaces;
  /// Messages without a reply, by sequence number.
  std::map<std::uint64_t, Sent> InFlight;
};

} // namespace savorytrestle::core

#endif
