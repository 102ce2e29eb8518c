#ifndef SAVORYTRESTLE_SUPPORT_URL_ENCODE_H
#define SAVORYTRESTLE_SUPPORT_URL_ENCODE_H

/// @file
/// @brief Texts as parts of a URL.

#include <string>

namespace savorytrestle::support {

/// @brief Percent-encodes a text for a path segment or a query's value.
/// @param text any bytes
/// @return the encoded form; empty when the text is too long for memory
std::string urlEncoded(const std::string &text);

} // namespace savorytrestle::support

#endif
