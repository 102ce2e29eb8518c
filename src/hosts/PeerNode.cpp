#include "hosts/PeerNode.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include <concurrentqueue/blockingconcurrentqueue.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "hosts/PeerCaller.h"
#include "hosts/PeerView.h"
#include "hosts/rpc/RpcServer.h"
#include "support/Log.h"

namespace savorytrestle::hosts {

namespace {

using core::TimePoint;
using std::chrono::milliseconds;

/// Least time between two watch calls: the store may answer a watch early
/// without news.
constexpr milliseconds WatchSpacing{200};

/// Time between asks while no settings are in force.
constexpr milliseconds StartupInterval{200};

/// How long the push thread waits for work before it looks whether to stop.
constexpr milliseconds PushPoll{100};

enum class PushJob { Settings, Hosts, Records };
constexpr std::size_t PushKinds = 3;

TimePoint clockNow() { return std::chrono::steady_clock::now(); }

std::uint64_t digestOf(const std::string &text) {
  return XXH3_64bits(text.data(), text.size());
}

std::string payloadOf(const std::vector<platform::KvEntry> &entries) {
  nlohmann::json payload = nlohmann::json::object();
  for (const auto &entry : entries)
    payload[entry.Key] = entry.Value;
  return payload.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

struct PeerNode::Impl {
  Impl(PeerOptions options, PeerCallbacks callbacks);

  // What is known.
  core::VersionedBlob blobOf(Topic kind) const;
  PeerState state() const;
  std::vector<core::HostInfo> live() const { return View.live(clockNow()); }
  bool accept(const TopicBlob &offered);
  void merge(const std::string &records);

  // Duties, one thread each.
  void watchSettings();
  void watchSlots();
  void push();
  void ask();

  // Steps of the duties.
  bool watches() const;
  void takeMark(const StoreFeed &feed, const SettingsMark &mark, TimePoint at);
  void takeSlots(const platform::WatchResult &seen);
  void pushBlob(PeerCaller &caller, Topic kind);
  void sendBlob(PeerCaller &caller, const core::HostInfo &target, Topic kind,
                const core::VersionedBlob &blob);
  void pushRecords(PeerCaller &caller);
  void askOne(PeerCaller &caller, core::Rng &rng);
  std::optional<core::HostInfo> partner(core::Rng &rng) const;
  void compare(PeerCaller &caller, const core::HostInfo &peer, Topic kind,
               std::uint64_t theirs);
  void checkStore(const StoreFeed &feed, core::StoreCheckTimer &timer,
                  core::Rng &rng);

  // Answers to peers.
  void addMethods();
  std::string onAsk(const std::string &params);
  std::string onOffer(const std::string &params);
  std::string onPush(const std::string &params);
  std::string onPull(const std::string &params);
  std::string onRecords(const std::string &params);

  core::Result<std::string> call(PeerCaller &caller, const core::HostInfo &peer,
                                 const std::string &method,
                                 const std::string &params);
  // A kind that waits already is not added again, which bounds the ring by the
  // number of kinds. The queue's try_enqueue would not do: it fails for each
  // thread but the first ones, since it allocates nothing for a new producer.
  void enqueue(PushJob job) {
    if (!Waiting[static_cast<std::size_t>(job)].exchange(true))
      Jobs.enqueue(job);
  }
  bool pause(milliseconds time);

  PeerOptions Options;
  PeerCallbacks Use;
  PeerView View;
  RpcServer Rpc;
  moodycamel::BlockingConcurrentQueue<PushJob> Jobs;
  std::array<std::atomic<bool>, PushKinds> Waiting{};
  // Used by the push thread only.
  std::uint64_t PushedSettings = 0;
  std::uint64_t PushedHosts = 0;
  std::uint64_t PushedRecords = 0;

  std::mutex StopLock;
  std::condition_variable Wake;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

PeerNode::Impl::Impl(PeerOptions options, PeerCallbacks callbacks)
    : Options(std::move(options)), Use(std::move(callbacks)),
      View(Options.Self.Id, clockNow()) {
  PushedRecords = digestOf(Use.LocalRecords());
  addMethods();
}

bool PeerNode::Impl::pause(milliseconds time) {
  std::unique_lock guard(StopLock);
  return !Wake.wait_for(guard, time, [this] { return Stopping; });
}

core::Result<std::string> PeerNode::Impl::call(PeerCaller &caller,
                                               const core::HostInfo &peer,
                                               const std::string &method,
                                               const std::string &params) {
  auto reply = caller.call(peer.PeerAddress, method, params);
  View.onCalled(peer.Id, reply.has_value(), clockNow());
  return reply;
}

core::VersionedBlob PeerNode::Impl::blobOf(Topic kind) const {
  return kind == Topic::Settings ? Use.CurrentBlob() : View.hosts();
}

PeerState PeerNode::Impl::state() const {
  const auto now = clockNow();
  const auto settings = Use.CurrentBlob();
  PeerState state;
  state.HostId = Options.Self.Id;
  state.SettingsRevision = settings.Revision;
  state.SettingsChecksum = settings.Checksum;
  state.HostsRevision = View.hosts().Revision;
  state.RecordsDigest = digestOf(Use.LocalRecords());
  state.Age = std::chrono::ceil<milliseconds>(View.age(now));
  state.StoreDown = View.storeDown(now);
  return state;
}

bool PeerNode::Impl::accept(const TopicBlob &offered) {
  const auto &blob = offered.Blob;
  if (blob.Revision <= blobOf(offered.Kind).Revision)
    return false;
  if (!core::isIntact(blob)) {
    support::LogLine("blob_refused")
        .with("revision", blob.Revision)
        .with("reason", "checksum");
    return false;
  }
  const bool settings = offered.Kind == Topic::Settings;
  if (!(settings ? Use.OfferBlob(blob) : View.offerHosts(blob)))
    return false;
  enqueue(settings ? PushJob::Settings : PushJob::Hosts);
  return true;
}

void PeerNode::Impl::merge(const std::string &records) {
  const auto before = digestOf(Use.LocalRecords());
  Use.MergeRecords(records);
  if (digestOf(Use.LocalRecords()) != before)
    enqueue(PushJob::Records);
}

bool PeerNode::Impl::watches() const {
  return core::isWatcher(Options.Self.Id, live(),
                         Options.Timing.WatchersPerRegion);
}

// The age counts from before the call: a watch may have been answered at any
// time since.
void PeerNode::Impl::takeMark(const StoreFeed &feed, const SettingsMark &mark,
                              TimePoint at) {
  if (mark.Revision > Use.CurrentBlob().Revision) {
    auto blob = feed.ReadSettings();
    View.onStoreCalled(blob.has_value(), clockNow());
    if (blob)
      accept({Topic::Settings, std::move(*blob)});
  }
  if (Use.CurrentBlob().Revision >= mark.Revision)
    View.onStoreSeen(at);
}

void PeerNode::Impl::takeSlots(const platform::WatchResult &seen) {
  auto blob = core::makeBlob(seen.Index, payloadOf(seen.Entries));
  if (blob.Payload != View.hosts().Payload)
    accept({Topic::Hosts, std::move(blob)});
}

void PeerNode::Impl::watchSettings() {
  const StoreFeed feed = Use.MakeFeed();
  platform::Revision index = 0;
  do {
    if (!watches()) {
      index = 0;
      continue;
    }
    const auto at = clockNow();
    const auto mark = feed.WatchSettings(index, Options.Timing.WatchWait);
    View.onStoreCalled(mark.has_value(), clockNow());
    index = mark ? mark->Index : 0;
    if (mark)
      takeMark(feed, *mark, at);
  } while (pause(WatchSpacing));
}

void PeerNode::Impl::watchSlots() {
  const StoreFeed feed = Use.MakeFeed();
  platform::Revision index = 0;
  do {
    if (!watches()) {
      index = 0;
      continue;
    }
    const auto seen = feed.WatchSlots(index, Options.Timing.WatchWait);
    View.onStoreCalled(seen.has_value(), clockNow());
    index = seen ? seen->Index : 0;
    if (seen)
      takeSlots(*seen);
  } while (pause(WatchSpacing));
}

void PeerNode::Impl::push() {
  PeerCaller caller(Options.CallTimeout);
  while (pause(milliseconds(0))) {
    PushJob job{};
    if (!Jobs.wait_dequeue_timed(job, PushPoll))
      continue;
    // Before the push: what changes during it needs another one.
    Waiting[static_cast<std::size_t>(job)] = false;
    if (job == PushJob::Records)
      pushRecords(caller);
    else
      pushBlob(caller,
               job == PushJob::Settings ? Topic::Settings : Topic::Hosts);
  }
}

void PeerNode::Impl::pushBlob(PeerCaller &caller, Topic kind) {
  const auto blob = blobOf(kind);
  auto &pushed = kind == Topic::Settings ? PushedSettings : PushedHosts;
  if (blob.Revision <= pushed)
    return;
  pushed = blob.Revision;
  for (const auto &target : core::pushTargets(
           Options.Self.Id, live(), blob.Revision, Options.Timing.Fanout))
    sendBlob(caller, target, kind, blob);
}

// The mark goes first: most targets have the revision from another host by
// then, and the payload is sent only to those that lack it.
void PeerNode::Impl::sendBlob(PeerCaller &caller, const core::HostInfo &target,
                              Topic kind, const core::VersionedBlob &blob) {
  const auto reply =
      call(caller, target, "offer", writeMark(kind, blob.Revision));
  if (!reply)
    return;
  if (const auto theirs = readBlob(*reply);
      theirs && theirs->Blob.Revision < blob.Revision)
    call(caller, target, "push", writeBlob({kind, blob}));
}

void PeerNode::Impl::pushRecords(PeerCaller &caller) {
  const auto records = Use.LocalRecords();
  const auto digest = digestOf(records);
  if (digest == std::exchange(PushedRecords, digest))
    return;
  for (const auto &target : core::pushTargets(Options.Self.Id, live(), digest,
                                              Options.Timing.Fanout))
    call(caller, target, "records", writeRecords(records));
}

void PeerNode::Impl::ask() {
  const StoreFeed feed = Use.MakeFeed();
  PeerCaller caller(Options.CallTimeout);
  core::StoreCheckTimer timer(Options.Timing);
  core::Rng rng(Options.Seed);
  milliseconds interval{0};
  do {
    askOne(caller, rng);
    checkStore(feed, timer, rng);
    const bool started = Use.CurrentBlob().Revision > 0;
    const auto base = started ? Options.Timing.AskInterval : StartupInterval;
    const auto span = static_cast<std::uint64_t>(base.count() / 2 + 1);
    interval = base * 3 / 4 + milliseconds(rng() % span);
  } while (pause(interval));
}

std::optional<core::HostInfo> PeerNode::Impl::partner(core::Rng &rng) const {
  const auto &self = Options.Self;
  if (auto found = core::askTarget(self.Id, self.Region, live(), rng))
    return found;
  auto seeds = Use.Seeds();
  std::erase_if(seeds, [&](const core::HostInfo &host) {
    return host.PeerAddress == self.PeerAddress;
  });
  if (seeds.empty())
    return std::nullopt;
  return seeds[rng() % seeds.size()];
}

void PeerNode::Impl::askOne(PeerCaller &caller, core::Rng &rng) {
  const auto peer = partner(rng);
  if (!peer)
    return;
  const auto at = clockNow();
  const auto reply = call(caller, *peer, "ask", writeState(state()));
  const auto theirs = reply ? readState(*reply) : std::nullopt;
  if (!theirs)
    return;
  if (theirs->StoreDown)
    View.onPeerStoreDown(clockNow());
  compare(caller, *peer, Topic::Settings, theirs->SettingsRevision);
  compare(caller, *peer, Topic::Hosts, theirs->HostsRevision);
  if (theirs->RecordsDigest != digestOf(Use.LocalRecords()))
    if (const auto records =
            call(caller, *peer, "records", writeRecords(Use.LocalRecords())))
      merge(readRecords(*records).value_or(""));
  if (Use.CurrentBlob().Revision >= theirs->SettingsRevision)
    View.onStoreSeen(at - theirs->Age);
}

void PeerNode::Impl::compare(PeerCaller &caller, const core::HostInfo &peer,
                             Topic kind, std::uint64_t theirs) {
  const auto mine = blobOf(kind);
  if (mine.Revision > theirs)
    call(caller, peer, "push", writeBlob({kind, mine}));
  if (mine.Revision >= theirs)
    return;
  const auto reply = call(caller, peer, "pull", writeMark(kind, mine.Revision));
  if (const auto blob = reply ? readBlob(*reply) : std::nullopt)
    accept(*blob);
}

void PeerNode::Impl::checkStore(const StoreFeed &feed,
                                core::StoreCheckTimer &timer, core::Rng &rng) {
  const auto at = clockNow();
  const bool started = Use.CurrentBlob().Revision > 0;
  const auto hosts = live();
  const auto age = started ? View.age(at) : Options.Timing.HardAge;
  if (!timer.due(age, hosts.size(), at, rng))
    return;
  const auto mark = feed.WatchSettings(0, milliseconds(0));
  timer.onChecked(mark.has_value(), clockNow(), rng);
  View.onStoreCalled(mark.has_value(), clockNow());
  if (!mark)
    return;
  takeMark(feed, *mark, at);
  // Nobody seems to watch: the list of hosts may be what is wrong.
  if (hosts.empty() || age >= Options.Timing.HardAge)
    if (const auto seen = feed.WatchSlots(0, milliseconds(0)))
      takeSlots(*seen);
}

void PeerNode::Impl::addMethods() {
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
  if (const auto theirs = readState(params)) {
    if (theirs->StoreDown)
      View.onPeerStoreDown(clockNow());
    View.onCalled(theirs->HostId, true, clockNow());
  }
  return writeState(state());
}

std::string PeerNode::Impl::onOffer(const std::string &params) {
  const auto offered = readBlob(params);
  if (!offered)
    return "";
  return writeMark(offered->Kind, blobOf(offered->Kind).Revision);
}

std::string PeerNode::Impl::onPush(const std::string &params) {
  const auto offered = readBlob(params);
  if (!offered)
    return "";
  accept(*offered);
  return writeMark(offered->Kind, blobOf(offered->Kind).Revision);
}

std::string PeerNode::Impl::onPull(const std::string &params) {
  const auto asked = readBlob(params);
  if (!asked)
    return "";
  return writeBlob({asked->Kind, blobOf(asked->Kind)});
}

std::string PeerNode::Impl::onRecords(const std::string &params) {
  const auto records = readRecords(params);
  if (!records)
    return "";
  merge(*records);
  return writeRecords(Use.LocalRecords());
}

PeerNode::PeerNode(PeerOptions options, PeerCallbacks callbacks)
    : State(std::make_unique<Impl>(std::move(options), std::move(callbacks))) {}

PeerNode::~PeerNode() { stop(); }

void PeerNode::start() {
  State->Threads.emplace_back([this] { State->watchSettings(); });
  State->Threads.emplace_back([this] { State->watchSlots(); });
  State->Threads.emplace_back([this] { State->push(); });
  State->Threads.emplace_back([this] { State->ask(); });
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
    return response;
  }
  response.Status = 404;
  return response;
}

void PeerNode::publishSettings() { State->enqueue(PushJob::Settings); }

void PeerNode::publishRecords() { State->enqueue(PushJob::Records); }

bool PeerNode::ready() const { return State->Use.CurrentBlob().Revision > 0; }

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

bool PeerNode::peersConfirmOutage() const {
  return State->View.peersConfirmOutage(clockNow());
}

PeerState PeerNode::state() const { return State->state(); }

std::vector<PeerStatus> PeerNode::statusOfAll() const {
  PeerCaller caller(State->Options.CallTimeout);
  std::vector<PeerStatus> answers;
  for (const auto &host : State->View.all()) {
    PeerStatus status{host, std::nullopt};
    if (host.Id == State->Options.Self.Id)
      status.State = State->state();
    else if (const auto reply =
                 State->call(caller, host, "ask", writeState(State->state())))
      status.State = readState(*reply);
    answers.push_back(std::move(status));
  }
  return answers;
}

} // namespace savorytrestle::hosts
