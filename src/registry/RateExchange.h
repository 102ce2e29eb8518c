#ifndef SAVORYTRESTLE_REGISTRY_RATE_EXCHANGE_H
#define SAVORYTRESTLE_REGISTRY_RATE_EXCHANGE_H

/// @file
/// @brief Lends parts of workspaces' limits to other hosts and borrows them.

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "entry/QuotaGate.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief Sends this host's requests for grants to the lenders and answers
/// those of other hosts. Without a limit it sends nothing.
class RateExchange : public std::enable_shared_from_this<RateExchange> {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @brief Makes an exchange that knows no hosts.
  /// @param io runs its handlers
  /// @param gate charges the requests
  /// @param lendUntil returns until when this host may lend, on the clock of
  /// @ref support::bootTime
  RateExchange(boost::asio::io_context &io,
               std::shared_ptr<entry::QuotaGate> gate,
               std::function<core::TimePoint()> lendUntil);

  /// @brief Starts to borrow.
  void start();

  /// @brief Sets the live hosts.
  /// @param hosts addresses of their listeners for hosts, by id, this one's
  /// included
  /// @param known number of hosts that ever were live
  /// @param how this process started
  void setHosts(const std::map<std::string, Endpoint> &hosts, std::size_t known,
                core::LenderStart how);

  /// @brief Lends nothing from now on, for use in a shutdown.
  void stopLending();

  /// @brief Answers another host's request for grants.
  /// @param body the message
  entry::CallerAnswer handle(std::string_view body);

  /// @brief Whether a request is for @ref handle.
  static bool isRates(std::string_view target);

private:
  struct Link {
    std::shared_ptr<store::StoreConnection> Connection;
    bool Busy = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void scheduleNext();
  void updateLendUntil();
  /// Sends all requests that are due.
  void flush();
  void send(const std::string &lender, const core::RateAsks &asks);
  /// Returns a connection without a call, null if all are in use.
  LinkPtr freeLink(const std::string &lender);
  void onReply(std::uint64_t sequence, const store::StoreReply &reply);

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  std::shared_ptr<entry::QuotaGate> Gate;
  std::function<core::TimePoint()> LendUntil;
  std::map<std::string, Endpoint> Hosts;
  std::map<std::string, std::vector<LinkPtr>> Links;
  bool LendingStopped = false;
};

} // namespace savorytrestle::registry

#endif
