#ifndef SAVORYTRESTLE_SUPPORT_URL_ENCODE_H
#define SAVORYTRESTLE_SUPPORT_URL_ENCODE_H

/// @file
/// @brief Percent-encoding for parts of a URL.

#include <string>

namespace savorytrestle::support {

/// @brief Percent-encodes a text for a path segment or a query's value.
/// @param text the bytes to encode
/// @return the encoded form; empty when memory for it can't be allocated
std::string urlEncoded(const std::string &text);

/// @brief Decodes a percent-encoded text.
std::string urlDecoded(const std::string &text);

} // namespace savorytrestle::support

#endif
