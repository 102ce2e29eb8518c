#include "backend/LeafTransport.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "support/SendGuard.h"

namespace savorytrestle::backend {

using core::TimePoint;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

struct RunningCall {
  CallId Id = 0;
  CURL *Handle = nullptr;
  LeafCall Call;
  LeafTransport::Done Done;
  LeafCallResult Result;
  TimePoint Started;
  std::size_t MaxReplyBytes = 0;
  support::SendGuard Guard;
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

  CURL *takeHandle() {
    if (Idle.empty())
      return curl_easy_init();
    CURL *handle = Idle.back();
    Idle.pop_back();
    curl_easy_reset(handle);
    return handle;
  }

  void prepare(RunningCall &call, milliseconds timeout) const;
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
  call.Guard.attach(handle);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &call);
  if (call.Call.FreshConnection) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
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
  call->Done(std::move(call->Result));
}

LeafTransport::LeafTransport(const LeafTransportOptions &options)
    : State(std::make_unique<Impl>()) {
  State->Options = options;
  State->Multi = curl_multi_init();
  State->JsonHeaders =
      curl_slist_append(nullptr, "Content-Type: application/json");
  State->JsonHeaders = curl_slist_append(State->JsonHeaders, "Expect:");
  curl_multi_setopt(State->Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(options.ConnectionsPerLeaf));
  // Idle connections to all leaves are kept: opening one costs milliseconds.
  curl_multi_setopt(State->Multi, CURLMOPT_MAXCONNECTS, 65536L);
}

LeafTransport::~LeafTransport() {
  for (const auto &[id, call] : State->Calls) {
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
  running->Handle = State->takeHandle();
  running->Call = std::move(call);
  running->Done = std::move(done);
  running->Started = now;
  running->MaxReplyBytes = State->Options.MaxReplyBytes;
  State->prepare(*running,
                 duration_cast<milliseconds>(running->Call.Deadline - now));
  curl_multi_add_handle(State->Multi, running->Handle);
  const CallId id = running->Id;
  State->Calls.emplace(id, std::move(running));
  return id;
}

void LeafTransport::abort(CallId id) {
  const auto it = State->Calls.find(id);
  if (it == State->Calls.end())
    return;
  curl_multi_remove_handle(State->Multi, it->second->Handle);
  // A handle removed in mid-transfer is not worth keeping.
  curl_easy_cleanup(it->second->Handle);
  State->Calls.erase(it);
}

void LeafTransport::turn(milliseconds wait) {
  int running = 0;
  curl_multi_perform(State->Multi, &running);
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

} // namespace savorytrestle::backend
