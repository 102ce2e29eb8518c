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

namespace savorytrestle::backend {

using core::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Longest wait while a call waits for a connection, so that it expires in
/// time.
constexpr milliseconds ExpiryCheckInterval{5};

/// The connections to one leaf and the calls that wait for them.
struct LeafGate {
  std::uint32_t Limit = 0;
  std::uint32_t Running = 0;
  /// Sockets open, those of idle connections included.
  std::uint32_t Open = 0;
  std::deque<CallId> Control;
  std::deque<CallId> Requests;

  // Requests that hang must not shut out the poll that would tell why.
  std::uint32_t requestLimit() const { return Limit >= 2 ? Limit - 1 : Limit; }

  std::deque<CallId> *next() {
    if (!Control.empty() && Running < Limit)
      return &Control;
    return !Requests.empty() && Running < requestLimit() ? &Requests : nullptr;
  }
};

struct RunningCall {
  CallId Id = 0;
  CURL *Handle = nullptr;
  LeafCall Call;
  LeafTransport::Done Done;
  LeafCallResult Result;
  TimePoint Started;
  std::size_t MaxReplyBytes = 0;
  LeafGate *Gate = nullptr;
  support::DuplicateSendGuard Guard;
};

std::size_t onData(char *data, std::size_t size, std::size_t count,
                   void *user) {
  auto &call = *static_cast<RunningCall *>(user);
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
  ++static_cast<LeafGate *>(user)->Open;
  return fd;
}

int closeSocket(void *user, curl_socket_t fd) {
  --static_cast<LeafGate *>(user)->Open;
  return close(fd);
}

/// "ip:port" of "http://ip:port/path".
std::string leafAddress(std::string_view url) {
  constexpr std::string_view Scheme = "http://";
  if (url.substr(0, Scheme.size()) == Scheme)
    url.remove_prefix(Scheme.size());
  return std::string(url.substr(0, url.find('/')));
}

CallFailure classify(CURLcode ec, const RunningCall &call) {
  if (!call.Guard.mayHaveSent())
    return ec == CURLE_OPERATION_TIMEDOUT ? CallFailure::Expired
                                          : CallFailure::NotSent;
  if (ec == CURLE_OPERATION_TIMEDOUT)
    return CallFailure::Expired;
  return CallFailure::Broken;
}

} // namespace

struct LeafTransport::Impl {
  LeafTransportOptions Options;
  CURLM *Multi = nullptr;
  curl_slist *JsonHeaders = nullptr;
  CallId LastId = 0;
  std::unordered_map<CallId, std::unique_ptr<RunningCall>> Calls;
  std::vector<CURL *> Idle;
  /// By address; libcurl's connections refer to them, so none is removed.
  std::unordered_map<std::string, LeafGate> Gates;
  /// Calls that wait, over all gates, those that expire first in front.
  std::set<std::pair<TimePoint, CallId>> Waiting;

  CURL *takeHandle() {
    if (Idle.empty())
      return curl_easy_init();
    CURL *handle = Idle.back();
    Idle.pop_back();
    curl_easy_reset(handle);
    return handle;
  }

  void prepare(RunningCall &call, milliseconds timeout) const;
  void startWaiting(LeafGate &gate);
  void start(RunningCall &call);
  std::unique_ptr<RunningCall> takeWaiting(CallId id);
  void expireWaiting();
  void perform() const;
  void finish(CURL *handle, CURLcode ec);
};

void LeafTransport::Impl::prepare(RunningCall &call,
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
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, call.Gate);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, call.Gate);
  call.Guard.attach(handle);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &call);
  if (call.Call.FreshConnection)
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  if (call.Call.FreshConnection || call.Gate->Open > call.Gate->Limit)
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
}

void LeafTransport::Impl::perform() const {
  int running = 0;
  curl_multi_perform(Multi, &running);
}

void LeafTransport::Impl::start(RunningCall &call) {
  call.Handle = takeHandle();
  const auto left = call.Call.Deadline - std::chrono::steady_clock::now();
  prepare(call, duration_cast<milliseconds>(left));
  ++call.Gate->Running;
  if (!call.Call.FreshConnection) {
    // It opens a connection only when none is idle, so that connections never
    // outnumber the running calls' most.
    curl_multi_add_handle(Multi, call.Handle);
    return;
  }
  // libcurl closes an idle connection before it opens one over its limit, but
  // has one limit for all leaves: what started before must not meet this one's.
  perform();
  curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(call.Gate->Limit));
  curl_multi_add_handle(Multi, call.Handle);
  perform();
  curl_multi_setopt(Multi, CURLMOPT_MAX_HOST_CONNECTIONS, 0L);
}

void LeafTransport::Impl::startWaiting(LeafGate &gate) {
  while (auto *queue = gate.next()) {
    const CallId id = queue->front();
    queue->pop_front();
    RunningCall &call = *Calls.at(id);
    Waiting.erase({call.Call.Deadline, id});
    start(call);
  }
}

std::unique_ptr<RunningCall> LeafTransport::Impl::takeWaiting(CallId id) {
  const auto it = Calls.find(id);
  if (it == Calls.end() || it->second->Handle)
    return nullptr;
  std::unique_ptr<RunningCall> call = std::move(it->second);
  Calls.erase(it);
  Waiting.erase({call->Call.Deadline, id});
  std::erase(call->Call.Control ? call->Gate->Control : call->Gate->Requests,
             id);
  return call;
}

void LeafTransport::Impl::expireWaiting() {
  const auto now = std::chrono::steady_clock::now();
  while (!Waiting.empty() && Waiting.begin()->first <= now) {
    const auto call = takeWaiting(Waiting.begin()->second);
    call->Result.Failure = CallFailure::Expired;
    call->Result.NeverStarted = true;
    call->Result.Latency = now - call->Started;
    call->Done(std::move(call->Result));
  }
}

void LeafTransport::Impl::finish(CURL *handle, CURLcode ec) {
  char *user = nullptr;
  curl_easy_getinfo(handle, CURLINFO_PRIVATE, &user);
  const auto id = reinterpret_cast<RunningCall *>(user)->Id;
  const auto it = Calls.find(id);
  const std::unique_ptr<RunningCall> call = std::move(it->second);
  Calls.erase(it);
  curl_multi_remove_handle(Multi, handle);
  if (ec == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    call->Result.Status = static_cast<int>(status);
  } else {
    call->Result.Failure = classify(ec, *call);
  }
  curl_off_t micros = 0;
  curl_easy_getinfo(handle, CURLINFO_TOTAL_TIME_T, &micros);
  call->Result.Latency = std::chrono::microseconds(micros);
  Idle.push_back(handle);
  --call->Gate->Running;
  startWaiting(*call->Gate);
  call->Done(std::move(call->Result));
}

LeafTransport::LeafTransport(const LeafTransportOptions &options)
    : State(std::make_unique<Impl>()) {
  State->Options = options;
  State->Multi = curl_multi_init();
  State->JsonHeaders =
      curl_slist_append(nullptr, "Content-Type: application/json");
  State->JsonHeaders = curl_slist_append(State->JsonHeaders, "Expect:");
  // Idle connections to all leaves are kept: opening one costs milliseconds.
  curl_multi_setopt(State->Multi, CURLMOPT_MAXCONNECTS, 65536L);
}

LeafTransport::~LeafTransport() {
  for (const auto &[id, call] : State->Calls) {
    if (!call->Handle)
      continue;
    curl_multi_remove_handle(State->Multi, call->Handle);
    curl_easy_cleanup(call->Handle);
  }
  for (CURL *handle : State->Idle)
    curl_easy_cleanup(handle);
  curl_multi_cleanup(State->Multi);
  curl_slist_free_all(State->JsonHeaders);
}

CallId LeafTransport::send(LeafCall call, TimePoint now, Done done) {
  auto running = std::make_unique<RunningCall>();
  running->Id = ++State->LastId;
  running->Call = std::move(call);
  running->Done = std::move(done);
  running->Started = now;
  running->MaxReplyBytes = State->Options.MaxReplyBytes;
  auto &gate = State->Gates[leafAddress(running->Call.Url)];
  gate.Limit =
      running->Call.MostConnections.value_or(State->Options.ConnectionsPerLeaf);
  running->Gate = &gate;
  const CallId id = running->Id;
  (running->Call.Control ? gate.Control : gate.Requests).push_back(id);
  State->Waiting.emplace(running->Call.Deadline, id);
  State->Calls.emplace(id, std::move(running));
  State->startWaiting(gate);
  return id;
}

bool LeafTransport::dropWaiting(CallId id) {
  return State->takeWaiting(id) != nullptr;
}

void LeafTransport::turn(milliseconds wait) {
  State->perform();
  if (!State->Waiting.empty()) {
    State->expireWaiting();
    wait = std::min(wait, ExpiryCheckInterval);
  }
  int left = 0;
  bool ended = false;
  while (CURLMsg *message = curl_multi_info_read(State->Multi, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    ended = true;
    State->finish(message->easy_handle, message->data.result);
  }
  // What a callback has just started should go out before the wait.
  if (!ended)
    curl_multi_poll(State->Multi, nullptr, 0, static_cast<int>(wait.count()),
                    nullptr);
}

void LeafTransport::wake() { curl_multi_wakeup(State->Multi); }

std::size_t LeafTransport::running() const { return State->Calls.size(); }

std::uint32_t LeafTransport::openConnections(const std::string &url) const {
  const auto it = State->Gates.find(leafAddress(url));
  return it == State->Gates.end() ? 0 : it->second.Open;
}

} // namespace savorytrestle::backend
