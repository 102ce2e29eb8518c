#ifndef SAVORYTRESTLE_SERVE_PLATFORM_HOST_H
#define SAVORYTRESTLE_SERVE_PLATFORM_HOST_H

/// @file
/// @brief One platform host: listeners, store feeds and request handling on
/// one thread.

#include <utility>

#include <filesystem>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/Listener.h"
#include "entry/RequestRouter.h"
#include "leaf/LeafProber.h"
#include "registry/ConfigFeed.h"
#include "registry/CrashFeed.h"
#include "registry/DepartureNotices.h"
#include "registry/EvacuationFeed.h"
#include "registry/FeedServer.h"
#include "registry/HostFeed.h"
#include "registry/HostPresence.h"
#include "registry/LeafExchange.h"
#include "registry/LeafFeed.h"
#include "registry/RateExchange.h"
#include "registry/RateLimitNotices.h"
#include "registry/TrialFeed.h"
#include "savorytrestle/core/FeedPolicy.h"
#include "serve/PlatformHostConfig.h"
#include "support/LogRateLimiter.h"
#include "support/Metrics.h"

namespace savorytrestle::serve {

/// @brief A host that reads its configuration, leaves and other hosts from the
/// platform's metadata store.
class PlatformHost {
public:
  /// @brief Creates a host; @ref run starts it.
  /// @param config its settings
  /// @param configFile file of the settings; read again on reloads
  PlatformHost(PlatformHostConfig config, std::string configFile);

  /// @brief Runs until SIGTERM or SIGINT and the following shutdown.
  /// @return an error when the host could not start
  core::Result<void> run();

private:
  /// Answers a request on the listener for hosts.
  entry::CancelHandler handleHostRequest(entry::CallerRequest request,
                                         const boost::asio::ip::address &from,
                                         entry::AnswerHandler respond);
  core::Result<void> openListeners();
  void startFeeds(const boost::asio::ip::tcp::endpoint &store);
  /// Starts what tells other hosts of leaves, and of this host's links to them.
  void startNotices();
  /// Tells the mirror which seeds it may ask.
  void setSeeds();
  /// Starts what keeps the limits of workspaces.
  void startQuotas();
  /// Shares the runs in which leaves ended with the other hosts.
  void startCrashRuns(const boost::asio::ip::tcp::endpoint &store);
  void startTrials(const boost::asio::ip::tcp::endpoint &store);
  /// Publishes them for hosts of earlier versions, if there are any.
  void publishCrashRecords();
  void applyHosts(const registry::KnownHosts &hosts);
  /// Sets the hosts to which requests may be sent.
  void setPeers();
  /// Live hosts with a listener for other hosts, this one included.
  struct HostAddresses {
    std::vector<core::FeedHost> Hosts;
    std::map<std::string, boost::asio::ip::tcp::endpoint> ById;
  };
  /// Whether an address is that of a host with an entry.
  bool isHost(const boost::asio::ip::address &address) const {
    return HostIps.count(address) > 0;
  }
  /// Sets the hosts with which rates of workspaces are shared.
  void setRateHosts(const HostAddresses &others);
  registry::MirrorPlan planMirror(const HostAddresses &others) const;
  /// Sets the hosts with which reports on leaves are exchanged.
  void setCollectors(const HostAddresses &others);
  std::vector<boost::asio::ip::tcp::endpoint> seedEndpoints() const;
  void waitForSignal();
  void reload();
  void pollConfigFile();
  void stop();
  void stopAcceptingCallers();
  void finishWhenIdle();
  bool ready() const;
  entry::CallerAnswer readiness() const;
  entry::CallerAnswer metrics();
  /// Sets the metrics of requests that crash leaves.
  void setCrashMetrics();

  PlatformHostConfig Config;
  std::string ConfigFile;
  boost::asio::io_context Io;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer StopTimer;
  boost::asio::steady_timer ConfigFileTimer;
  std::filesystem::file_time_type ConfigFileWritten;
  support::Metrics HostMetrics;
  leaf::LeafDirectory Leaves;
  std::shared_ptr<leaf::LeafProber> Prober;
  std::shared_ptr<store::EraTracker> Eras =
      std::make_shared<store::EraTracker>();
  std::shared_ptr<registry::StoreMirror> Mirror;
  std::shared_ptr<registry::FeedServer> PeerFeed;
  std::shared_ptr<registry::LeafExchange> Exchange;
  std::shared_ptr<entry::QuotaGate> Quotas;
  std::shared_ptr<registry::RateExchange> Rates;
  std::shared_ptr<registry::CrashFeed> CrashRuns;
  std::shared_ptr<registry::TrialFeed> Trials;
  std::shared_ptr<registry::ConfigFeed> Configs;
  std::shared_ptr<registry::LeafFeed> LeafEntries;
  std::shared_ptr<registry::EvacuationFeed> Evacuations;
  std::shared_ptr<registry::HostFeed> Hosts;
  std::shared_ptr<registry::HostPresence> Presence;
  std::set<boost::asio::ip::address> HostIps;
  registry::KnownHosts KnownHosts;
  /// Whether the configuration in force has workspaces.
  bool HasWorkspaces = false;
  support::LogRateLimiter RefusalLog;
  std::unique_ptr<registry::DepartureNotices> Departures;
  std::unique_ptr<registry::RateLimitNotices> RateLimits;
  entry::RequestRouter Router;
  std::shared_ptr<entry::SessionContext> CallerContext;
  std::shared_ptr<entry::SessionContext> StatusContext;
  std::shared_ptr<entry::SessionContext> PeerContext;
  std::shared_ptr<entry::Listener> CallerListener;
  std::shared_ptr<entry::Listener> ReadinessListener;
  std::shared_ptr<entry::Listener> PeerListener;
  std::shared_ptr<entry::Listener> MetricsListener;
  std::chrono::steady_clock::time_point StopDeadline{};
  const std::chrono::steady_clock::time_point StartedAt =
      std::chrono::steady_clock::now();
  bool Stopping = false;
};

} // namespace savorytrestle::serve

#endif
