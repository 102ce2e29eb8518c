#ifndef SAVORYTRESTLE_ENTRY_ANSWERS_H
#define SAVORYTRESTLE_ENTRY_ANSWERS_H

/// @file
/// @brief Answers that this host gives by itself.

#include <chrono>
#include <optional>
#include <string>

#include "entry/CallerSession.h"

namespace savorytrestle::entry {

/// @brief An error answer with a JSON body.
/// @param status its status
/// @param why reason, for people
/// @param retryAfter when the caller should come back, if it should
CallerAnswer
errorAnswer(boost::beast::http::status status, const std::string &why,
            std::optional<std::chrono::milliseconds> retryAfter = {});

/// @brief A text answer.
CallerAnswer textAnswer(boost::beast::http::status status, std::string text);

} // namespace savorytrestle::entry

#endif
