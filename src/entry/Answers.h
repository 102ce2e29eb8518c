#ifndef SAVORYTRESTLE_ENTRY_ANSWERS_H
#define SAVORYTRESTLE_ENTRY_ANSWERS_H

/// @file
/// @brief Builds answers that come from this host rather than from a leaf.

#include <chrono>
#include <optional>
#include <string>

#include "entry/CallerSession.h"

namespace savorytrestle::entry {

/// @brief Builds an error answer with a JSON body.
/// @param status its HTTP status
/// @param reason human-readable reason
/// @param retryAfter value of the Retry-After header, if it is to have one
CallerAnswer
errorAnswer(boost::beast::http::status status, const std::string &reason,
            std::optional<std::chrono::milliseconds> retryAfter = {});

/// @brief Whether a status tells the caller that its request has not run and
/// never will: 408, 421, 429 and 503.
bool promisesNotRun(boost::beast::http::status status);

/// @brief Builds a plain-text answer.
CallerAnswer textAnswer(boost::beast::http::status status, std::string text);

} // namespace savorytrestle::entry

#endif
