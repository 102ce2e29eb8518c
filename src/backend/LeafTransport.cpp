#include "backend/LeafTransport.h"

#include <algorithm>
#include <deque>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "support/DuplicateSendGuard.h"
#include "support/FinalResponseGuard.h"

namespace savorytrestle::backend {

using core::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Longest poll while calls wait for a connection, so that they expire in time.
constexpr milliseconds ExpiryCheckInterval{5};

/// The connections to one leaf and the calls that wait for them.
struct LeafChannel {
  std::uint32_t Limit = 0;
  std::uint32_t RunningCalls = 0;
  /// Open sockets, those of idle connections included.
  std::uint32_t OpenSockets = 0;
  std::deque<CallId> ControlQueue;
  std::deque<CallId> RequestQueue;

  // One connection is reserved for control calls, so that requests that hang do
  // not block the status poll that detects the fault.
  std::uint32_t requestLimit() const { return Limit >= 2 ? Limit - 1 : Limit; }

  std::deque<CallId> *nextQueue() {
    if (!ControlQueue.empty() && RunningCalls < Limit)
      return &ControlQueue;
    return !RequestQueue.empty() && RunningCalls < requestLimit()
               ? &RequestQueue
               : nullptr;
  }
};

struct PendingCall {
  CallId Id = 0;
  CURL *Handle = nullptr;
  LeafCall Call;
  LeafTransport::Done Done;
  LeafCallResult Result;
  TimePoint SubmittedAt;
  std::size_t MaxReplyBytes = 0;
  LeafChannel *Channel = nullptr;
  support::DuplicateSendGuard Guard;
  support::FinalResponseGuard ResponseGuard;
};

std::size_t onData(char *data, std::size_t size, std::size_t count,
                   void *user) {
  auto &call = *static_cast<PendingCall *>(user);
  const std::size_t n = size * count;
  if (call.Result.Body.size() + n > call.MaxReplyBytes)
    return 0;
  call.Result.Body.append(data, n);
  return n;
}

curl_socket_t openSocket(void *user, curlsocktype /*purpose*/,
                         curl_sockaddr *address) {
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  ++static_cast<LeafChannel *>(user)->OpenSockets;
  return fd;
}

int closeSocket(void *user, curl_socket_t fd) {
  --static_cast<LeafChannel *>(user)->OpenSockets;
  return close(fd);
}

/// "ip:port" of "http://ip:port/path".
std::string leafAddress(std::string_view url) {
  constexpr std::string_view Scheme = "http://";
  if (url.substr(0, Scheme.size()) == Scheme)
    url.remove_prefix(Scheme.size());
  return std::string(url.substr(0, url.find('/')));
}

CallFailure toCallFailure(CURLcode ec, const PendingCall &call) {
  if (!call.Guard.mayHaveSent())
    return ec == CURLE_OPERATION_TIMEDOUT ? CallFailure::Expired
                                          : CallFailure::NotSent;
  if (ec == CURLE_OPERATION_TIMEDOUT)
    return CallFailure::Expired;
  return CallFailure::ConnectionLost;
}

} // namespace

struct LeafTransport::Impl {
  LeafTransportOptions Options;
  CURLM *Multi = nullptr;
  curl_slist *JsonHeaders = nullptr;
  CallId LastId = 0;
  std::unordered_map<CallId, std::unique_ptr<PendingCall>> Calls;
  std::vector<CURL *> IdleHandles;
  /// By address; never erased, because libcurl's connections point to them.
  std::unordered_map<std::string, LeafChannel> Channels;
  /// Waiting calls of all leaves, earliest deadline first.
  std::set<std::pair<TimePoint, CallId>> WaitingByDeadline;

  CURL *takeHandle() {
    if (IdleHandles.empty())
      return curl_easy_init();
    CURL *handle = IdleHandles.back();
    IdleHandles.pop_back();
    curl_easy_reset(handle);
    return handle;
  }

  void prepare(PendingCall &call, milliseconds timeout) const;
  void startWaitingCalls(LeafChannel &channel);
  void start(PendingCall &call);
  std::unique_ptr<PendingCall> removeWaitingCall(CallId id);
  void expireWaitingCalls();
  void perform() const;
  void finish(CURL *handle, CURLcode ec);
};

void LeafTransport::Impl::prepare(PendingCall &call,
                                  milliseconds timeout) const {
  CURL *handle = call.Handle;
  curl_easy_setopt(handle, CURLOPT_URL, call.Call.Url.c_str());
  if (!call.Call.Body.empty()) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.Call.Body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.Call.Body.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, JsonHeaders);
  }
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<long>(1, timeout.count())));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onData);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, call.Channel);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, call.Channel);
  call.Guard.attach(handle);
  call.ResponseGuard.attach(handle);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &call);
  if (call.Call.FreshConnection)
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  if (call.Call.FreshConnection ||
      call.Channel->OpenSockets > call.Channel->Limit)
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
}

void LeafTransport::Impl::perform() const {
  int running = 0;
  curl_multi_perform(Multi, &running);
}

void LeafTransport::Impl::start(PendingCall &call) {
  call.Handle = takeHandle();
  const auto remaining = call.Call.Deadline - std::chrono::steady_clock::now();
  prepare(call, duration_cast<milliseconds>(remaining));
  ++call.Channel->RunningCalls;
  if (!call.Call.FreshConnection) {
    // libcurl opens a connection only when none is idle, so there are never
    // more connections than calls that ran at the same time.
    curl_multi_add_handle(Multi, call.Handle);
    return;
  }
  // With a limit set, libcurl closes an idle connection before it opens one
  // beyond the limit. The limit applies to all leaves, so calls added earlier
  // are started before it is set, and it is removed after this call has
  // started.
  perform();
  curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(call.Channel->Limit));
  curl_multi_add_handle(Multi, call.Handle);
  perform();
  curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS, 0L);
}

void LeafTransport::Impl::startWaitingCalls(LeafChannel &channel) {
  while (auto *queue = channel.nextQueue()) {
    const CallId id = queue->front();
    queue->pop_front();
    PendingCall &call = *Calls.at(id);
    WaitingByDeadline.erase({call.Call.Deadline, id});
    start(call);
  }
}

std::unique_ptr<PendingCall> LeafTransport::Impl::removeWaitingCall(CallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end() || it->second->Handle)
    return nullptr;
  std::unique_ptr<PendingCall> call = std::move(it->second);
  Calls.erase(it);
  WaitingByDeadline.erase({call->Call.Deadline, id});
  std::erase(call->Call.IsControl ? call->Channel->ControlQueue
                                  : call->Channel->RequestQueue,
             id);
  return call;
}

void LeafTransport::Impl::expireWaitingCalls() {
  const auto now = std::chrono::steady_clock::now();
  while (!WaitingByDeadline.empty() &&
         WaitingByDeadline.begin()->first <= now) {
    const auto call = removeWaitingCall(WaitingByDeadline.begin()->second);
    call->Result.Failure = CallFailure::Expired;
    call->Result.ExpiredBeforeStart = true;
    call->Result.Latency = now - call->SubmittedAt;
    call->Done(std::move(call->Result));
  }
}

void LeafTransport::Impl::finish(CURL *handle, CURLcode ec) {
  char *user = nullptr;
  curl_easy_getinfo(handle, CURLINFO_PRIVATE, &user);
  const auto id = reinterpret_cast<PendingCall *>(user)->Id;
  const auto it = Calls.find(id);
  const std::unique_ptr<PendingCall> call = std::move(it->second);
  Calls.erase(it);
  curl_multi_remove_handle(Multi, handle);
  if (ec == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    call->Result.Status = static_cast<int>(status);
  } else {
    call->Result.Failure = toCallFailure(ec, *call);
  }
  curl_off_t micros = 0;
  curl_easy_getinfo(handle, CURLINFO_TOTAL_TIME_T, &micros);
  call->Result.Latency = std::chrono::microseconds(micros);
  IdleHandles.push_back(handle);
  --call->Channel->RunningCalls;
  startWaitingCalls(*call->Channel);
  call->Done(std::move(call->Result));
}

LeafTransport::LeafTransport(const LeafTransportOptions &options)
    : State(std::make_unique<Impl>()) {
  State->Options = options;
  State->Multi = curl_multi_init();
  State->JsonHeaders =
      curl_slist_append(nullptr, "Content-Type: application/json");
  State->JsonHeaders = curl_slist_append(State->JsonHeaders, "Expect:");
  // Keeps the idle connections to all leaves: opening one takes milliseconds.
  curl_multi_setopt(State->Multi, CURLMOPT_MAXCONNECTS, 65536L);
}

LeafTransport::~LeafTransport() {
  for (const auto &[id, call] : State->Calls) {
    if (!call->Handle)
      continue;
    curl_multi_remove_handle(State->Multi, call->Handle);
    curl_easy_cleanup(call->Handle);
  }
  for (CURL *handle : State->IdleHandles)
    curl_easy_cleanup(handle);
  curl_multi_cleanup(State->Multi);
  curl_slist_free_all(State->JsonHeaders);
}

CallId LeafTransport::send(LeafCall call, TimePoint now, Done done) {
  auto pending = std::make_unique<PendingCall>();
  pending->Id = ++State->LastId;
  pending->Call = std::move(call);
  pending->Done = std::move(done);
  pending->SubmittedAt = now;
  pending->MaxReplyBytes = State->Options.MaxReplyBytes;
  auto &channel = State->Channels[leafAddress(pending->Call.Url)];
  channel.Limit =
      pending->Call.MaxConnections.value_or(State->Options.ConnectionsPerLeaf);
  pending->Channel = &channel;
  const CallId id = pending->Id;
  (pending->Call.IsControl ? channel.ControlQueue : channel.RequestQueue)
      .push_back(id);
  State->WaitingByDeadline.emplace(pending->Call.Deadline, id);
  State->Calls.emplace(id, std::move(pending));
  State->startWaitingCalls(channel);
  return id;
}

bool LeafTransport::dropWaitingCall(CallId id) {
  return State->removeWaitingCall(id) != nullptr;
}

void LeafTransport::processEvents(milliseconds wait) {
  State->perform();
  if (!State->WaitingByDeadline.empty()) {
    State->expireWaitingCalls();
    wait = std::min(wait, ExpiryCheckInterval);
  }
  int messagesLeft = 0;
  bool anyFinished = false;
  while (CURLMsg *message = curl_multi_info_read(State->Multi, &messagesLeft)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    anyFinished = true;
    State->finish(message->easy_handle, message->data.result);
  }
  // Calls that a callback has started are sent before the next wait.
  if (!anyFinished)
    curl_multi_poll(State->Multi, nullptr, 0, static_cast<int>(wait.count()),
                    nullptr);
}

void LeafTransport::wake() { curl_multi_wakeup(State->Multi); }

std::size_t LeafTransport::pendingCalls() const { return State->Calls.size(); }

std::uint32_t LeafTransport::openConnections(const std::string &url) const {
  const auto it = State->Channels.find(leafAddress(url));
  return it == State->Channels.end() ? 0 : it->second.OpenSockets;
}

} // namespace savorytrestle::backend
