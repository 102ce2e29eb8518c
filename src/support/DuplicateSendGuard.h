#ifndef SAVORYTRESTLE_SUPPORT_DUPLICATE_SEND_GUARD_H
#define SAVORYTRESTLE_SUPPORT_DUPLICATE_SEND_GUARD_H

/// @file
/// @brief Keeps libcurl from sending one request twice.

#include <curl/curl.h>

namespace savorytrestle::support {

/// @brief Counts the sends of one transfer and aborts it before the second.
///
/// libcurl resends a request, also a POST or PUT, when a reused connection
/// closes before the first byte of the reply. The peer may have executed the
/// request by then, so the transfer must fail instead.
class DuplicateSendGuard {
public:
  /// @brief Guards the next transfer of a handle.
  /// @param handle the handle; this object must outlive the transfer
  void attach(CURL *handle) {
    SendCount = 0;
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onBeforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
  }

  /// @brief Whether the request may have been sent.
  /// @return false when the transfer failed before it had a connection
  bool mayHaveSent() const { return SendCount > 0; }

private:
  static int onBeforeSend(void *user, char *, char *, int, int) {
    auto &guard = *static_cast<DuplicateSendGuard *>(user);
    return ++guard.SendCount > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
  }

  int SendCount = 0;
};

} // namespace savorytrestle::support

#endif
