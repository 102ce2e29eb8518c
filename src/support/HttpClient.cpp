#include "support/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <utility>

#include <absl/strings/str_cat.h>

#include "support/DuplicateSendGuard.h"
#include "support/FinalResponseGuard.h"

namespace savorytrestle::support {

namespace {

// libcurl requires its global state to be initialised before other threads use
// it.
const CURLcode GlobalInit = curl_global_init(CURL_GLOBAL_DEFAULT);

/// Takes the body of a reply.
struct BodySink {
  std::size_t Limit = 0;
  std::string &Body;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count,
                       void *out) {
  auto &[limit, body] = *static_cast<BodySink *>(out);
  // Aborts the transfer.
  if (body.size() + size * count > limit)
    return 0;
  body.append(data, size * count);
  return size * count;
}

/// Takes the headers of a reply.
struct HeaderSink {
  FinalResponseGuard Guard;
  std::map<std::string, std::string> &Headers;
};

std::size_t addHeader(char *data, std::size_t size, std::size_t count,
                      void *out) {
  const std::string line(data, size * count);
  auto &[guard, headers] = *static_cast<HeaderSink *>(out);
  if (!guard.accept(line))
    return 0;
  // Those before it are of an interim response.
  if (FinalResponseGuard::isStatusLine(line))
    headers.clear();
  if (const auto colon = line.find(':'); colon != std::string::npos) {
    std::string key = line.substr(0, colon);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    headers[key] = first == std::string::npos || last < first
                       ? ""
                       : line.substr(first, last - first + 1);
  }
  return size * count;
}

/// A request that was not sent cannot have taken effect; after any other
/// failure the peer may have executed it.
core::ErrorCode sendErrorCode(const DuplicateSendGuard &guard) {
  return guard.mayHaveSent() ? core::ErrorCode::OutcomeUnknown
                             : core::ErrorCode::StoreUnavailable;
}

void setMethod(CURL *handle, const HttpCall &call) {
  if (call.Method == "GET") {
    curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    return;
  }
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.Body.size()));
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.Body.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.Method.c_str());
}

} // namespace

HttpClient::HttpClient() : Handle(curl_easy_init()) {}

HttpClient::HttpClient(HttpClient &&other) noexcept
    : Handle(std::exchange(other.Handle, nullptr)) {}

HttpClient &HttpClient::operator=(HttpClient &&other) noexcept {
  std::swap(Handle, other.Handle);
  return *this;
}

HttpClient::~HttpClient() {
  if (Handle)
    curl_easy_cleanup(static_cast<CURL *>(Handle));
}

core::Result<HttpReply> HttpClient::send(const HttpCall &call) {
  CURL *handle = static_cast<CURL *>(Handle);
  curl_easy_reset(handle);
  HttpReply reply;
  curl_slist *list = curl_slist_append(nullptr, "Expect:");
  for (const auto &[key, value] : call.Headers)
    list = curl_slist_append(list, absl::StrCat(key, ": ", value).c_str());
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      list, &curl_slist_free_all);
  curl_easy_setopt(handle, CURLOPT_URL, call.Url.c_str());
  setMethod(handle, call);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.Timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
  BodySink bodySink{call.MaxReplyBytes, reply.Body};
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &bodySink);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &addHeader);
  HeaderSink sink{{}, reply.Headers};
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &sink);
  DuplicateSendGuard guard;
  guard.attach(handle);
  if (const CURLcode ec = curl_easy_perform(handle); ec != CURLE_OK)
    return core::makeError(sendErrorCode(guard),
                           call.Url + ": " + curl_easy_strerror(ec));
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  reply.Status = static_cast<int>(status);
  return reply;
}

} // namespace savorytrestle::support
