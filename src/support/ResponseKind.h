#ifndef SAVORYTRESTLE_SUPPORT_RESPONSE_KIND_H
#define SAVORYTRESTLE_SUPPORT_RESPONSE_KIND_H

/// @file
/// @brief Tells the final response to an HTTP/1.1 request from those before it.

#include <cstddef>

namespace savorytrestle::support {

/// @brief What a response is to the request that waits for it.
enum class ResponseKind {
  Final,   ///< answers the request
  Interim, ///< another response to the same request follows
  Invalid, ///< no response to a request of this program
};

/// @brief Tells the kind of a response by its status (RFC 9110, section 15).
/// @param status the HTTP status
/// @return Invalid outside 100 to 599, and for 101: no request asks for another
/// protocol
constexpr ResponseKind responseKind(unsigned status) {
  constexpr unsigned FirstInterim = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned LastFinal = 599;
  if (status < FirstInterim || status > LastFinal ||
      status == SwitchingProtocols)
    return ResponseKind::Invalid;
  return status < FirstFinal ? ResponseKind::Interim : ResponseKind::Final;
}

/// @brief Bounds the interim responses to one request, so that a peer can't
/// keep its client reading without an end.
class InterimResponses {
public:
  static constexpr std::size_t MaxCount = 1000;
  static constexpr std::size_t MaxBytes = 64 << 10;

  /// @brief Counts an interim response.
  /// @param bytes its size
  /// @return false if there are too many, or their sizes add up to too much
  [[nodiscard]] bool tryAdd(std::size_t bytes) {
    Bytes += bytes;
    return ++Count <= MaxCount && Bytes <= MaxBytes;
  }

  std::size_t count() const { return Count; }

private:
  std::size_t Count = 0;
  std::size_t Bytes = 0;
};

} // namespace savorytrestle::support

#endif
