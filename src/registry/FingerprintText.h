#ifndef SAVORYTRESTLE_REGISTRY_FINGERPRINT_TEXT_H
#define SAVORYTRESTLE_REGISTRY_FINGERPRINT_TEXT_H

/// @file
/// @brief Fingerprints and numbers in the keys of the store's items.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "savorytrestle/core/Fingerprint.h"

namespace savorytrestle::registry {

/// Length of a fingerprint's text.
inline constexpr std::size_t FingerprintDigits = 32;

/// @brief Writes a fingerprint as hexadecimal digits.
std::string formatFingerprint(const core::Fingerprint &fingerprint);

/// @brief Reads a fingerprint; nothing if the text is none.
std::optional<core::Fingerprint> parseFingerprint(std::string_view text);

/// @brief Reads a hexadecimal number.
/// @return whether the text is one
bool parseHex(std::string_view text, std::uint64_t &value);

} // namespace savorytrestle::registry

#endif
