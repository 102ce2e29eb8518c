#include "hosts/PeerNode.h"

#include <utility>

#include <xxhash.h>

#include "hosts/PeerNodeImpl.h"
#include "support/Log.h"

namespace savorytrestle::hosts {

std::uint64_t digestOf(const std::string &text) {
  return XXH3_64bits(text.data(), text.size());
}

PeerNode::Impl::Impl(PeerOptions options, PeerCallbacks callbacks)
    : Options(std::move(options)), Callbacks(std::move(callbacks)),
      View(Options.Self.Id, clockNow()) {
  PushedRecordsDigest = digestOf(Callbacks.LocalRecords());
  registerMethods();
}

bool PeerNode::Impl::waitUnlessStopped(std::chrono::milliseconds time) {
  std::unique_lock guard(StopLock);
  return !Wake.wait_for(guard, time, [this] { return Stopping; });
}

void PeerNode::Impl::notifyPollEnded() {
  {
    const std::lock_guard guard(StopLock);
    PollEnded = true;
  }
  Wake.notify_all();
}

bool PeerNode::Impl::waitForPoll(std::chrono::milliseconds time) {
  std::unique_lock guard(StopLock);
  Wake.wait_for(guard, time, [this] { return Stopping || PollEnded; });
  PollEnded = false;
  return !Stopping;
}

core::Result<std::string> PeerNode::Impl::callPeer(PeerClient &client,
                                                   const core::HostInfo &peer,
                                                   const std::string &method,
                                                   const std::string &params) {
  auto reply = client.call(peer.PeerAddress, method, params);
  View.onPeerCallEnded(peer.Id, reply.has_value(), clockNow());
  return reply;
}

core::VersionedBlob PeerNode::Impl::currentBlob(Topic kind) const {
  return kind == Topic::Settings ? Callbacks.CurrentSettings() : View.hosts();
}

PeerState PeerNode::Impl::state() const {
  const auto now = clockNow();
  const auto settings = Callbacks.CurrentSettings();
  PeerState state;
  state.HostId = Options.Self.Id;
  state.SettingsRevision = settings.Revision;
  state.SettingsChecksum = settings.Checksum;
  state.HostsRevision = View.hosts().Revision;
  state.RecordsDigest = digestOf(Callbacks.LocalRecords());
  state.SettingsAge =
      std::chrono::ceil<std::chrono::milliseconds>(View.settingsAge(now));
  state.HostsAge =
      std::chrono::ceil<std::chrono::milliseconds>(View.hostsAge(now));
  state.StoreDown = View.isStoreDown(now);
  return state;
}

// If the receiver's revision is still in the history, sends only the parts that
// changed since; otherwise the whole payload.
std::string PeerNode::Impl::serializeUpdate(Topic kind,
                                            std::uint64_t baseRevision) {
  const auto blob = currentBlob(kind);
  const std::lock_guard guard(HistoryLock);
  auto &history = kind == Topic::Settings ? SettingsHistory : HostsHistory;
  history.record(blob);
  auto delta = history.revision() == blob.Revision
                   ? history.deltaSince(baseRevision)
                   : std::nullopt;
  return serializeMessage({kind, blob, std::move(delta)});
}

bool PeerNode::Impl::applyUpdate(const TopicMessage &update) {
  const auto current = currentBlob(update.Kind);
  if (update.Blob.Revision <= current.Revision)
    return false;
  const auto updated = update.Delta ? core::applyDelta(current, *update.Delta)
                                    : std::optional(update.Blob);
  if (!updated || !core::isIntact(*updated)) {
    support::LogLine("blob_refused")
        .with("revision", update.Blob.Revision)
        .with("reason", update.Delta ? "delta" : "checksum");
    return false;
  }
  const auto &blob = *updated;
  const bool isSettings = update.Kind == Topic::Settings;
  if (!(isSettings ? Callbacks.ApplySettings(blob) : View.applyHosts(blob)))
    return false;
  enqueue(isSettings ? PushJob::Settings : PushJob::Hosts);
  return true;
}

void PeerNode::Impl::mergeRecords(const std::string &records) {
  const auto before = digestOf(Callbacks.LocalRecords());
  Callbacks.MergeRecords(records);
  if (digestOf(Callbacks.LocalRecords()) != before)
    enqueue(PushJob::Records);
}

void PeerNode::Impl::registerMethods() {
  const auto add = [this](const char *method, auto member) {
    Rpc.addMethod(method, [this, member](const std::string &params) {
      return (this->*member)(params);
    });
  };
  add("ask", &Impl::onAsk);
  add("offer", &Impl::onOffer);
  add("push", &Impl::onPush);
  add("pull", &Impl::onPull);
  add("records", &Impl::onRecords);
}

std::string PeerNode::Impl::onAsk(const std::string &params) {
  if (const auto peerState = parseState(params)) {
    if (peerState->StoreDown)
      View.onPeerReportedOutage(clockNow());
    View.onPeerCallEnded(peerState->HostId, true, clockNow());
  }
  return serializeState(state());
}

std::string PeerNode::Impl::onOffer(const std::string &params) {
  const auto offer = parseMessage(params);
  if (!offer)
    return "";
  return serializeRevision(offer->Kind, currentBlob(offer->Kind).Revision);
}

std::string PeerNode::Impl::onPush(const std::string &params) {
  const auto update = parseMessage(params);
  if (!update)
    return "";
  applyUpdate(*update);
  return serializeRevision(update->Kind, currentBlob(update->Kind).Revision);
}

std::string PeerNode::Impl::onPull(const std::string &params) {
  const auto request = parseMessage(params);
  if (!request)
    return "";
  return serializeUpdate(request->Kind, request->Blob.Revision);
}

std::string PeerNode::Impl::onRecords(const std::string &params) {
  const auto records = parseRecords(params);
  if (!records)
    return "";
  mergeRecords(*records);
  return serializeRecords(Callbacks.LocalRecords());
}

PeerNode::PeerNode(PeerOptions options, PeerCallbacks callbacks)
    : State(std::make_unique<Impl>(std::move(options), std::move(callbacks))) {}

PeerNode::~PeerNode() { stop(); }

void PeerNode::start() {
  State->Threads.emplace_back([this] { State->watchSettings(); });
  State->Threads.emplace_back([this] { State->watchSlots(); });
  State->Threads.emplace_back([this] { State->runPushes(); });
  State->Threads.emplace_back([this] { State->runPolls(); });
  State->Threads.emplace_back([this] { State->runStoreChecks(); });
}

void PeerNode::stop() {
  {
    const std::lock_guard guard(State->StopLock);
    State->Stopping = true;
  }
  State->Wake.notify_all();
  for (auto &thread : State->Threads)
    thread.join();
  State->Threads.clear();
}

support::HttpResponse PeerNode::handle(const support::HttpRequest &request) {
  support::HttpResponse response;
  if (request.Path == RpcPath && request.Method == "POST") {
    response.Body = State->Rpc.handle(request.Body);
    // Otherwise the client would keep the connection alive and find it closed
    // on its next call, which it must not resend.
    response.Headers["Connection"] = "close";
    return response;
  }
  response.Status = 404;
  return response;
}

void PeerNode::publishSettings() { State->enqueue(PushJob::Settings); }

void PeerNode::publishRecords() { State->enqueue(PushJob::Records); }

bool PeerNode::ready() const {
  return State->Callbacks.CurrentSettings().Revision > 0;
}

std::vector<core::HostInfo> PeerNode::live() const { return State->live(); }

core::DomainCounts PeerNode::liveByDomain() const {
  core::DomainCounts counts;
  for (const auto &host : live())
    ++counts[host.FailureDomain];
  return counts;
}

void PeerNode::setLeaving(std::vector<std::string> leaving) {
  State->View.setLeaving(std::move(leaving));
}

bool PeerNode::peerReportedOutage() const {
  return State->View.peerReportedOutage(clockNow());
}

PeerState PeerNode::state() const { return State->state(); }

std::vector<PeerStatus> PeerNode::queryHostStates() const {
  PeerClient client(State->Options.CallTimeout);
  std::vector<PeerStatus> statuses;
  for (const auto &host : State->View.all()) {
    PeerStatus status{host, std::nullopt};
    if (host.Id == State->Options.Self.Id)
      status.State = State->state();
    else if (const auto reply = State->callPeer(client, host, "ask",
                                                serializeState(State->state())))
      status.State = parseState(*reply);
    statuses.push_back(std::move(status));
  }
  return statuses;
}

} // namespace savorytrestle::hosts
