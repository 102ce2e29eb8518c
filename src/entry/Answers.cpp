#include "entry/Answers.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace savorytrestle::entry {

namespace http = boost::beast::http;
using nlohmann::json;

CallerAnswer errorAnswer(http::status status, const std::string &reason,
                         std::optional<std::chrono::milliseconds> retryAfter) {
  CallerAnswer answer{status, 11};
  answer.set(http::field::content_type, "application/json");
  if (retryAfter)
    answer.set(http::field::retry_after,
               absl::StrFormat(
                   "%.3f", std::chrono::duration<double>(*retryAfter).count()));
  answer.body() = json{{"error", reason}}.dump(-1, ' ', false,
                                               json::error_handler_t::replace);
  return answer;
}

bool promisesNotRun(http::status status) {
  return status == http::status::request_timeout ||
         status == http::status::misdirected_request ||
         status == http::status::too_many_requests ||
         status == http::status::service_unavailable;
}

CallerAnswer textAnswer(http::status status, std::string text) {
  CallerAnswer answer{status, 11};
  answer.set(http::field::content_type, "text/plain; version=0.0.4");
  answer.body() = std::move(text);
  return answer;
}

} // namespace savorytrestle::entry
