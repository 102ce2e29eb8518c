#include "registry/FingerprintText.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace savorytrestle::registry {

std::string formatFingerprint(const core::Fingerprint &fingerprint) {
  return absl::StrCat(absl::Hex(fingerprint.High, absl::kZeroPad16),
                      absl::Hex(fingerprint.Low, absl::kZeroPad16));
}

std::optional<core::Fingerprint> parseFingerprint(std::string_view text) {
  core::Fingerprint fingerprint;
  if (text.size() != FingerprintDigits ||
      !parseHex(text.substr(0, FingerprintDigits / 2), fingerprint.High) ||
      !parseHex(text.substr(FingerprintDigits / 2), fingerprint.Low))
    return std::nullopt;
  return fingerprint;
}

bool parseHex(std::string_view text, std::uint64_t &value) {
  return absl::SimpleHexAtoi(absl::string_view(text.data(), text.size()),
                             &value);
}

} // namespace savorytrestle::registry
