#ifndef SAVORYTRESTLE_OPERATORS_SETTINGS_PRINT_H
#define SAVORYTRESTLE_OPERATORS_SETTINGS_PRINT_H

/// @file
/// @brief Text form of the administration API's replies.

#include <ostream>

#include <nlohmann/json.hpp>

namespace savorytrestle::operators {

/// @brief Prints a reply for people.
/// @param reply JSON body of a successful call
/// @param out where to
void printReply(const nlohmann::json &reply, std::ostream &out);

/// @brief Prints an error reply, and what others changed if it says so.
/// @param reply JSON body of a refused call
/// @param err where to
void printError(const nlohmann::json &reply, std::ostream &err);

} // namespace savorytrestle::operators

#endif
