#include "serve/Node.h"

#include "entry/Answers.h"
#include "platform/Headers.h"
#include "support/BeastText.h"
#include "support/Log.h"
#include "support/SocketOptions.h"
#include "support/Version.h"

namespace savorytrestle::serve {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;
using Endpoint = boost::asio::ip::tcp::endpoint;

namespace {

/// Time from the stop signal in which the balancer notices that the host isn't
/// ready: two questions, one a second, and the way there.
constexpr milliseconds BalancerNotices{2600};
/// Kept of the grace for the process's own end.
constexpr milliseconds EndReserve{300};
constexpr milliseconds IdlePoll{50};
/// The settings file may change without a signal.
constexpr milliseconds FileCheckInterval{5000};

core::RetryBudgetRule budgetRule(const NodeConfig &config) {
  return {config.RetryRatio, config.RetryAllowance, config.RetryWindow};
}

} // namespace

Node::Node(NodeConfig config, std::string configFile)
    : Config(std::move(config)), ConfigFile(std::move(configFile)),
      Signals(Io, SIGTERM, SIGINT, SIGHUP), StopTimer(Io), FileTimer(Io),
      Leaves(Io, {Config.FailureDomain, Config.Regions}, budgetRule(Config)),
      Router(Io, Leaves, Counts, platform::headerNames()),
      CallerContext(std::make_shared<entry::SessionContext>()),
      OwnContext(std::make_shared<entry::SessionContext>()),
      PeerContext(std::make_shared<entry::SessionContext>()) {
  CallerContext->OnRequest = [this](auto request, auto respond) {
    return Router.handle(std::move(request), std::move(respond));
  };
  OwnContext->OnRequest = [this](const entry::CallerRequest &request,
                                 const entry::AnswerHandler &respond) {
    const bool asksReadiness = request.target() == platform::ReadinessPath;
    respond(asksReadiness ? readiness() : metrics());
    return entry::CancelHandler();
  };
  PeerContext->OnRequest = [this](const entry::CallerRequest &request,
                                  entry::AnswerHandler respond) {
    return Passing->handle(support::text(request.target()), std::move(respond));
  };
}

core::Result<void> Node::run() {
  Endpoint store;
  if (!support::parseEndpoint(Config.StoreAddress, store))
    return core::makeError(core::ErrorCode::InvalidSettings,
                           Config.StoreAddress + ": not an address");
  if (auto open = openListeners(); !open)
    return open;
  support::LogLine("start")
      .with("host", Config.Id)
      .with("failure_domain", Config.FailureDomain)
      .with("program", support::Version)
      .with("callers", Config.CallerAddress);
  startFeeds(store);
  std::error_code ec; // a file that can't be looked at is read on SIGHUP only
  FileWritten = std::filesystem::last_write_time(ConfigFile, ec);
  watchConfigFile();
  waitForSignal();
  Io.run();
  support::LogLine("stopped")
      .with("host", Config.Id)
      .with("log_lines_dropped", support::droppedLines());
  return {};
}

core::Result<void> Node::openListeners() {
  Callers = std::make_shared<entry::Listener>(Io, CallerContext);
  Readiness = std::make_shared<entry::Listener>(Io, OwnContext);
  if (auto open = Callers->open(Config.CallerAddress); !open)
    return open;
  if (auto open = Readiness->open(Config.ReadinessAddress); !open)
    return open;
  if (!Config.PeerAddress.empty()) {
    PeerDoor = std::make_shared<entry::Listener>(Io, PeerContext);
    if (auto open = PeerDoor->open(Config.PeerAddress); !open)
      return open;
  }
  if (Config.MetricsAddress.empty())
    return {};
  MetricsDoor = std::make_shared<entry::Listener>(Io, OwnContext);
  return MetricsDoor->open(Config.MetricsAddress);
}

void Node::startFeeds(const Endpoint &store) {
  Mirror = std::make_shared<registry::StoreMirror>(
      Io, store, core::FeedTiming(Config.ConfigApplyTime));
  Configs = std::make_shared<registry::ConfigFeed>([this](const auto &config) {
    Leaves.applyConfig(*config);
    Router.setConfig(config);
    CallerContext->Limits = config->Limits;
  });
  Entries = std::make_shared<registry::LeafFeed>(Io, Leaves);
  Hosts = std::make_shared<registry::HostFeed>(
      Io, Config.Id, [this](const auto &hosts) { onHosts(hosts); },
      [this](const auto &records) {
        Router.crashTracker().merge(records, SteadyClock::now());
      });
  Passing = std::make_shared<registry::FeedDoor>(Io, Mirror);
  // Leaves first: a configuration that is in force finds its services' leaves.
  Entries->start(*Mirror);
  Configs->start(*Mirror);
  Hosts->start(*Mirror);
  Passing->start();
  Mirror->setSeeds(seeds());
  Mirror->start();
  Presence = std::make_shared<registry::HostPresence>(
      Io, store,
      registry::HostEntry{Config.Id, Config.FailureDomain, Config.CallerAddress,
                          Config.PeerAddress});
  Presence->start();
  Router.crashTracker().onRecords(
      [this](const auto &records) { Presence->tell(records); });
}

void Node::onHosts(const registry::HostsKnown &hosts) {
  Leaves.setHostCounts(hosts.InDomain);
  std::vector<core::LeafEntry> peers;
  for (const registry::HostEntry &host : hosts.There)
    if (host.Id != Config.Id) {
      core::LeafEntry peer;
      peer.Id = host.Id;
      peer.Address = host.Callers;
      peer.FailureDomain = host.FailureDomain;
      peers.push_back(std::move(peer));
    }
  Leaves.setPeers(peers);
  Mirror->setHosts(feedHosts(hosts.There));
}

registry::MirrorHosts
Node::feedHosts(const std::vector<registry::HostEntry> &there) const {
  std::vector<core::FeedHost> hosts;
  std::map<std::string, Endpoint> addresses;
  for (const registry::HostEntry &host : there)
    if (Endpoint address; support::parseEndpoint(host.Peers, address)) {
      hosts.push_back({host.Id, host.FailureDomain});
      addresses[host.Id] = address;
    }
  const auto plan =
      core::planFeed({Config.Id, Config.FailureDomain}, Config.Regions, hosts);
  registry::MirrorHosts feed;
  for (const std::string &id : plan.PreferredSources)
    feed.Before.push_back(addresses[id]);
  for (const std::string &id : plan.FallbackSources)
    feed.After.push_back(addresses[id]);
  feed.PassesOn = plan.ServesOthers;
  if (addresses.empty())
    feed.After = seeds();
  return feed;
}

std::vector<Endpoint> Node::seeds() const {
  std::vector<Endpoint> seeds;
  for (const std::string &text : Config.SeedAddresses)
    if (Endpoint address;
        text != Config.PeerAddress && support::parseEndpoint(text, address))
      seeds.push_back(address);
  return seeds;
}

bool Node::ready() const {
  return !Stopping && Configs->current() && Entries->known();
}

entry::CallerAnswer Node::readiness() const {
  return ready() ? entry::textAnswer(http::status::ok, "ready\n")
                 : entry::textAnswer(http::status::service_unavailable,
                                     Stopping ? "stopping\n" : "starting\n");
}

entry::CallerAnswer Node::metrics() {
  const auto &config = Configs->current();
  Counts.setGauge("savorytrestle_config_version",
                  "Version of the configuration in force.",
                  config ? static_cast<double>(config->Version) : 0);
  Counts.setGauge("savorytrestle_caller_connections",
                  "Open connections of callers.",
                  static_cast<double>(Callers->connectionCount()));
  Counts.setGauge("savorytrestle_log_lines_dropped",
                  "Log lines dropped for want of a reader.",
                  static_cast<double>(support::droppedLines()));
  return entry::textAnswer(http::status::ok, Counts.text());
}

void Node::waitForSignal() {
  Signals.async_wait([this](const boost::system::error_code &ec, int signal) {
    if (ec)
      return;
    if (signal == SIGHUP)
      reload();
    else if (!Stopping)
      stop();
    waitForSignal();
  });
}

void Node::reload() {
  auto config = loadNodeConfig(ConfigFile);
  if (!config) {
    support::LogLine("reload_refused").with("why", config.error().Message);
    return;
  }
  // Listeners, the store and the host's place are fixed for a process's life.
  const bool restart = config->CallerAddress != Config.CallerAddress ||
                       config->ReadinessAddress != Config.ReadinessAddress ||
                       config->StoreAddress != Config.StoreAddress ||
                       config->FailureDomain != Config.FailureDomain;
  Config.StopGrace = config->StopGrace;
  Config.RetryRatio = config->RetryRatio;
  Config.RetryAllowance = config->RetryAllowance;
  Config.RetryWindow = config->RetryWindow;
  Leaves.setBudgetRule(budgetRule(Config));
  support::LogLine("reload")
      .with("host", Config.Id)
      .with("retry_extra", Config.RetryAllowance)
      .with("stop_grace", Config.StopGrace)
      .with("restart_needed", restart ? 1 : 0);
}

void Node::watchConfigFile() {
  std::error_code ec;
  const auto written = std::filesystem::last_write_time(ConfigFile, ec);
  if (!ec && written != FileWritten) {
    FileWritten = written;
    reload();
  }
  FileTimer.expires_after(FileCheckInterval);
  FileTimer.async_wait([this](const boost::system::error_code &error) {
    if (!error)
      watchConfigFile();
  });
}

void Node::stop() {
  Stopping = true;
  StopAt = SteadyClock::now() + Config.StopGrace - EndReserve;
  CallerContext->Draining = true;
  Presence->stop();
  support::LogLine("stop")
      .with("host", Config.Id)
      .with("busy", Callers->busyConnections())
      .with("grace", Config.StopGrace);
  const auto notices =
      std::min<milliseconds>(BalancerNotices, Config.StopGrace / 2);
  StopTimer.expires_after(notices);
  StopTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      closeDoors();
  });
}

void Node::closeDoors() {
  Callers->stopAccepting();
  Callers->closeIdleConnections();
  finishWhenIdle();
}

void Node::finishWhenIdle() {
  const auto busy = Callers->busyConnections();
  if (busy == 0 || SteadyClock::now() >= StopAt) {
    support::LogLine("stopping_now").with("busy", busy);
    Io.stop();
    return;
  }
  StopTimer.expires_after(IdlePoll);
  StopTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      finishWhenIdle();
  });
}

} // namespace savorytrestle::serve
