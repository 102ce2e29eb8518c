#include "serve/PlatformHost.h"

#include <algorithm>
#include <functional>
#include <random>

#include <absl/strings/str_cat.h>

#include "entry/Answers.h"
#include "entry/RelayRequest.h"
#include "entry/RequestExplanation.h"
#include "leaf/LoadSummary.h"
#include "platform/Headers.h"
#include "support/BeastStringView.h"
#include "support/Log.h"
#include "support/RunHandlers.h"
#include "support/SocketOptions.h"
#include "support/Version.h"

namespace savorytrestle::serve {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;
using Endpoint = boost::asio::ip::tcp::endpoint;

namespace {

/// Time after the stop signal until the balancer has seen that the host isn't
/// ready: two readiness checks, one a second, and their network delay.
constexpr milliseconds BalancerNoticeTime{2600};
/// Part of the stop grace reserved for the exit of the process.
constexpr milliseconds ExitReserve{300};
/// Part of it in which the answers to requests that it ends are sent.
constexpr milliseconds LastAnswerTime{150};
constexpr milliseconds IdlePollInterval{50};
/// The settings file is also reloaded when it changes without a SIGHUP.
constexpr milliseconds FileCheckInterval{5000};

/// The hosts of a fleet that starts have registered, and callers don't come,
/// within this time.
constexpr milliseconds FleetStartTime{12000};

/// Headers that a relay adds to a caller's request.
constexpr std::size_t RelayHeaderBytes = 4096;
/// Holds the largest report on leaves.
constexpr std::size_t MinPeerBodyBytes = 256 << 10;

core::RetryBudgetRule retryBudgetRule(const PlatformHostConfig &config) {
  return {config.RetryRatio, config.RetryExtraPerWindow, config.RetryWindow};
}

} // namespace

PlatformHost::PlatformHost(PlatformHostConfig config, std::string configFile)
    : Config(std::move(config)), ConfigFile(std::move(configFile)),
      Signals(Io, SIGTERM, SIGINT, SIGHUP), StopTimer(Io), ConfigFileTimer(Io),
      Leaves(Io, {Config.FailureDomain, Config.Regions},
             retryBudgetRule(Config)),
      Router(Io, Leaves, HostMetrics, platform::headerNames()),
      CallerContext(std::make_shared<entry::SessionContext>()),
      StatusContext(std::make_shared<entry::SessionContext>()),
      PeerContext(std::make_shared<entry::SessionContext>()) {
  Leaves.setAnswerLimits(Config.Answers);
  Leaves.setColdBounds(Config.Cold);
  Leaves.setAdmitsByLoad(Config.AdmitsByLoad);
  // Hosts of earlier versions send relays to the callers' listener.
  CallerContext->OnRequestFrom = [this](auto request, const auto &from,
                                        auto respond) {
    return entry::isRelay(request) && isHost(from)
               ? Router.handleRelay(std::move(request), std::move(respond))
               : Router.handle(std::move(request), std::move(respond));
  };
  StatusContext->OnRequest = [this](const entry::CallerRequest &request,
                                    const entry::AnswerHandler &respond) {
    const std::string_view target = support::toStringView(request.target());
    if (entry::isExplain(target)) {
      respond(entry::answerExplain(Configs->current().get(), Leaves, target));
      return entry::CancelHandler();
    }
    const bool isReadinessCheck = request.target() == platform::ReadinessPath;
    respond(isReadinessCheck ? readiness() : metrics());
    return entry::CancelHandler();
  };
  PeerContext->OnRequestFrom = [this](auto request, const auto &from,
                                      auto respond) {
    return handleHostRequest(std::move(request), from, std::move(respond));
  };
}

entry::CancelHandler
PlatformHost::handleHostRequest(entry::CallerRequest request,
                                const boost::asio::ip::address &from,
                                entry::AnswerHandler respond) {
  const auto target = support::toStringView(request.target());
  const bool relay = entry::isRelay(request);
  const bool report = registry::LeafExchange::isReport(target);
  const bool rates = registry::RateExchange::isRates(target);
  // A host that starts reads the feed before it has an entry.
  if (!relay && !report && !rates)
    return PeerFeed->handle(target, std::move(respond));
  if (!isHost(from)) {
    if (RefusalLog.allowLine(SteadyClock::now()))
      support::LogLine("host_request_refused")
          .with("from", from.to_string())
          .with("why", "no host has the address");
    respond(entry::errorAnswer(http::status::service_unavailable,
                               "sender has no entry as a host"));
    return nullptr;
  }
  if (relay)
    return Router.handleRelay(std::move(request), std::move(respond));
  if (rates)
    respond(Rates->handle(request.body()));
  else
    respond(Exchange->handle(request.body()));
  return nullptr;
}

core::Result<void> PlatformHost::run() {
  Endpoint store;
  if (!support::parseEndpoint(Config.StoreAddress, store))
    return core::makeError(
        core::ErrorCode::InvalidSettings,
        Config.StoreAddress +
            ": platform.store is not an address such as 127.0.0.1:8080");
  if (auto opened = openListeners(); !opened)
    return opened;
  support::LogLine("start")
      .with("host", Config.Id)
      .with("failure_domain", Config.FailureDomain)
      .with("program", support::Version)
      .with("callers", Config.CallerAddress);
  startFeeds(store);
  std::error_code
      ec; // without a write time the file is reloaded on SIGHUP only
  ConfigFileWritten = std::filesystem::last_write_time(ConfigFile, ec);
  pollConfigFile();
  waitForSignal();
  support::runHandlers(Io);
  support::LogLine("stopped")
      .with("host", Config.Id)
      .with("log_lines_dropped", support::droppedLogLines());
  return {};
}

core::Result<void> PlatformHost::openListeners() {
  CallerListener = std::make_shared<entry::Listener>(Io, CallerContext);
  ReadinessListener = std::make_shared<entry::Listener>(Io, StatusContext);
  if (auto opened = CallerListener->open(Config.CallerAddress); !opened)
    return opened;
  if (auto opened = ReadinessListener->open(Config.ReadinessAddress); !opened)
    return opened;
  if (!Config.PeerAddress.empty()) {
    PeerListener = std::make_shared<entry::Listener>(Io, PeerContext);
    if (auto opened = PeerListener->open(Config.PeerAddress); !opened)
      return opened;
  }
  if (Config.MetricsAddress.empty())
    return {};
  MetricsListener = std::make_shared<entry::Listener>(Io, StatusContext);
  return MetricsListener->open(Config.MetricsAddress);
}

void PlatformHost::startFeeds(const Endpoint &store) {
  Mirror = std::make_shared<registry::StoreMirror>(
      Io, store,
      core::FeedTiming(std::min(Config.ConfigApplyTime, Config.EvacuationTime),
                       Config.StabilityTime),
      Eras);
  Configs = std::make_shared<registry::ConfigFeed>([this](const auto &config) {
    Leaves.applyConfig(*config);
    Router.setConfig(config);
    if (const bool workspaces = config->Workspaces.has_value();
        std::exchange(HasWorkspaces, workspaces) != workspaces)
      setPeers();
    CallerContext->Limits = config->Limits;
    PeerContext->Limits.MaxHeaderBytes =
        config->Limits.MaxHeaderBytes + RelayHeaderBytes;
    PeerContext->Limits.MaxBodyBytes =
        std::max(config->Limits.MaxBodyBytes, MinPeerBodyBytes);
  });
  LeafEntries = std::make_shared<registry::LeafFeed>(Io, Leaves);
  Evacuations = std::make_shared<registry::EvacuationFeed>(
      [this](const std::string &domain, bool evacuated) {
        Leaves.setEvacuated(domain, evacuated);
      });
  Hosts = std::make_shared<registry::HostFeed>(
      Io, Config.Id, [this](const auto &hosts) { applyHosts(hosts); },
      [this](const registry::HostEntry &entry) {
        if (!entry.ReadsCrashRuns)
          Router.crashTracker().addRecords(entry.QuarantineRecords,
                                           SteadyClock::now());
        Departures->onPublished(entry.LeavingLeaves);
        RateLimits->onPublished(entry.Id,
                                {entry.RateLimits, entry.EndedRateLimits});
      });
  startNotices();
  PeerFeed = std::make_shared<registry::FeedServer>(Io, Mirror);
  Exchange = std::make_shared<registry::LeafExchange>(Io, Leaves, Config.Id);
  Exchange->start();
  startQuotas();
  // Starts the leaf feed first, so that the leaves of a configuration's
  // services are known when it comes into force, and before it that of
  // evacuations, so that none of their leaves gets a request, and that of
  // requests that crash leaves.
  startCrashRuns(store);
  Evacuations->start(*Mirror);
  LeafEntries->start(*Mirror);
  Configs->start(*Mirror);
  Hosts->start(*Mirror);
  PeerFeed->start();
  setSeeds();
  Mirror->start();
  Presence = std::make_shared<registry::HostPresence>(
      Io, store,
      registry::HostEntry{Config.Id, Config.FailureDomain, Config.CallerAddress,
                          Config.PeerAddress},
      Eras);
  Presence->start();
}

void PlatformHost::startCrashRuns(const Endpoint &store) {
  entry::CrashTracker &tracker = Router.crashTracker();
  CrashRuns = std::make_shared<registry::CrashFeed>(
      Io, store, Eras,
      [this, &tracker](const core::FatalRun &run) {
        tracker.addHeard(run, SteadyClock::now());
        publishCrashRecords();
      },
      [&tracker](const core::FatalRun &run) {
        tracker.removeHeard(run.RequestFingerprint, run.Id, run.FirstRound);
      },
      [&tracker](const auto &request) { return tracker.remembers(request); });
  tracker.onFound(
      [this](const core::FatalRun &run) {
        CrashRuns->publish(run);
        publishCrashRecords();
      },
      [this](const std::vector<core::FatalRun> &runs) {
        CrashRuns->withdraw(runs);
        publishCrashRecords();
      });
  CrashRuns->start(*Mirror);
  // After the runs: a record that closes a trial comes with the trial's run.
  startTrials(store);
}

void PlatformHost::startTrials(const Endpoint &store) {
  entry::CrashTracker &tracker = Router.crashTracker();
  // A process that starts again doesn't know the trials of the one before.
  tracker.trials().setOwnHost(
      absl::StrCat(Config.Id, "-", absl::Hex(std::random_device{}())));
  Trials = std::make_shared<registry::TrialFeed>(
      Io, store, Eras, tracker.trials(),
      [&tracker](const auto &request) { return tracker.remembers(request); });
  tracker.onTrial(
      [this](const core::TrialWrite &write, auto onReply) {
        Trials->write(write, std::move(onReply));
      },
      [this](const core::TrialWrite &write,
             const std::optional<core::FatalRun> &run,
             auto onReply) { Trials->close(write, run, std::move(onReply)); });
  Trials->start(*Mirror);
}

void PlatformHost::publishCrashRecords() {
  const auto &hosts = KnownHosts.LiveHosts;
  const bool needed =
      std::any_of(hosts.begin(), hosts.end(),
                  [](const auto &host) { return !host.ReadsCrashRuns; });
  if (Presence)
    Presence->setRecords(needed ? Router.crashTracker().records()
                                : std::vector<core::QuarantineRecord>{});
}

void PlatformHost::startNotices() {
  Departures = std::make_unique<registry::DepartureNotices>(
      Io, Leaves,
      [this](const auto &runs) { Presence->addLeavingLeaves(runs); });
  Leaves.onLeaving(
      [this](const core::LeafRun &run) { Departures->onLeaving(run); });
  RateLimits = std::make_unique<registry::RateLimitNotices>(
      Io, Leaves, [this](const registry::PublishedRateLimits &own) {
        Presence->setRateLimits(own.Limits, own.Ended);
      });
  Leaves.onRateLimit(
      [this](const core::LeafRun &run) { RateLimits->onObserved(run); });
  Prober = std::make_shared<leaf::LeafProber>(Io, Leaves, [this](bool lost) {
    Presence->setLeavesLost(lost);
    if (lost)
      Router.onLeavesLost();
  });
  Prober->start();
}

void PlatformHost::setPeers() {
  std::vector<core::LeafEntry> peers;
  std::set<std::string> withoutLeaves;
  std::set<std::string> withoutHomes;
  for (const registry::HostEntry &host : KnownHosts.LiveHosts) {
    // A host of an earlier version would serve a workspace's request without
    // its quota and regions.
    if (host.Id == Config.Id || (HasWorkspaces && !host.KeepsWorkspaces))
      continue;
    core::LeafEntry peer;
    peer.Id = host.Id;
    peer.Address =
        host.PeerAddress.empty() ? host.CallerAddress : host.PeerAddress;
    peer.FailureDomain = host.FailureDomain;
    peers.push_back(std::move(peer));
    if (host.LeavesLost)
      withoutLeaves.insert(host.Id);
    if (!host.KeepsWorkspaces)
      withoutHomes.insert(host.Id);
  }
  Leaves.setPeers(peers, withoutLeaves, withoutHomes);
}

void PlatformHost::applyHosts(const registry::KnownHosts &hosts) {
  KnownHosts = hosts;
  Leaves.setHostCounts(hosts.CountByDomain);
  Departures->setHostCount(hosts.LiveHosts.size());
  RateLimits->setHostCount(hosts.LiveHosts.size());
  Presence->setHostCount(hosts.LiveHosts.size());
  HostIps.clear();
  for (const registry::HostEntry &host : hosts.LiveHosts)
    for (const std::string &text : {host.CallerAddress, host.PeerAddress})
      if (Endpoint address; support::parseEndpoint(text, address))
        HostIps.insert(address.address());
  setPeers();
  publishCrashRecords();
  HostAddresses others;
  for (const registry::HostEntry &host : hosts.LiveHosts)
    if (Endpoint address; support::parseEndpoint(host.PeerAddress, address)) {
      others.Hosts.push_back({host.Id, host.FailureDomain});
      others.ById[host.Id] = address;
    }
  setCollectors(others);
  setRateHosts(others);
  Mirror->setPlan(planMirror(others));
}

void PlatformHost::setSeeds() {
  // Each host asks one seed first, so that the seeds share the others.
  auto seeds = seedEndpoints();
  const bool isSeed = seeds.size() < Config.SeedAddresses.size();
  if (!seeds.empty())
    std::rotate(seeds.begin(),
                seeds.begin() +
                    static_cast<long>(std::hash<std::string>()(Config.Id) %
                                      seeds.size()),
                seeds.end());
  Mirror->setSeeds(std::move(seeds), isSeed || !Config.FleetStarts);
}

void PlatformHost::startQuotas() {
  Quotas = std::make_shared<entry::QuotaGate>(Config.Id, Config.Quotas);
  Router.setQuotaGate(Quotas);
  Rates = std::make_shared<registry::RateExchange>(Io, Config.Id, Quotas);
  Rates->start();
}

void PlatformHost::setRateHosts(const HostAddresses &others) {
  const bool isFleetStart =
      Config.FleetStarts && SteadyClock::now() - StartedAt < FleetStartTime;
  Rates->setHosts(others.ById, isFleetStart);
}

registry::MirrorPlan
PlatformHost::planMirror(const HostAddresses &others) const {
  const auto plan = core::planFeed({Config.Id, Config.FailureDomain},
                                   Config.Regions, others.Hosts);
  registry::MirrorPlan feed;
  for (const std::string &id : plan.PreferredSources)
    feed.PreferredSources.push_back(others.ById.at(id));
  for (const std::string &id : plan.FallbackSources)
    feed.FallbackSources.push_back(others.ById.at(id));
  feed.ServesOthers = plan.ServesOthers;
  if (others.ById.empty())
    feed.FallbackSources = seedEndpoints();
  return feed;
}

void PlatformHost::setCollectors(const HostAddresses &others) {
  const auto collectors =
      core::planCollectors({Config.Id, Config.FailureDomain}, others.Hosts);
  std::vector<Endpoint> addresses;
  for (const std::string &id : collectors)
    if (const auto it = others.ById.find(id);
        id != Config.Id && it != others.ById.end())
      addresses.push_back(it->second);
  Exchange->setCollectors(addresses, !collectors.empty() &&
                                         collectors.front() == Config.Id);
}

std::vector<Endpoint> PlatformHost::seedEndpoints() const {
  std::vector<Endpoint> seeds;
  for (const std::string &text : Config.SeedAddresses)
    if (Endpoint address;
        text != Config.PeerAddress && support::parseEndpoint(text, address))
      seeds.push_back(address);
  return seeds;
}

bool PlatformHost::ready() const {
  return !Stopping && Configs->current() && LeafEntries->hasList();
}

entry::CallerAnswer PlatformHost::readiness() const {
  return ready() ? entry::textAnswer(http::status::ok, "ready\n")
                 : entry::textAnswer(http::status::service_unavailable,
                                     Stopping ? "stopping\n" : "starting\n");
}

void PlatformHost::setCrashMetrics() {
  HostMetrics.setGauge("savorytrestle_requests_quarantined",
                       "Requests refused since they crash leaves.",
                       static_cast<double>(Router.quarantinedCount()));
  HostMetrics.setGauge("savorytrestle_requests_on_probation",
                       "Requests refused while another run of them was tried.",
                       static_cast<double>(Router.probationCount()));
  HostMetrics.setGauge(
      "savorytrestle_crash_run_requests",
      "Requests in whose runs leaves have ended, on any host.",
      static_cast<double>(Router.crashTracker().requestCount()));
}

entry::CallerAnswer PlatformHost::metrics() {
  const auto &config = Configs->current();
  HostMetrics.setGauge("savorytrestle_config_version",
                       "Version of the configuration in force.",
                       config ? static_cast<double>(config->Version) : 0);
  HostMetrics.setGauge("savorytrestle_store_era",
                       "Era of the store; 0 if it states none.",
                       static_cast<double>(Eras->current().value_or(0)));
  HostMetrics.setGauge("savorytrestle_caller_connections",
                       "Open connections of callers.",
                       static_cast<double>(CallerListener->connectionCount()));
  HostMetrics.setGauge("savorytrestle_leaves_lost",
                       "1 while this host reaches no leaf.",
                       Leaves.link().lost() ? 1 : 0);
  HostMetrics.setGauge("savorytrestle_requests_forwarded",
                       "Requests sent to another host for want of leaves.",
                       static_cast<double>(Router.forwardCount()));
  HostMetrics.setGauge("savorytrestle_requests_unauthorized",
                       "Requests refused for want of a known key.",
                       static_cast<double>(Router.unauthorizedCount()));
  setCrashMetrics();
  HostMetrics.setGauge("savorytrestle_workspace_keys",
                       "Keys of all workspaces in force.",
                       static_cast<double>(Router.keyCount()));
  HostMetrics.setGauge("savorytrestle_limited_leaves",
                       "Leaves that name a limit of requests a second.",
                       static_cast<double>(Leaves.limitedLeafCount()));
  HostMetrics.setGauge("savorytrestle_evacuated_domains",
                       "Evacuated failure domains, whose leaves get nothing.",
                       static_cast<double>(Leaves.evacuatedDomainCount()));
  HostMetrics.setGauge("savorytrestle_cold_leaves",
                       "Leaves with fewer requests as they may be cold.",
                       static_cast<double>(Leaves.coldLeafCount()));
  HostMetrics.setGauge("savorytrestle_log_lines_dropped",
                       "Log lines dropped for want of a reader.",
                       static_cast<double>(support::droppedLogLines()));
  Quotas->writeMetrics(HostMetrics);
  if (config) {
    const auto load = leaf::summarizeLoad(Leaves, *config, SteadyClock::now());
    HostMetrics.setGauge("savorytrestle_other_hosts_load_per_slot",
                         "Requests of other hosts for each slot of the leaves, "
                         "as estimated from load reports.",
                         load.OthersPerSlot);
    HostMetrics.setGauge(
        "savorytrestle_leaf_report_age_seconds",
        "Mean age of the last load report of the leaves that sent one.",
        std::chrono::duration<double>(load.MeanReportAge).count());
    HostMetrics.setGauge("savorytrestle_leaves_without_load_report",
                         "Leaves that have not reported their load to this "
                         "host.",
                         static_cast<double>(load.Unreported));
  }
  return entry::textAnswer(http::status::ok, HostMetrics.text());
}

void PlatformHost::waitForSignal() {
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

void PlatformHost::reload() {
  auto config = loadPlatformHostConfig(ConfigFile);
  if (!config) {
    support::LogLine("reload_refused").with("why", config.error().Message);
    return;
  }
  // Listeners, store and failure domain are read at the start only.
  const bool restartNeeded =
      config->CallerAddress != Config.CallerAddress ||
      config->ReadinessAddress != Config.ReadinessAddress ||
      config->StoreAddress != Config.StoreAddress ||
      config->FailureDomain != Config.FailureDomain;
  Config.StopGrace = config->StopGrace;
  Config.RetryRatio = config->RetryRatio;
  Config.RetryExtraPerWindow = config->RetryExtraPerWindow;
  Config.RetryWindow = config->RetryWindow;
  Config.Answers = config->Answers;
  Config.Cold = config->Cold;
  Leaves.setBudgetRule(retryBudgetRule(Config));
  Leaves.setAnswerLimits(Config.Answers);
  Leaves.setColdBounds(Config.Cold);
  Config.AdmitsByLoad = config->AdmitsByLoad;
  Leaves.setAdmitsByLoad(Config.AdmitsByLoad);
  support::LogLine("reload")
      .with("host", Config.Id)
      .with("retry_extra", Config.RetryExtraPerWindow)
      .with("stop_grace", Config.StopGrace)
      .with("restart_needed", restartNeeded ? 1 : 0);
}

void PlatformHost::pollConfigFile() {
  std::error_code ec;
  const auto written = std::filesystem::last_write_time(ConfigFile, ec);
  if (!ec && written != ConfigFileWritten) {
    ConfigFileWritten = written;
    reload();
  }
  ConfigFileTimer.expires_after(FileCheckInterval);
  ConfigFileTimer.async_wait([this](const boost::system::error_code &error) {
    if (!error)
      pollConfigFile();
  });
}

void PlatformHost::stop() {
  Stopping = true;
  StopDeadline = SteadyClock::now() + Config.StopGrace - ExitReserve;
  CallerContext->Draining = true;
  PeerContext->Draining = true;
  Presence->stop();
  support::LogLine("stop")
      .with("host", Config.Id)
      .with("busy", CallerListener->busyConnections())
      .with("grace", Config.StopGrace);
  const auto noticeTime =
      std::min<milliseconds>(BalancerNoticeTime, Config.StopGrace / 2);
  StopTimer.expires_after(noticeTime);
  StopTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      stopAcceptingCallers();
  });
}

void PlatformHost::stopAcceptingCallers() {
  Router.refuseRelays();
  CallerListener->stopAccepting();
  CallerListener->closeIdleConnections();
  finishWhenIdle();
}

void PlatformHost::finishWhenIdle() {
  const auto busy = CallerListener->busyConnections() + Router.relaysInHand();
  const auto now = SteadyClock::now();
  if (busy == 0 || now >= StopDeadline + LastAnswerTime) {
    support::LogLine("stopping_now").with("busy", busy);
    Io.stop();
    return;
  }
  if (now >= StopDeadline)
    Router.endRuns();
  StopTimer.expires_after(IdlePollInterval);
  StopTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      finishWhenIdle();
  });
}

} // namespace savorytrestle::serve
