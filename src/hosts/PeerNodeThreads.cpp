// Loops of the threads of a peer node, and their steps.

#include <utility>

#include <nlohmann/json.hpp>

#include "hosts/PeerNodeImpl.h"

namespace savorytrestle::hosts {

namespace {

using std::chrono::milliseconds;

/// Least time between two watch calls; the store may answer a watch early
/// although nothing has changed.
constexpr milliseconds MinWatchInterval{200};

/// Time between two polls while no settings are in force.
constexpr milliseconds StartupPollInterval{200};

/// Age of the host list past which a host that checks the store also reads the
/// slots; longer than a change takes to reach all hosts.
constexpr milliseconds MaxHostsAge{10000};

/// How long the push thread waits for a job before it checks whether to stop.
constexpr milliseconds PushQueueTimeout{100};

std::string makeHostsPayload(const std::vector<store::StoredItem> &items) {
  nlohmann::json payload = nlohmann::json::object();
  for (const auto &item : items)
    payload[item.Key] = item.Value;
  return payload.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

bool PeerNode::Impl::isWatcher() const {
  return core::isWatcher(Options.Self.Id, live(),
                         Options.Timing.WatchersPerRegion);
}

// The age is counted from before the call, because the store may have read its
// state at any time between the call and the answer.
void PeerNode::Impl::fetchSettings(const StoreReader &reader,
                                   const ManifestState &manifest,
                                   TimePoint calledAt) {
  if (manifest.Revision > Callbacks.CurrentSettings().Revision) {
    auto blob = reader.ReadSettings();
    View.onStoreCallEnded(blob.has_value(), clockNow());
    if (blob)
      applyUpdate({Topic::Settings, std::move(*blob), std::nullopt});
  }
  const auto inForce = Callbacks.CurrentSettings().Revision;
  if (inForce >= manifest.Revision)
    View.onSettingsCurrent(calledAt);
  if (inForce > manifest.Revision && Callbacks.RestoreSettings)
    Callbacks.RestoreSettings();
}

void PeerNode::Impl::applySlots(const store::StorePage &page,
                                TimePoint calledAt) {
  auto blob = core::makeBlob(page.At, makeHostsPayload(page.Items));
  if (blob.Payload != View.hosts().Payload)
    applyUpdate({Topic::Hosts, std::move(blob), std::nullopt});
  View.onHostsCurrent(calledAt);
}

// Repeats a watch of the store while this host is a watcher. Calls watch with
// the position after which to wait, and apply with the result and the time
// before the call.
template <typename Watch, typename Apply>
void PeerNode::Impl::watchStore(Watch watch, Apply apply) {
  store::Revision position = 0;
  do {
    if (!isWatcher()) {
      position = 0;
      continue;
    }
    const auto calledAt = clockNow();
    const auto result = watch(position);
    View.onStoreCallEnded(result.has_value(), clockNow());
    position = result ? result->At : 0;
    if (result)
      apply(*result, calledAt);
  } while (waitUnlessStopped(MinWatchInterval));
}

void PeerNode::Impl::watchSettings() {
  const StoreReader reader = Callbacks.MakeStoreReader();
  watchStore(
      [&](store::Revision after) {
        return reader.WatchSettings(after, Options.Timing.WatchWait);
      },
      [&](const ManifestState &manifest, TimePoint calledAt) {
        fetchSettings(reader, manifest, calledAt);
      });
}

void PeerNode::Impl::watchSlots() {
  const StoreReader reader = Callbacks.MakeStoreReader();
  watchStore(
      [&](store::Revision after) {
        return reader.WatchSlots(after, Options.Timing.WatchWait);
      },
      [&](const store::StorePage &page, TimePoint calledAt) {
        applySlots(page, calledAt);
      });
}

void PeerNode::Impl::runPushes() {
  PeerClient client(Options.CallTimeout);
  while (waitUnlessStopped(milliseconds(0))) {
    PushJob job{};
    if (!PushQueue.wait_dequeue_timed(job, PushQueueTimeout))
      continue;
    // Reset before the push, so that a change during the push queues another.
    Queued[static_cast<std::size_t>(job)] = false;
    if (job == PushJob::Records)
      pushRecords(client);
    else
      offerTopic(client,
                 job == PushJob::Settings ? Topic::Settings : Topic::Hosts);
  }
}

void PeerNode::Impl::offerTopic(PeerClient &client, Topic kind) {
  const auto revision = currentBlob(kind).Revision;
  auto &lastPushed =
      kind == Topic::Settings ? PushedSettingsRevision : PushedHostsRevision;
  if (revision <= lastPushed)
    return;
  lastPushed = revision;
  for (const auto &target : core::pushTargets(Options.Self.Id, live(), revision,
                                              Options.Timing.Fanout))
    offerRevision(client, target, kind, revision);
}

// The revision is offered first, because most targets already have it from
// another host; the changed parts are sent only to those that lack it.
void PeerNode::Impl::offerRevision(PeerClient &client,
                                   const core::HostInfo &target, Topic kind,
                                   std::uint64_t revision) {
  const auto reply =
      callPeer(client, target, "offer", serializeRevision(kind, revision));
  if (const auto answer = reply ? parseMessage(*reply) : std::nullopt)
    pushUpdate(client, target, kind, answer->Blob.Revision);
}

// If the target could not apply the delta, sends the whole payload.
void PeerNode::Impl::pushUpdate(PeerClient &client,
                                const core::HostInfo &target, Topic kind,
                                std::uint64_t targetRevision) {
  const auto ownRevision = currentBlob(kind).Revision;
  if (targetRevision >= ownRevision)
    return;
  const auto reply =
      callPeer(client, target, "push", serializeUpdate(kind, targetRevision));
  const auto answer = reply ? parseMessage(*reply) : std::nullopt;
  if (answer && answer->Blob.Revision < ownRevision)
    callPeer(client, target, "push", serializeUpdate(kind, 0));
}

void PeerNode::Impl::pushRecords(PeerClient &client) {
  const auto records = Callbacks.LocalRecords();
  const auto digest = digestOf(records);
  if (digest == std::exchange(PushedRecordsDigest, digest))
    return;
  for (const auto &target : core::pushTargets(Options.Self.Id, live(), digest,
                                              Options.Timing.Fanout))
    callPeer(client, target, "records", serializeRecords(records));
}

void PeerNode::Impl::runPolls() {
  PeerClient client(Options.CallTimeout);
  core::Rng rng(Options.Seed);
  milliseconds interval{0};
  do {
    pollPeer(client, rng);
    notifyPollEnded();
    const bool hasSettings = Callbacks.CurrentSettings().Revision > 0;
    interval = core::drawPollInterval(
        hasSettings ? Options.Timing.PeerPollInterval : StartupPollInterval,
        rng);
  } while (waitUnlessStopped(interval));
}

// Checks the store after each poll, which may have shown that no check is
// needed, but doesn't wait for a poll whose peer doesn't answer: the checks
// bound the age of the settings whatever the peers do.
void PeerNode::Impl::runStoreChecks() {
  const StoreReader reader = Callbacks.MakeStoreReader();
  core::StoreCheckTimer timer(Options.Timing);
  core::Rng rng(~Options.Seed);
  while (waitForPoll(Options.Timing.MaxCheckInterval))
    checkStore(reader, timer, rng);
}

std::optional<core::HostInfo> PeerNode::Impl::choosePeer(core::Rng &rng) const {
  const auto &self = Options.Self;
  if (auto found = core::pollTarget(self.Id, self.Region, live(), rng))
    return found;
  auto seeds = Callbacks.Seeds();
  std::erase_if(seeds, [&](const core::HostInfo &host) {
    return host.PeerAddress == self.PeerAddress;
  });
  if (seeds.empty())
    return std::nullopt;
  return seeds[rng() % seeds.size()];
}

void PeerNode::Impl::pollPeer(PeerClient &client, core::Rng &rng) {
  const auto peer = choosePeer(rng);
  if (!peer)
    return;
  const auto calledAt = clockNow();
  const auto reply = callPeer(client, *peer, "ask", serializeState(state()));
  const auto peerState = reply ? parseState(*reply) : std::nullopt;
  if (!peerState)
    return;
  if (peerState->StoreDown)
    View.onPeerReportedOutage(clockNow());
  reconcile(client, *peer, Topic::Settings, peerState->SettingsRevision);
  reconcile(client, *peer, Topic::Hosts, peerState->HostsRevision);
  if (peerState->RecordsDigest != digestOf(Callbacks.LocalRecords()))
    if (const auto records =
            callPeer(client, *peer, "records",
                     serializeRecords(Callbacks.LocalRecords())))
      mergeRecords(parseRecords(*records).value_or(""));
  if (Callbacks.CurrentSettings().Revision >= peerState->SettingsRevision)
    View.onSettingsCurrent(calledAt - peerState->SettingsAge);
  if (View.hosts().Revision >= peerState->HostsRevision)
    View.onHostsCurrent(calledAt - peerState->HostsAge);
}

void PeerNode::Impl::reconcile(PeerClient &client, const core::HostInfo &peer,
                               Topic kind, std::uint64_t peerRevision) {
  const auto ownRevision = currentBlob(kind).Revision;
  if (ownRevision > peerRevision)
    pushUpdate(client, peer, kind, peerRevision);
  // If the delta cannot be applied, pulls the whole payload.
  for (const auto baseRevision : {ownRevision, std::uint64_t(0)}) {
    if (currentBlob(kind).Revision >= peerRevision)
      return;
    const auto reply =
        callPeer(client, peer, "pull", serializeRevision(kind, baseRevision));
    if (const auto update = reply ? parseMessage(*reply) : std::nullopt)
      applyUpdate(*update);
  }
}

void PeerNode::Impl::checkStore(const StoreReader &reader,
                                core::StoreCheckTimer &timer, core::Rng &rng) {
  const auto calledAt = clockNow();
  const bool hasSettings = Callbacks.CurrentSettings().Revision > 0;
  const auto liveHosts = live();
  const auto age =
      hasSettings ? View.settingsAge(calledAt) : Options.Timing.HardAge;
  if (!timer.due(age, liveHosts.size(), calledAt, rng))
    return;
  const auto manifest = reader.WatchSettings(0, milliseconds(0));
  timer.onChecked(manifest.has_value(), clockNow(), rng);
  View.onStoreCallEnded(manifest.has_value(), clockNow());
  if (!manifest)
    return;
  fetchSettings(reader, *manifest, calledAt);
  // The check was due because no host seems to watch the store; a stale host
  // list may be the cause, as it determines the watchers.
  if (liveHosts.empty() || View.hostsAge(calledAt) >= MaxHostsAge)
    if (const auto page = reader.WatchSlots(0, milliseconds(0)))
      applySlots(*page, calledAt);
}

} // namespace savorytrestle::hosts
