#ifndef SAVORYTRESTLE_REGISTRY_LEAF_EXCHANGE_H
#define SAVORYTRESTLE_REGISTRY_LEAF_EXCHANGE_H

/// @file
/// @brief Exchanges reports on leaves with the hosts of the failure domain.

#include <utility>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "entry/CallerSession.h"
#include "leaf/LeafDirectory.h"
#include "savorytrestle/core/balance/LeafReports.h"
#include "store/StoreConnection.h"

namespace savorytrestle::registry {

/// @brief Sends this host's reports to one host of the domain, the collector,
/// and gets the merged ones back. Any host answers as a collector.
class LeafExchange : public std::enable_shared_from_this<LeafExchange> {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @brief Makes an exchange without a collector.
  /// @param io runs its handlers
  /// @param leaves the leaves
  /// @param ownId id of this host
  LeafExchange(boost::asio::io_context &io, leaf::LeafDirectory &leaves,
               std::string ownId);

  /// @brief Starts to report, every few hundred milliseconds.
  void start();

  /// @brief Stops to report.
  void stop();

  /// @brief Sets the hosts that collect the reports, the preferred one first.
  /// @param collectors their addresses; none if there is nothing to exchange
  /// @param isCollector whether this host is the preferred one
  void setCollectors(const std::vector<Endpoint> &collectors, bool isCollector);

  /// @brief Answers the reports of another host with the merged ones.
  /// @param body the reports
  entry::CallerAnswer handle(std::string_view body);

  /// @brief Whether a request is for @ref handle.
  static bool isReport(std::string_view target);

private:
  void scheduleNext();
  void exchange();
  void applyMerged(core::TimePoint now);
  void onReply(const store::StoreReply &reply);

  boost::asio::io_context &Io;
  boost::asio::steady_timer Timer;
  leaf::LeafDirectory &Leaves;
  std::string OwnId;
  core::LeafReports Reports;
  std::vector<Endpoint> Collectors;
  /// Index of the collector in use.
  std::size_t Current = 0;
  std::shared_ptr<store::StoreConnection> Connection;
  bool IsCollector = false;
  bool Stopped = false;
};

} // namespace savorytrestle::registry

#endif
