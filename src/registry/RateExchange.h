#ifndef SAVORYTRESTLE_REGISTRY_RATE_EXCHANGE_H
#define SAVORYTRESTLE_REGISTRY_RATE_EXCHANGE_H

/// @file
/// @brief Reports requests of limited workspaces to their controllers.

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

/// @brief Sends what this host admitted to the controllers of the workspaces,
/// and answers as a controller. A host without requests of limited workspaces
/// sends nothing.
class RateExchange : public std::enable_shared_from_this<RateExchange> {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @brief Makes an exchange that knows no hosts.
  /// @param io runs its handlers
  /// @param ownId id of this host
  /// @param gate admits the requests
  RateExchange(boost::asio::io_context &io, std::string ownId,
               std::shared_ptr<entry::QuotaGate> gate);

  /// @brief Starts to report.
  void start() { scheduleNext(); }

  /// @brief Sets the live hosts.
  /// @param hosts addresses of their listeners for hosts, by id, this one's
  /// included
  /// @param isFleetStart whether no host can have admitted anything yet
  void setHosts(const std::map<std::string, Endpoint> &hosts,
                bool isFleetStart);

  /// @brief Answers another host's reports.
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
  void flush();
  /// Tells all hosts of workspaces that are over their limit.
  void sendNotices();
  void send(const core::RateReports &reports);
  /// Returns a connection without a call, null if all are in use.
  LinkPtr freeLink(const std::string &host);

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  std::string OwnId;
  std::shared_ptr<entry::QuotaGate> Gate;
  std::map<std::string, Endpoint> Hosts;
  std::map<std::string, std::vector<LinkPtr>> Links;
};

} // namespace savorytrestle::registry

#endif
