#include "support/UrlEncode.h"

#include <memory>

#include <curl/curl.h>

namespace savorytrestle::support {

std::string urlEncoded(const std::string &text) {
  const std::unique_ptr<char, decltype(&curl_free)> value(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  return value ? value.get() : "";
}

std::string urlDecoded(const std::string &text) {
  int length = 0;
  const std::unique_ptr<char, decltype(&curl_free)> value(
      curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()),
                         &length),
      &curl_free);
  return value ? std::string(value.get(), static_cast<std::size_t>(length))
               : "";
}

} // namespace savorytrestle::support
