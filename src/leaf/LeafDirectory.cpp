#include "leaf/LeafDirectory.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "leaf/LeafChoice.h"
#include "support/Log.h"
#include "support/SocketOptions.h"

namespace savorytrestle::leaf {

using SteadyClock = std::chrono::steady_clock;

namespace {

/// Number of hosts assumed until the store's list of hosts has been read.
constexpr std::size_t AssumedHosts = 8;
/// Number of them in this host's failure domain.
constexpr std::size_t AssumedOwnDomainHosts = 3;
/// Time within which hosts that start together have registered in the store.
constexpr std::chrono::milliseconds JointStartPeriod{2500};
/// Time after which the list also holds the hosts whose entries had lapsed and
/// are written again, as after an outage of the store.
constexpr std::chrono::milliseconds HostListPeriod{5000};
/// Shares of a leaf's connections and of its rate limit for the hosts of its
/// failure domain, which send it most of its requests, and for all other hosts.
/// The rest is reserved for hosts that aren't in the list yet.
constexpr double OwnDomainShare = 0.5;
constexpr double OtherDomainShare = 0.35;
/// Longest time for which a leaf's demands are kept without an entry, and most
/// leaves of which they are.
constexpr std::chrono::minutes MaxDemandAge{10};
constexpr std::size_t MaxKeptDemands = 4096;
/// Time from an answer that names a rate limit until other hosts have read of
/// it in the store.
constexpr std::chrono::milliseconds PublishDelay{3000};

/// Connections to each other host; a leaf's limits don't apply to hosts.
constexpr int PeerConnections = 32;

void eraseLeaf(std::vector<std::shared_ptr<Leaf>> &leaves, const Leaf *leaf) {
  leaves.erase(
      std::remove_if(leaves.begin(), leaves.end(),
                     [leaf](const auto &it) { return it.get() == leaf; }),
      leaves.end());
}

} // namespace

LeafDirectory::LeafDirectory(boost::asio::io_context &io, HostLocation location,
                             core::RetryBudgetRule rule)
    : Io(io), JointStartTimer(io), Location(std::move(location)),
      BudgetRule(rule), Endings(io), HostCount(AssumedHosts),
      OwnDomainHostCount(AssumedOwnDomainHosts), StartTime(SteadyClock::now()),
      Random(std::random_device{}()) {}

void LeafDirectory::setBudgetRule(const core::RetryBudgetRule &rule) {
  BudgetRule = rule;
  for (const auto &[name, service] : Services)
    service->RetryBudget.setRule(rule);
}

Service &LeafDirectory::service(const std::string &name) {
  auto &service = Services[name];
  if (!service) {
    service = std::make_unique<Service>();
    service->Name = name;
    service->RetryBudget = core::SharedRetryBudget(BudgetRule);
    setBudgetShare(*service);
    if (SteadyClock::now() - StartTime > BudgetRule.Window)
      service->RetryBudget.fill();
  }
  return *service;
}

const Service *LeafDirectory::findService(const std::string &name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second.get();
}

void LeafDirectory::applyConfig(const core::ServingConfig &config) {
  ServiceRules = config.Services;
  for (const core::ServiceRule &rule : config.Services) {
    Service &known = service(rule.Name);
    known.MaxConnections = rule.MaxConnections;
    setColdRule(known, rule);
    for (const auto &leaf : known.Leaves)
      setShares(known, *leaf);
  }
}

void LeafDirectory::putLeaf(const core::LeafEntry &entry) {
  ++Generation;
  const core::LeafRun run{entry.Id, entry.Address, entry.StartedAt};
  Endings.onRunSeen(run);
  if (entry.Draining)
    Departed.add(run);
  if (const auto it = ById.find(entry.Id); it != ById.end()) {
    const core::LeafEntry &known = it->second->entry();
    if (known.Address == entry.Address && known.Service == entry.Service &&
        known.StartedAt == entry.StartedAt) {
      it->second->update(entry);
      applyDomain(*it->second);
      return;
    }
    // Another run has taken its place.
    if (const auto ending = it->second->watchedEnding();
        ending && !Departed.contains(it->second->run()))
      ending->Sign = LeafSign::Ended;
    removeLeaf(entry.Id);
  }
  boost::asio::ip::tcp::endpoint address;
  if (!support::parseEndpoint(entry.Address, address)) {
    support::LogLine("leaf_entry_skipped")
        .with("leaf", entry.Id)
        .with("why", "address");
    return;
  }
  auto leaf = std::make_shared<Leaf>(Io, entry, address,
                                     distanceTo(entry.FailureDomain), Memory);
  applyDomain(*leaf);
  if (Departed.contains(run))
    leaf->retire();
  if (const auto it = DemandsByRun.find(run); it != DemandsByRun.end()) {
    leaf->restoreDemands(it->second.Demands);
    DemandsByRun.erase(it);
  }
  if (const auto it = PublishedLimits.find(run); it != PublishedLimits.end()) {
    leaf->rateLimit().set(it->second, SteadyClock::now());
    logRateLimit(*leaf, "host");
  }
  leaf->onUnexpectedClose([this, weak = std::weak_ptr(leaf)] {
    if (const auto it = weak.lock())
      checkEnding(*it);
  });
  Service &owner = service(entry.Service);
  setShares(owner, *leaf);
  owner.Leaves.push_back(leaf);
  setBudgetShare(owner);
  ById.emplace(entry.Id, std::move(leaf));
}

void LeafDirectory::removeLeaf(const std::string &id) {
  const auto it = ById.find(id);
  if (it == ById.end())
    return;
  ++Generation;
  Endings.onEnded(it->second->run());
  // Its process may go on for a while.
  checkEnding(*it->second);
  keepDemands(*it->second);
  it->second->retire();
  eraseLeaf(service(it->second->entry().Service).Leaves, it->second.get());
  ById.erase(it);
}

void LeafDirectory::keepDemands(const Leaf &leaf) {
  const auto now = SteadyClock::now();
  std::erase_if(DemandsByRun, [now](const auto &it) {
    return now - it.second.RemovedAt > MaxDemandAge;
  });
  const bool asked = leaf.silence().end() > now ||
                     leaf.rateLimit().limit().has_value() ||
                     leaf.cold().isBound(now);
  if (asked && DemandsByRun.size() < MaxKeptDemands)
    DemandsByRun[leaf.run()] = {leaf.demands(), now};
}

void LeafDirectory::logRateLimit(const Leaf &leaf, const char *foundBy) {
  if (!DemandLog.allowLine(SteadyClock::now()))
    return;
  const auto limit = leaf.rateLimit().limit();
  support::LogLine line("leaf_rate_limit");
  line.with("leaf", leaf.entry().Id).with("service", leaf.entry().Service);
  if (limit)
    line.with("limit", *limit);
  line.with("limited", limit ? 1 : 0).with("found_by", foundBy);
}

void LeafDirectory::onReplaced(Leaf &leaf) {
  Endings.onEnded(leaf.run());
  if (const auto ending = leaf.watchedEnding();
      ending && !Departed.contains(leaf.run()))
    ending->Sign = LeafSign::Ended;
  leaf.retire();
}

void LeafDirectory::checkEnding(Leaf &leaf, core::TimePoint until) {
  // The process of a leaf that is leaving ends anyway.
  if (const auto ending = leaf.watchedEnding();
      ending && !Departed.contains(leaf.run()))
    Endings.check(ending, leaf.address(), until);
}

std::shared_ptr<const SuspectedLeaf> LeafDirectory::suspectEnding(Leaf &leaf) {
  checkEnding(leaf);
  const auto it = ById.find(leaf.entry().Id);
  const bool replaced =
      it == ById.end()
          ? std::any_of(ById.begin(), ById.end(),
                        [&](const auto &other) {
                          return other.second->address() == leaf.address();
                        })
          : it->second->run() != leaf.run();
  return Endings.suspect(leaf.run(), leaf.address(), replaced);
}

void LeafDirectory::markLeaving(Leaf &leaf) {
  const core::LeafRun run = leaf.run();
  leaf.retire();
  if (!Departed.add(run))
    return;
  ++Generation;
  support::LogLine("leaf_leaving")
      .with("leaf", run.Id)
      .with("service", leaf.entry().Service)
      .with("found_by", "answer");
  if (OnLeaving)
    OnLeaving(run);
}

void LeafDirectory::markDeparted(const core::LeafRun &run) {
  if (!Departed.add(run))
    return;
  const auto it = ById.find(run.Id);
  if (it == ById.end() || it->second->run() != run)
    return;
  ++Generation;
  it->second->retire();
  support::LogLine("leaf_leaving")
      .with("leaf", run.Id)
      .with("service", it->second->entry().Service)
      .with("found_by", "host");
}

bool LeafDirectory::listedAsReady(const core::LeafRun &run) const {
  const auto it = ById.find(run.Id);
  return it != ById.end() && it->second->run() == run &&
         !it->second->entry().Draining;
}

void LeafDirectory::pauseLeaf(Leaf &leaf, core::Duration wait) {
  const auto now = SteadyClock::now();
  leaf.pause(now, wait, draw());
  if (DemandLog.allowLine(now))
    support::LogLine("leaf_paused")
        .with("leaf", leaf.entry().Id)
        .with("service", leaf.entry().Service)
        .with("wait", std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void LeafDirectory::applyRateLimit(Leaf &leaf,
                                   std::optional<double> perSecond) {
  const auto now = SteadyClock::now();
  core::LeafRateLimit &limit = leaf.rateLimit();
  if (const auto use = limit.takeUse(now))
    support::LogLine("leaf_rate")
        .with("leaf", leaf.entry().Id)
        .with("service", leaf.entry().Service)
        .with("limit", *limit.limit())
        .with("sent", use->Sent)
        .with("period", use->Period);
  const bool changed = limit.limit() != perSecond;
  limit.observe(perSecond, now);
  if (!changed)
    return;
  logRateLimit(leaf, "answer");
  if (OnRateLimit)
    OnRateLimit(leaf.run());
}

void LeafDirectory::applyPublishedRateLimit(const core::LeafRun &run,
                                            std::optional<double> perSecond) {
  if (perSecond)
    PublishedLimits[run] = *perSecond;
  else
    PublishedLimits.erase(run);
  const auto now = SteadyClock::now();
  const auto it = ById.find(run.Id);
  if (it == ById.end() || it->second->run() != run)
    return;
  core::LeafRateLimit &limit = it->second->rateLimit();
  // What is published has been on its way for about this time.
  if ((limit.observedAt() != core::TimePoint{} &&
       now - limit.observedAt() < PublishDelay) ||
      limit.limit() == perSecond)
    return;
  limit.set(perSecond, now);
  logRateLimit(*it->second, "host");
}

std::optional<double>
LeafDirectory::observedRateLimit(const core::LeafRun &run) const {
  const auto it = ById.find(run.Id);
  if (it == ById.end() || it->second->run() != run ||
      it->second->rateLimit().observedAt() == core::TimePoint{})
    return std::nullopt;
  return it->second->rateLimit().limit();
}

std::vector<boost::asio::ip::tcp::endpoint>
LeafDirectory::sampleAddresses(std::size_t count) {
  std::vector<boost::asio::ip::tcp::endpoint> all;
  for (const auto &[id, leaf] : ById)
    if (!id.starts_with(PeerServicePrefix) && !leaf->retired())
      all.push_back(leaf->address());
  std::vector<boost::asio::ip::tcp::endpoint> sample;
  std::sample(all.begin(), all.end(), std::back_inserter(sample), count,
              Random);
  return sample;
}

std::size_t LeafDirectory::limitedLeafCount() const {
  return static_cast<std::size_t>(
      std::count_if(ById.begin(), ById.end(), [](const auto &it) {
        return it.second->rateLimit().limit().has_value();
      }));
}

double LeafDirectory::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::vector<std::pair<std::string, core::LeafReport>>
LeafDirectory::takeReports(core::TimePoint now) {
  std::vector<std::pair<std::string, core::LeafReport>> reports;
  for (const auto &[id, leaf] : ById)
    if (!id.starts_with(PeerServicePrefix))
      if (const auto report = leaf->score().takeReport(now))
        reports.emplace_back(id, *report);
  return reports;
}

void LeafDirectory::applyReport(const std::string &id,
                                const core::LeafReport &report,
                                core::TimePoint at) {
  if (const auto it = ById.find(id); it != ById.end())
    it->second->score().onReport(report, at);
}

bool LeafDirectory::acceptsRequests(const std::string &id) const {
  const auto it = ById.find(id);
  return it != ById.end() && !it->second->retired();
}

std::optional<core::LeafRun> LeafDirectory::runOf(const std::string &id) const {
  const auto it = ById.find(id);
  if (it == ById.end())
    return std::nullopt;
  return it->second->run();
}

std::vector<std::string> LeafDirectory::leafIds() const {
  std::vector<std::string> ids;
  for (const auto &[id, leaf] : ById)
    if (!id.starts_with(PeerServicePrefix))
      ids.push_back(id);
  return ids;
}

std::vector<std::string>
LeafDirectory::idsWithPrefix(const std::string &prefix) const {
  std::vector<std::string> ids;
  for (const auto &[id, leaf] : ById)
    if (id.starts_with(prefix))
      ids.push_back(id);
  return ids;
}

Service &LeafDirectory::peersOf(const std::string &failureDomain) {
  Service &peers = service(PeerServicePrefix + failureDomain);
  return peers;
}

Service *
LeafDirectory::reachablePeers(const core::HomeRegions &homes,
                              const std::vector<const Service *> &tried) {
  const auto now = SteadyClock::now();
  std::vector<Service *> peers;
  std::vector<core::ForwardDomain> domains;
  for (const auto &[name, service] : Services) {
    if (!name.starts_with(PeerServicePrefix))
      continue;
    const auto domain = name.substr(PeerServicePrefix.size());
    core::ForwardDomain hosts;
    hosts.Distance = distanceTo(domain);
    hosts.WithoutLeaves = domain == Location.FailureDomain ? 1 : 0;
    for (const auto &host : service->Leaves) {
      hosts.Available +=
          acceptsNow(*host, now) && homes.allows(host->region()) ? 1 : 0;
      hosts.WithoutLeaves += host->available() ? 0 : 1;
    }
    hosts.Tried =
        std::find(tried.begin(), tried.end(), service.get()) != tried.end();
    peers.push_back(service.get());
    domains.push_back(hosts);
  }
  const auto chosen = core::chooseForwardDomain(domains, draw());
  return chosen ? peers[*chosen] : nullptr;
}

void LeafDirectory::closeIdleConnections() {
  for (const auto &[id, leaf] : ById)
    if (!id.starts_with(PeerServicePrefix))
      leaf->closeIdleConnections();
}

void LeafDirectory::setPeers(const std::vector<core::LeafEntry> &hosts,
                             const std::set<std::string> &withoutLeaves,
                             const std::set<std::string> &withoutHomes) {
  std::set<std::string> present;
  for (core::LeafEntry host : hosts) {
    host.Service = peersOf(host.FailureDomain).Name;
    host.Slots = PeerConnections;
    const bool available = withoutLeaves.count(host.Id) == 0;
    const bool keepsHomes = withoutHomes.count(host.Id) == 0;
    host.Id = PeerServicePrefix + host.Id;
    present.insert(host.Id);
    putLeaf(host);
    if (const auto it = ById.find(host.Id); it != ById.end())
      it->second->setAvailable(available);
    if (const auto it = ById.find(host.Id); it != ById.end())
      it->second->setRegion(keepsHomes ? regionOf(host.FailureDomain) : "");
  }
  for (const std::string &id : idsWithPrefix(PeerServicePrefix))
    if (present.count(id) == 0)
      removeLeaf(id);
}

core::ShardDomains
LeafDirectory::nearbyDomains(const std::vector<std::string> &shards) const {
  core::ShardDomains near(shards.size());
  for (std::size_t i = 0; i < shards.size(); ++i) {
    const Service *const shard = findService(shards[i]);
    if (shard == nullptr)
      continue;
    for (const auto &leaf : shard->Leaves)
      if (leaf->acceptsRequests() &&
          distanceTo(leaf->entry().FailureDomain) != core::LeafDistance::Remote)
        near[i].insert(leaf->entry().FailureDomain);
  }
  return near;
}

void LeafDirectory::setHostCounts(
    std::map<std::string, std::size_t> hostsByDomain) {
  HostsByDomain = std::move(hostsByDomain);
  updateShares();
}

void LeafDirectory::updateShares() {
  HostCount = 0;
  for (const auto &[domain, hosts] : HostsByDomain)
    HostCount += hosts;
  OwnDomainHostCount =
      std::max<std::size_t>(1, HostsByDomain[Location.FailureDomain]);
  HostCount = std::max(HostCount, OwnDomainHostCount);
  // Hosts that start together aren't all listed yet; too small a number would
  // give each host too large a share.
  const bool jointStart = SteadyClock::now() - StartTime < JointStartPeriod;
  if (jointStart) {
    HostCount = std::max(HostCount, AssumedHosts);
    OwnDomainHostCount = std::max(OwnDomainHostCount, AssumedOwnDomainHosts);
  }
  if (!knowsHosts()) {
    JointStartTimer.expires_at(
        StartTime + (jointStart ? JointStartPeriod : HostListPeriod));
    JointStartTimer.async_wait([this](const boost::system::error_code &ec) {
      if (!ec)
        updateShares();
    });
  }
  for (const auto &[name, service] : Services) {
    setBudgetShare(*service);
    for (const auto &leaf : service->Leaves)
      setShares(*service, *leaf);
  }
}

void LeafDirectory::setBudgetShare(Service &service) const {
  const auto now = SteadyClock::now();
  for (const auto &leaf : service.Leaves)
    service.DomainLastSeen[leaf->entry().FailureDomain] = now;
  // A domain that has lost its leaves still counts for two windows, since its
  // hosts may have spent their shares of the budget within them.
  std::erase_if(service.DomainLastSeen, [&](const auto &it) {
    return now - it.second > 2 * BudgetRule.Window;
  });
  std::size_t nearHosts = 0;
  for (const auto &[domain, hosts] : HostsByDomain)
    if (service.DomainLastSeen.count(domain) > 0)
      nearHosts += hosts;
  service.RetryBudget.setHostCount(core::effectiveHostCount(
      service.DomainLastSeen.count(Location.FailureDomain) > 0, nearHosts,
      std::max(HostCount, nearHosts)));
}

bool LeafDirectory::knowsHosts() const {
  return !HostsByDomain.empty() &&
         SteadyClock::now() - StartTime >= HostListPeriod;
}

std::string LeafDirectory::regionOf(const std::string &failureDomain) const {
  const auto it = Location.Regions.find(failureDomain);
  return it == Location.Regions.end() ? "" : it->second;
}

core::LeafDistance
LeafDirectory::distanceTo(const std::string &failureDomain) const {
  if (failureDomain == Location.FailureDomain)
    return core::LeafDistance::SameDomain;
  const auto own = Location.Regions.find(Location.FailureDomain);
  const auto other = Location.Regions.find(failureDomain);
  const bool same = own != Location.Regions.end() &&
                    other != Location.Regions.end() &&
                    own->second == other->second;
  return same ? core::LeafDistance::SameRegion : core::LeafDistance::Remote;
}

double LeafDirectory::hostShare(const Leaf &leaf) const {
  const bool near = leaf.entry().FailureDomain == Location.FailureDomain;
  const std::size_t sharers =
      near ? OwnDomainHostCount
           : std::max<std::size_t>(1, HostCount - OwnDomainHostCount);
  return (near ? OwnDomainShare : OtherDomainShare) /
         static_cast<double>(sharers);
}

void LeafDirectory::setShares(const Service &service, Leaf &leaf) const {
  if (leaf.entry().Id.starts_with(PeerServicePrefix))
    return leaf.setMaxConnections(PeerConnections);
  const double share = hostShare(leaf);
  leaf.rateLimit().setShare(share);
  leaf.cold().setShare(core::coldLeafShare(share, knowsHosts()));
  leaf.cold().setRule(service.Cold, SteadyClock::now());
  if (service.MaxConnections > 0)
    leaf.setMaxConnections(
        std::max<std::size_t>(1, std::size_t(share * service.MaxConnections)));
}

} // namespace savorytrestle::leaf
