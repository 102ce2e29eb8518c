#include "serve/ControlPlane.h"

#include <random>

#include "hosts/StoreReader.h"
#include "operators/SettingsManifest.h"
#include "support/Log.h"

namespace savorytrestle::serve {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds HostListInterval{1000};
constexpr milliseconds HostListTimeout{500};

std::uint64_t randomNumber() {
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

core::HostInfo makeHostInfo(const HostConfig &config) {
  core::HostInfo self;
  self.Id = config.Id;
  self.Nonce = std::to_string(randomNumber());
  self.FailureDomain = config.FailureDomain;
  self.Region = config.Region;
  self.PeerAddress = config.PeerAddress;
  self.CallerAddress = config.CallerAddress;
  return self;
}

hosts::HostSlotOptions slotOptions(const HostConfig &config,
                                   const core::HostInfo &self,
                                   const hosts::PeerNode &peers) {
  hosts::HostSlotOptions options;
  options.Self = self;
  options.SlotCount = config.MaxHosts + config.SpareHosts;
  options.Timing = core::slotTiming(config.MaxHosts);
  options.PeerReportedOutage = [&peers] { return peers.peerReportedOutage(); };
  options.Seed = randomNumber();
  return options;
}

hosts::PeerOptions peerOptions(const core::HostInfo &self) {
  hosts::PeerOptions options;
  options.Self = self;
  options.Seed = randomNumber();
  return options;
}

hosts::StoreReader makeFeed(const std::string &address) {
  using Store = store::PlatformStore;
  auto store = std::make_shared<Store>(address);
  // The reader caches the parts it has read, so that only changed parts are
  // read again.
  auto reader = std::make_shared<operators::SettingsStore<Store>>(*store);
  return hosts::makeStoreReader(
      store, [reader](Store &) { return reader->read(); },
      [](const std::string &text) -> std::uint64_t {
        const auto manifest = operators::parseManifest(text);
        return manifest ? manifest->Revision : 0;
      });
}

} // namespace

ControlPlane::ControlPlane(const HostConfig &config,
                           std::shared_ptr<backend::HostQuarantine> guard)
    : Config(config), Self(makeHostInfo(config)), Guard(std::move(guard)),
      AdminClient(config.StoreAddress), AdminStore(AdminClient),
      StoreBackend(operators::makeBackend(AdminStore)),
      Peers(peerOptions(Self), peerCallbacks()),
      Slot(Store(config.StoreAddress), slotOptions(config, Self, Peers)),
      Admin(adminOptions(), settingsBackend(), Replica) {}

void ControlPlane::start(Observer onSettings) {
  Replica.observe(std::move(onSettings));
  Slot.start();
  Peers.start();
  if (!Config.HostListAddress.empty())
    HostListThread = std::jthread(
        [this](const std::stop_token &stop) { pollHostList(stop); });
}

void ControlPlane::stopPeers() {
  HostListThread = {};
  Peers.stop();
}

void ControlPlane::pollHostList(const std::stop_token &stop) {
  store::HostList list(Config.HostListAddress);
  while (!stop.stop_requested()) {
    // The list is only a hint: after a failed read the previous one stays.
    if (auto listed = list.read(HostListTimeout)) {
      Peers.setLeaving(std::move(listed->Leaving));
      const std::lock_guard guard(LiveHostsLock);
      LiveHosts = std::move(listed->Live);
    }
    std::this_thread::sleep_for(HostListInterval);
  }
}

bool ControlPlane::ready() const {
  return Slot.slot().has_value() && Replica.revision() > 0;
}

hosts::PeerCallbacks ControlPlane::peerCallbacks() {
  hosts::PeerCallbacks callbacks;
  callbacks.CurrentSettings = [this] {
    const auto inForce = Replica.current();
    return inForce ? inForce->Blob : core::VersionedBlob{};
  };
  callbacks.ApplySettings = [this](const core::VersionedBlob &blob) {
    return Replica.applyBlob(blob) == operators::BlobOutcome::Applied;
  };
  callbacks.RestoreSettings = [this] {
    const auto inForce = Replica.current();
    if (!inForce)
      return;
    const auto restored =
        StoreBackend.RestoreLost(inForce->Tree, inForce->Blob.Revision,
                                 std::chrono::time_point_cast<milliseconds>(
                                     std::chrono::system_clock::now()));
    if (!restored)
      support::LogLine("settings_not_restored")
          .with("revision", inForce->Blob.Revision)
          .with("why", restored.error().Message);
  };
  callbacks.LocalRecords = [this] { return Guard->recordsJson(); };
  callbacks.MergeRecords = [this](const std::string &text) {
    Guard->merge(text);
  };
  callbacks.MakeStoreReader = [address = Config.StoreAddress] {
    return makeFeed(address);
  };
  callbacks.Seeds = [this] {
    const std::lock_guard guard(LiveHostsLock);
    std::vector<core::HostInfo> seeds = LiveHosts;
    for (const auto &address : Config.SeedAddresses) {
      core::HostInfo seed;
      seed.PeerAddress = address;
      seeds.push_back(std::move(seed));
    }
    return seeds;
  };
  return callbacks;
}

operators::SettingsBackend ControlPlane::settingsBackend() {
  operators::SettingsBackend backend = StoreBackend;
  backend.Commit = [this](const core::ChangeRequest &request) {
    return commit(request);
  };
  return backend;
}

// Applies an accepted change on this host and publishes it to the peers
// immediately, without waiting for a watch event.
operators::CommitResult
ControlPlane::commit(const core::ChangeRequest &request) {
  auto result = StoreBackend.Commit(request);
  if (result.Outcome != operators::CommitOutcome::Accepted)
    return result;
  if (const auto blob = StoreBackend.Read();
      blob && Replica.applyBlob(*blob) == operators::BlobOutcome::Applied)
    Peers.publishSettings();
  return result;
}

operators::AdminApiOptions ControlPlane::adminOptions() {
  operators::AdminApiOptions options;
  options.Host = Config.Id;
  options.RootTokenHash = Config.RootTokenHash;
  options.Now = [] {
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
  };
  options.Hosts = [this] {
    std::vector<operators::HostRevision> revisions;
    for (const auto &peer : Peers.queryHostStates())
      if (peer.Host.Id != Config.Id)
        revisions.push_back(
            {peer.Host.Id, peer.State ? peer.State->SettingsRevision : 0,
             peer.State ? peer.State->SettingsAge : milliseconds(-1)});
    return revisions;
  };
  return options;
}

} // namespace savorytrestle::serve
