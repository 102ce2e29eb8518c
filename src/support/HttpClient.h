#ifndef SAVORYTRESTLE_SUPPORT_HTTP_CLIENT_H
#define SAVORYTRESTLE_SUPPORT_HTTP_CLIENT_H

/// @file
/// @brief Blocking HTTP client over libcurl, for low-rate calls.
///
/// Calls to backend servers go through backend/LeafTransport.h instead, which
/// runs many at once on one thread.

#include <chrono>
#include <map>
#include <string>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::support {

/// @brief One outgoing call.
struct HttpCall {
  std::string Method = "GET";
  /// Whole URL, for example "http://127.0.0.1:7000/v1/kv/a".
  std::string Url;
  std::string Body;
  std::map<std::string, std::string> Headers;
  /// Bound on the whole call.
  std::chrono::milliseconds Timeout{1000};
  /// Bound on the reply's body; the call fails beyond it.
  std::size_t MaxReplyBytes = 32 << 20;
};

/// @brief The peer's answer.
struct HttpReply {
  int Status = 0;
  std::string Body;
  /// Header values by lower-case name.
  std::map<std::string, std::string> Headers;
};

/// @brief Sends calls one at a time over persistent connections.
///
/// Not safe for use by two threads at once; each thread owns its client.
class HttpClient {
public:
  HttpClient();
  HttpClient(HttpClient &&other) noexcept;
  HttpClient &operator=(HttpClient &&other) noexcept;
  ~HttpClient();

  /// @brief Makes one call and waits for its reply.
  /// @param call the request and its timeout
  /// @return the reply whatever its status, StoreUnavailable when the request
  ///   was not sent (no connection), or OutcomeUnknown when it may have been
  ///   sent
  core::Result<HttpReply> send(const HttpCall &call);

private:
  void *Handle;
};

} // namespace savorytrestle::support

#endif
