#include "support/FinalResponseGuard.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace savorytrestle::support {

namespace {

/// Status of a status line; 0 if it isn't a number of three digits.
unsigned statusOf(std::string_view line) {
  constexpr std::size_t Digits = 3;
  line.remove_prefix(std::min(line.find(' '), line.size()));
  line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
  const auto text = line.substr(0, line.find_first_of(" \r\n"));
  unsigned status = 0;
  if (text.size() != Digits ||
      !absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &status))
    return 0;
  return status;
}

std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count,
                         void *user) {
  const std::string_view line(data, size * count);
  return static_cast<FinalResponseGuard *>(user)->accept(line) ? line.size()
                                                               : 0;
}

} // namespace

void FinalResponseGuard::attach(CURL *handle) {
  *this = {};
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeaderLine);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
}

bool FinalResponseGuard::accept(std::string_view line) {
  if (isStatusLine(line)) {
    Kind = responseKind(statusOf(line));
    HeadBytes = 0;
  }
  HeadBytes += line.size();
  switch (Kind) {
  case ResponseKind::Final:
    return HeadBytes <= MaxHeadBytes;
  case ResponseKind::Invalid:
    return false;
  case ResponseKind::Interim:
    break;
  }
  const bool ends = line == "\r\n" || line == "\n";
  return ends ? Interim.tryAdd(HeadBytes)
              : HeadBytes <= InterimResponses::MaxBytes;
}

} // namespace savorytrestle::support
