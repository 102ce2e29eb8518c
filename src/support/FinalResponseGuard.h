#ifndef SAVORYTRESTLE_SUPPORT_FINAL_RESPONSE_GUARD_H
#define SAVORYTRESTLE_SUPPORT_FINAL_RESPONSE_GUARD_H

/// @file
/// @brief Keeps libcurl from waiting for a response that isn't final.

#include <cstddef>
#include <string_view>

#include <curl/curl.h>

#include "support/ResponseKind.h"

namespace savorytrestle::support {

/// @brief Aborts a transfer whose response has an invalid status or a head that
/// is too long, or that gets too many interim responses.
///
/// libcurl takes 101 for a final response whose body ends with the connection,
/// and skips a status below 100 as an interim response.
class FinalResponseGuard {
public:
  /// Most bytes of a response's head and trailer. libcurl keeps all headers.
  static constexpr std::size_t MaxHeadBytes = 64 << 10;

  /// @brief Guards the next transfer of a handle. Takes its header callback.
  /// @param handle the handle; this object must outlive the transfer
  void attach(CURL *handle);

  /// @brief Handles a line of a response's head, the status line included.
  /// @param line the line with its end
  /// @return false if the transfer must be aborted
  bool accept(std::string_view line);

  /// @brief Whether a line is a response's status line.
  static bool isStatusLine(std::string_view line) {
    return line.substr(0, 5) == "HTTP/";
  }

private:
  ResponseKind Kind = ResponseKind::Final;
  InterimResponses Interim;
  /// Bytes of the current head.
  std::size_t HeadBytes = 0;
};

} // namespace savorytrestle::support

#endif
