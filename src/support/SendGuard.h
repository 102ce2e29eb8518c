#ifndef SAVORYTRESTLE_SUPPORT_SEND_GUARD_H
#define SAVORYTRESTLE_SUPPORT_SEND_GUARD_H

/// @file
/// @brief Keeps libcurl from sending one request twice.

#include <curl/curl.h>

namespace savorytrestle::support {

/// @brief Counts the sends of one transfer and refuses the second.
///
/// libcurl repeats a request by itself when a reused connection closes before
/// any byte of the reply came back, also a POST or PUT. The peer may have acted
/// on it by then, so the transfer must end as broken instead.
class SendGuard {
public:
  /// @brief Watches a handle's next transfer.
  /// @param handle the handle; this object must outlive the transfer
  void attach(CURL *handle) {
    SendCount = 0;
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onBeforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  }

  /// @brief Whether the request's head may have left this process.
  /// @return false when the transfer ended before it had a connection
  bool mayHaveSent() const { return SendCount > 0; }

private:
  static int onBeforeSend(void *user, char *, char *, int, int) {
    auto &guard = *static_cast<SendGuard *>(user);
    return ++guard.SendCount > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  }

  int SendCount = 0;
};

} // namespace savorytrestle::support

#endif
