#ifndef SAVORYTRESTLE_SERVE_NODE_H
#define SAVORYTRESTLE_SERVE_NODE_H

/// @file
/// @brief One host on the platform: listeners, store feeds and the data path
/// on one thread.

#include <utility>

#include <filesystem>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/Listener.h"
#include "entry/RequestRouter.h"
#include "registry/ConfigFeed.h"
#include "registry/FeedServer.h"
#include "registry/HostFeed.h"
#include "registry/HostPresence.h"
#include "registry/LeafFeed.h"
#include "serve/NodeConfig.h"
#include "support/Metrics.h"

namespace savorytrestle::serve {

/// @brief One host process on the platform.
class Node {
public:
  /// @brief Makes a host that doesn't run yet.
  /// @param config its settings
  /// @param configFile file that they were read from, for reloads
  Node(NodeConfig config, std::string configFile);

  /// @brief Runs until a stop signal has been obeyed.
  /// @return an error when it could not start
  core::Result<void> run();

private:
  core::Result<void> openListeners();
  void startFeeds(const boost::asio::ip::tcp::endpoint &store);
  void onHosts(const registry::KnownHosts &hosts);
  registry::MirrorPlan
  feedHosts(const std::vector<registry::HostEntry> &there) const;
  std::vector<boost::asio::ip::tcp::endpoint> seeds() const;
  void waitForSignal();
  void reload();
  void watchConfigFile();
  void stop();
  void closeDoors();
  void finishWhenIdle();
  bool ready() const;
  entry::CallerAnswer readiness() const;
  entry::CallerAnswer metrics();

  NodeConfig Config;
  std::string ConfigFile;
  boost::asio::io_context Io;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer StopTimer;
  boost::asio::steady_timer FileTimer;
  std::filesystem::file_time_type FileWritten;
  support::Metrics Counts;
  leaf::LeafDirectory Leaves;
  std::shared_ptr<registry::StoreMirror> Mirror;
  std::shared_ptr<registry::FeedServer> Passing;
  std::shared_ptr<registry::ConfigFeed> Configs;
  std::shared_ptr<registry::LeafFeed> Entries;
  std::shared_ptr<registry::HostFeed> Hosts;
  std::shared_ptr<registry::HostPresence> Presence;
  entry::RequestRouter Router;
  std::shared_ptr<entry::SessionContext> CallerContext;
  std::shared_ptr<entry::SessionContext> OwnContext;
  std::shared_ptr<entry::SessionContext> PeerContext;
  std::shared_ptr<entry::Listener> Callers;
  std::shared_ptr<entry::Listener> Readiness;
  std::shared_ptr<entry::Listener> PeerDoor;
  std::shared_ptr<entry::Listener> MetricsDoor;
  std::chrono::steady_clock::time_point StopAt{};
  bool Stopping = false;
};

} // namespace savorytrestle::serve

#endif
